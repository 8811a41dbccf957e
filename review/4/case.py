"""Instances go on with an old configuration after one whose version is a large number."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

OLD_KEY = "tnfzs989anu6wsjnbanf"
KEPT_KEY = "qasnmgkcuyj8pjbvk9m6"
# Versions by date and time, to the minute; the second one keeps the order.
STAMPS = [202612051730, 202612051731]
# Times after the acknowledgement at which requests are sent; configApplyS is 2.5.
SEND_AFTER_S = [3.0, 6.0, 12.0]


def answer(endpoint, sock, reader, line, headers):
    endpoint.ran(line, headers)
    sock.sendall(harness.answer_head(endpoint, headers, 2) + b"ok")
    return True


def send(case, name, instance, path, key):
    headers = {"Request-Id": name, "Deadline-Ms": "4000", "Authorization": f"Bearer {key}"}
    got = harness.call(instance.front, "GET", path, "jepu9.example", headers)
    shown = "withdrawn" if key == OLD_KEY else "valid"
    case.record.add(f"client sends {name}: GET {path}, {shown} key, to {instance.name}, gets {got}")
    return got


def body(case):
    harness.Endpoint(case.store, case.record, "i-1", "fieldguide", answer)
    resources = [harness.route("r-sheets", "/lepu270/", "safe", "fieldguide"),
                 harness.service("fieldguide")]
    case.configure(7, [*resources, harness.tenant("yefi830", [OLD_KEY, KEPT_KEY])])
    case.start_instances(["east-a", "east-b", "west-a"])
    broken = []
    if not case.trouble:
        for instance in case.instances:
            for key in (OLD_KEY, KEPT_KEY):
                got = send(case, f"r-{instance.name}-{key[0]}", instance, "/lepu270/2f", key)
                harness.require(got.status == 200, "both keys are valid without the disruption")
        return broken
    for instance in case.instances:
        got = send(case, f"b-{instance.name}", instance, "/lepu270/2f", OLD_KEY)
        harness.require(got.status == 200, "the key is valid before the change")
    # The first change takes a key away, the second adds a route.
    resources.append(harness.tenant("yefi830", [KEPT_KEY]))
    case.configure(STAMPS[0], resources)
    resources.append(harness.route("r-added", "/vare31/", "safe", "fieldguide"))
    case.configure(STAMPS[1], resources)
    changed_at = time.monotonic()
    for after in SEND_AFTER_S:
        time.sleep(max(0.0, changed_at + after - time.monotonic()))
        for instance in case.instances:
            name = f"{instance.name}-{after:.0f}"
            got = send(case, f"r-{name}", instance, "/lepu270/2f", OLD_KEY)
            if got.status == 200:
                broken.append(f"CONFIG: {name} s after the change a request with a key that was "
                              "taken away is run")
            got = send(case, f"a-{name}", instance, "/vare31/2f", KEPT_KEY)
            if got.status == 404:
                broken.append(f"CONFIG: {name} s after the change a request on a route that was "
                              "added gets 404")
    return broken


harness.run(__file__, body)
