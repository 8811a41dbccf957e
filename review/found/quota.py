"""Two sides of a fleet that start without a link between them admit the whole limit each."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

KEY = "tnfzs989anu6wsjnbanf"
RATE, BURST = 40, 40
LOAD_S, CLIENTS = 20, 3


def answer(endpoint, sock, reader, line, headers):
    with endpoint.lock:
        endpoint.runs.append(time.monotonic())
    sock.sendall(harness.answer_head(endpoint, headers, 2) + b"ok")
    return True


def view_of(region, dead):
    """Shows the instances of other regions at a port where nothing answers."""
    def rewrite(kind, entry):
        if kind != "marjoramwing-instances" or entry["spec"]["region"] == region:
            return entry
        return {**entry, "spec": {**entry["spec"], "peers": f"{harness.HOST}:{dead}"}}
    return rewrite


def body(case):
    runs, lock = [], threading.Lock()
    zones = list(harness.ZONES)
    for number, zone in enumerate(zones):
        endpoint = harness.Endpoint(case.store, case.record, f"i-{number}", "sheets", answer,
                                    zone)
        endpoint.runs, endpoint.lock = runs, lock
    case.configure(7, [harness.route("r-sheets", "/lepu270/", "safe", "sheets"),
                       harness.service("sheets"),
                       harness.tenant("yefi830", [KEY], RATE, BURST)])
    ports = None
    if case.trouble:
        dead = harness.free_ports(1)[0]
        views = {region: case.store.open_view(view_of(region, dead)) for region in ("east", "west")}
        ports = [views[harness.ZONES[zone]] for zone in zones]
    case.start_instances(zones, ports)
    ends_at = time.monotonic() + LOAD_S

    def send(instance, client):
        number = 0
        with harness.connect(instance.front) as sock:
            reader = harness.Reader(sock)
            while time.monotonic() < ends_at:
                number += 1
                headers = {"Request-Id": f"{instance.name}-{client}-{number}",
                           "Deadline-Ms": "4000", "Authorization": f"Bearer {KEY}"}
                sock.sendall(harness.request_bytes("GET", "/lepu270/2f", "jepu9.example", headers))
                harness.read_answer(reader)
                time.sleep(0.05)

    clients = [harness.spawn(send, instance, client)
               for instance in case.instances for client in range(CLIENTS)]
    for client in clients:
        client.join(LOAD_S + 10)
    bound = (RATE * 5 + BURST) * 1.1 + 20
    runs.sort()
    harness.require(runs, "requests ran")
    most = max(sum(start <= at < start + 5 for at in runs) for start in runs[::5])
    case.record.add(f"{len(runs)} runs, at most {most} in 5 s; allowed {bound:.0f}")
    return [f"QUOTA: {most} in 5 s, {bound:.0f} allowed"] if most > bound else []


harness.run(__file__, body)
