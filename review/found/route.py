"""A booking is run by the service of a route whose prefix does not begin its path."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

KEY = "tnfzs989anu6wsjnbanf"
# Both begin with /xapu221/; neither begins with /xapu221/ny95/.
PATHS = ["/xapu221/ny95", "/xapu221/ny95?seat=2", "/xapu221/2f"]
# Time after the acknowledgement of a version, longer than configApplyS.
APPLY_S = 4.0


def answer(endpoint, sock, reader, line, headers):
    reader.exactly(int(headers.get("content-length", 0)))
    endpoint.ran(line, headers)
    endpoint.has_run.append(headers["request-id"])
    text = endpoint.service.encode()
    sock.sendall(harness.answer_head(endpoint, headers, len(text)) + text)
    return True


def body(case):
    endpoints = [harness.Endpoint(case.store, case.record, f"i-{name}", name, answer)
                 for name in ("bookings", "fieldguide")]
    for endpoint in endpoints:
        endpoint.has_run = []
    resources = [
        harness.route("r-bookings", "/xapu221/", "unsafe", "bookings"),
        harness.service("bookings"), harness.service("fieldguide"),
        harness.tenant("yefi830", [KEY]),
    ]
    case.configure(7, resources)
    case.start_instances(["east-a", "east-b"])
    if case.trouble:
        added = harness.route("r-sheets", "/xapu221/ny95/", "safe", "fieldguide")
        case.configure(9, [*resources, added])
    time.sleep(APPLY_S)
    for number, path in enumerate(PATHS * len(case.instances)):
        instance = case.instances[number // len(PATHS)]
        name = f"r{number + 1}"
        headers = {"Request-Id": name, "Deadline-Ms": "4000", "Authorization": f"Bearer {KEY}"}
        got = harness.call(instance.front, "POST", path, "jepu9.example", headers, b"seat 2")
        case.record.add(f"client sends {name}: POST {path} to {instance.name}, gets {got}")
    bookings, fieldguide = endpoints
    case.record.add(f"bookings ran {bookings.has_run}, fieldguide ran {fieldguide.has_run}")
    return [f"ROUTE: {name} was run by fieldguide, to which no configuration sends its path"
            for name in fieldguide.has_run]


harness.run(__file__, body)
