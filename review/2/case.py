"""An answer without a length is cut by the death of the relaying instance and looks complete."""

import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

KEY = "tnfzs989anu6wsjnbanf"
WHOLE = b"".join(b"line %06d of the sheet\n" % number for number in range(1500))
FIRST_PART = len(WHOLE) // 3
# Time between the two parts of the endpoint's answer; within the route's timeout.
PAUSE_S = 1.5
# Time for which packets between edge-1 and the endpoint are lost.
LINK_LOSS_S = 0.2


def answer_without_length(endpoint, sock, reader, line, headers):
    """Answers with a body that ends with the channel, in two parts."""
    endpoint.ran(line, headers)
    sock.sendall(harness.answer_head(endpoint, headers) + WHOLE[:FIRST_PART])
    endpoint.has_begun = True
    time.sleep(PAUSE_S)
    sock.sendall(WHOLE[FIRST_PART:])
    endpoint.record.add(f"endpoint {endpoint.name} has sent all {len(WHOLE)} bytes")
    return False


def fill_queue(endpoint):
    """Makes the kernel drop the opening packets of new channels to the endpoint."""
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex((harness.HOST, endpoint.port))
    time.sleep(0.1)
    return fillers


def body(case):
    endpoint = harness.Endpoint(case.store, case.record, "i-1", "sheets", answer_without_length,
                                backlog=0, accepts=not case.trouble)
    endpoint.has_begun = False
    case.configure(7, [
        harness.route("r-sheets", "/lepu270/", "safe", "sheets", timeout_s=4.0),
        harness.service("sheets"), harness.tenant("yefi830", [KEY]),
    ])
    case.start_instances(["east-a", "east-b"])
    front, relay = case.instances
    answers = []

    def send():
        case.record.add("client sends r1: GET /lepu270/2f to edge-1")
        headers = {"Request-Id": "r1", "Deadline-Ms": "4000", "Authorization": f"Bearer {KEY}"}
        answers.append(harness.call(front.front, "GET", "/lepu270/2f", "jepu9.example", headers))
        case.record.add(f"client gets {answers[0]}")

    if not case.trouble:
        send()
    else:
        fillers = fill_queue(endpoint)
        case.record.add("packets from edge-1 to the endpoint are lost from now on")
        client = harness.spawn(send)
        time.sleep(LINK_LOSS_S)
        for filler in fillers:
            filler.close()
        endpoint.start_accepting()
        case.record.add("packets to the endpoint arrive again")
        case.wait("the endpoint has begun to answer", lambda: endpoint.has_begun, 5.0)
        time.sleep(0.3)
        relay.kill()
        case.record.add("edge-2 is killed")
        client.join(15)
    answer = answers[0]
    if not case.trouble:
        harness.require(answer.status == 200 and answer.body == WHOLE,
                        "the request is served without the disruption")
    is_success = answer.status is not None and 200 <= answer.status < 300
    if is_success and answer.is_complete and answer.body != WHOLE:
        return [f"MIXED: a success that looks complete has {len(answer.body)} of the endpoint's "
                f"{len(WHOLE)} bytes"]
    return []


harness.run(__file__, body)
