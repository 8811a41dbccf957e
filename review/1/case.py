"""A booking runs twice: it is repeated under a route whose prefix does not begin its path."""

import pathlib
import socket
import struct
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

KEY = "tnfzs989anu6wsjnbanf"
# Begins with /xapu221/ and not with /xapu221/ny95/.
PATH = "/xapu221/ny95"
BOOKINGS = 24
# One endpoint of two loses the answer of one in this many of the requests that it runs.
LOST_ONE_IN = 4


def answer(endpoint, sock, reader, line, headers):
    """Books, and answers unless this answer is one of those that are lost."""
    reader.exactly(int(headers.get("content-length", 0)))
    with endpoint.lock:
        endpoint.runs.append(headers["request-id"])
        endpoint.count += 1
        is_lost = endpoint.loses and endpoint.count % LOST_ONE_IN == 0
        endpoint.lost += is_lost
    endpoint.ran(line, headers, "; its answer is lost" if is_lost else "")
    if is_lost:
        # A close without lingering resets the channel.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False
    text = b"booked"
    sock.sendall(harness.answer_head(endpoint, headers, len(text)) + text)
    return True


def body(case):
    runs, lock, statuses = [], threading.Lock(), []
    endpoints = []
    for name in ("i-1", "i-2"):
        endpoint = harness.Endpoint(case.store, case.record, name, "bookings", answer)
        endpoint.runs, endpoint.lock, endpoint.count = runs, lock, 0
        endpoint.lost = 0
        endpoint.loses = case.trouble and name == "i-1"
        endpoints.append(endpoint)
    case.configure(7, [
        harness.route("r-bookings", "/xapu221/", "unsafe", "bookings"),
        harness.route("r-seats", "/xapu221/ny95/", "safe", "bookings"),
        harness.service("bookings"), harness.tenant("yefi830", [KEY]),
    ])
    case.start_instances(["east-a", "east-b"])
    for number in range(BOOKINGS):
        name, instance = f"r{number + 1}", case.instances[number % 2]
        headers = {"Request-Id": name, "Deadline-Ms": "4000", "Authorization": f"Bearer {KEY}"}
        case.record.add(f"client sends {name}: POST {PATH} to {instance.name}")
        got = harness.call(instance.front, "POST", PATH, "jepu9.example", headers, b"seat 2")
        statuses.append(got.status)
        case.record.add(f"client gets for {name}: {got}")
    twice = sorted({name for name in runs if runs.count(name) > 1})
    case.record.add(f"{len(runs)} runs of {len(set(runs))} bookings")
    if case.trouble:
        harness.require(endpoints[0].lost > 0, "an answer was lost")
    else:
        harness.require(set(statuses) == {200}, "every booking is served without the disruption")
    return [f"TWICE: {name} ran {runs.count(name)} times" for name in twice]


harness.run(__file__, body)
