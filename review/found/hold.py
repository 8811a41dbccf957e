"""A harmless request is held for 8 h after three endpoints crash together under copies of it."""

import pathlib
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

KEY = "tnfzs989anu6wsjnbanf"
ENDPOINTS, COPIES = 9, 3
LONG_S = 3600


def answer(endpoint, sock, reader, line, headers):
    """Works for a second, unless the endpoint crashes meanwhile."""
    endpoint.ran(line, headers)
    with endpoint.lock:
        endpoint.open.append(sock)
    time.sleep(1.0)
    with endpoint.lock:
        if sock not in endpoint.open:
            return False
        endpoint.open.remove(sock)
    sock.sendall(harness.answer_head(endpoint, headers, 2) + b"ok")
    return True


def crash(endpoint):
    """Ends the endpoint as the end of its process would: nothing listens, channels are reset."""
    endpoint.listener.shutdown(socket.SHUT_RDWR)
    endpoint.listener.close()
    with endpoint.lock:
        broken, endpoint.open = endpoint.open, []
    for sock in broken:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RDWR)
    endpoint.record.add(f"endpoint {endpoint.name} crashes")


def body(case):
    endpoints = []
    for number in range(ENDPOINTS):
        zone = list(harness.ZONES)[number % len(harness.ZONES)]
        endpoint = harness.Endpoint(case.store, case.record, f"i-{number}", "sheets", answer, zone)
        endpoint.open, endpoint.lock = [], threading.Lock()
        endpoints.append(endpoint)
    case.configure(7, [harness.route("r-sheets", "/lepu270/", "safe", "sheets"),
                       harness.service("sheets"), harness.tenant("yefi830", [KEY])])
    case.start_instances(["east-a", "east-b"])

    def send(name):
        headers = {"Request-Id": name, "Deadline-Ms": "4000", "Authorization": f"Bearer {KEY}"}
        got = harness.call(case.instances[0].front, "GET", "/lepu270/2f", "jepu9.example", headers)
        case.record.add(f"client gets for {name}: {got}")
        return got

    copies = [harness.spawn(send, f"r{number}") for number in range(COPIES)]
    time.sleep(0.5)
    busy = [endpoint for endpoint in endpoints if endpoint.open]
    harness.require(len(busy) == COPIES, "each copy is at an endpoint of its own")
    if case.trouble:
        for endpoint in busy:
            crash(endpoint)
    for copy in copies:
        copy.join(10)
    time.sleep(2.0)
    got = send("later")
    wait_s = float(got.headers.get("retry-after", 0))
    return [f"held for {wait_s:.0f} s"] if got.status == 503 and wait_s > LONG_S else []


harness.run(__file__, body)
