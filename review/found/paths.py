"""Paths reach the endpoint in another spelling; other readings of the pages beside it."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

KEY = "tnfzs989anu6wsjnbanf"
PATHS = ["/lepu270/a%c3%a9%7e", "/lepu270/plain"]


def answer(endpoint, sock, reader, line, headers):
    endpoint.ran(line, headers)
    if "/switch" in line:
        sock.sendall(b"HTTP/1.1 101 Switching Protocols\r\nRequest-Id: "
                     + headers["request-id"].encode() + b"\r\nConnection: upgrade\r\n\r\n")
        return False
    reader.exactly(int(headers.get("content-length", 0)))
    endpoint.paths[headers["request-id"]] = line.split()[1]
    sock.sendall(harness.answer_head(endpoint, headers, 2) + b"ok")
    return True


def body(case):
    endpoint = harness.Endpoint(case.store, case.record, "i-1", "sheets", answer)
    endpoint.paths = {}
    case.configure(7, [harness.route("r-sheets", "/lepu270/", "safe", "sheets"),
                       harness.service("sheets"), harness.tenant("yefi830", [KEY])])
    case.start_instances(["east-a"])

    def send(name, path, headers=None, chunks=b"", method="GET"):
        fields = {"Request-Id": name, "Deadline-Ms": "4000", "Authorization": f"Bearer {KEY}"}
        request = harness.request_bytes(method, path, "jepu9.example", {**fields, **(headers or {})})
        with harness.connect(case.instances[0].front) as sock:
            sock.sendall(request + chunks)
            got = harness.read_answer(harness.Reader(sock))
        case.record.add(f"client sends {name}: {method} {path}, gets {got}")

    sent = {f"r{number}": path for number, path in enumerate(PATHS)}
    for name, path in sent.items():
        send(name, path)
    send("upgrade", "/lepu270/plain", {"Connection": "Upgrade", "Upgrade": "h2c"})
    send("slashes", "/lepu270/a//b")
    send("switch", "/lepu270/switch")
    body_chunks = b"2000\r\n" + b"x" * 8192 + b"\r\n"
    send("chunks", "/lepu270/plain", {"Transfer-Encoding": "chunked"},
         body_chunks * 9 + b"0\r\n\r\n", "POST")
    harness.require(all(name in endpoint.paths for name in sent), "the requests ran")
    return [f"UNASKED: {path} reached the endpoint as {endpoint.paths[name]}"
            for name, path in sent.items() if endpoint.paths[name] != path]


harness.run(__file__, body)
