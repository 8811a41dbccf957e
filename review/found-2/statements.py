"""A service is taken out of the configuration and put back while one of its servers says that it leaves."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleet  # noqa: E402

HOST = "field.example"
DRAIN_S = 2.5


def configuration(version, services):
    resources = [fleet.tenant("alpha", ["key-of-alpha"])]
    for name in services:
        resources += [fleet.route(name, HOST, f"/{name}/", "safe", name, 4.0), fleet.service(name)]
    return fleet.configuration(version, resources)


async def case(record, trouble, start):
    store = fleet.Store()
    await store.start()
    await store.put("config", "main", configuration(10, ["fieldguide", "bookings"]), {})
    leaving, runs = set(), []

    async def answer(server, request, body, writer, deadline):
        runs.append((record.now(), server.id))
        record.write(f"{server.id} runs {request[1]['request-id']}")
        statement = "Server-Leaving: 1\r\n" if server.id in leaving else ""
        writer.write(server.head(200, request, f"{statement}Content-Length: 0\r\n\r\n").encode())
        await writer.drain()

    servers = [fleet.Server(store, name, zone, number, answer, record)
               for name in ("fieldguide", "bookings") for number, zone in enumerate(fleet.ZONES)]
    for server in servers:
        await server.start()
    instances = await start(store, 7)
    await asyncio.sleep(4)

    async def send_for(phase, seconds):
        ends_at, number = record.now() + seconds, 0
        while record.now() < ends_at:
            for instance in instances:
                number += 1
                await fleet.request(instance.front, (
                    f"GET /fieldguide/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {phase}-{number}\r\n"
                    "Deadline-Ms: 4000\r\nAuthorization: Bearer key-of-alpha\r\nConnection: close\r\n\r\n"))
            await asyncio.sleep(0.02)

    await send_for("before", 2)
    left = servers[0]
    leaving.add(left.id)
    said_at = record.now()
    record.write(f"{left.id} says in all its answers that it leaves")
    await send_for("leaving", DRAIN_S + 1)
    if trouble:
        await store.put("config", "main", configuration(11, ["bookings"]), {})
        await asyncio.sleep(2)
        await store.put("config", "main", configuration(12, ["fieldguide", "bookings"]), {})
        record.write("the service was taken out of the configuration and put back")
    await send_for("after", 5)
    late = [round(at - said_at, 2) for at, server in runs if server == left.id and at > said_at + DRAIN_S]
    record.write(f"runs at {left.id} later than drainS after it first said so: {late}")
    return len(late) > 0


fleet.run_case(case, os.path.dirname(os.path.abspath(__file__)))
