"""A faulty server answers without end; what was sent behind that request on its channel is lost."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "lib-3"))
import rig as r

KEY = "tnfzs989anu6wsjnbanf"
CHANNELS, BEHIND = 3, 3


async def script(rig, trouble):
    async def act(server, request, writer):
        """Chunks without an end, until the caller closes."""
        if not trouble:
            return False
        stamp = server.stamp(request.get("request-id"))
        head = "".join(f"{n}: {v}\r\n" for n, v in stamp.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        while True:
            writer.write(b"2000\r\n" + b"x" * 0x2000 + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)

    resources = [r.route("reads", "/lepu270/", "bollettino", "safe", 1.2),
                 r.route("stocks", "/hucu512/", "magazzini", "safe", 3.0),
                 r.service("bollettino"), r.service("magazzini"),
                 r.tenant("yefi830", KEY), r.limits()]
    servers = [r.Server(rig, "bollettino", zone, act=act) for zone in r.ZONES]
    servers += [r.Server(rig, "magazzini", zone, work_s=0.3) for zone in r.ZONES]
    await rig.start(resources, servers, ["palermo-a", *r.ZONES])
    await asyncio.sleep(5)

    async def use_channel(number):
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.instances[0].front)
        key = {"Authorization": "Bearer " + KEY}

        def send(path, request_id, deadline_ms):
            rig.record.line(f"client sends {request_id}")
            headers = {"Request-Id": request_id, "Deadline-Ms": str(deadline_ms), **key}
            writer.write(r.encode("GET", path, headers))

        async def receive(request_id):
            answer = await r.read_answer(reader)
            is_whole = bool(answer and answer.is_whole)
            rig.record.line(f"client gets {answer.status if answer else None} for {request_id},"
                            f" whole: {is_whole}")
            return answer if is_whole else None

        send("/hucu512/2f", f"c{number}-first", 3000)
        if await receive(f"c{number}-first") is None:
            raise r.CannotRun("the first request on a channel failed")
        send("/lepu270/2f", f"c{number}-faulty", 1200)
        behind = [f"c{number}-behind{n}" for n in range(BEHIND)]
        for request_id in behind:
            send("/hucu512/2f", request_id, 3000)
        await receive(f"c{number}-faulty")
        lost = [i for i in behind if await receive(i) is None]
        writer.close()
        return lost

    lost = sum(await asyncio.gather(*(use_channel(n) for n in range(CHANNELS))), [])
    ran = {i for _, i, server, _ in rig.runs if server.service == "magazzini"}
    lost = [i for i in lost if i in ran]
    rig.record.line(f"lost although a sound server ran them: {lost}")
    return f"LOST, {len(lost)} requests" if len(lost) > 3 else None


sys.exit(r.main(HERE, script))
