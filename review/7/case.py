"""The operator adds a tenant whose name has capital letters, and takes a key of another tenant away."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleet  # noqa: E402

HOST = "field.example"
CONFIG_APPLY_S = 2.5
STABILITY_S = 4.0
REQUESTS_EACH = 6


def resources(tenants):
    return [
        fleet.route("sheets", HOST, "/sheets/", "safe", "fieldguide", 4.0),
        fleet.service("fieldguide"),
        *(fleet.tenant(name, keys) for name, keys in tenants.items()),
    ]


async def case(record, trouble, start):
    store = fleet.Store()
    await store.start()
    tenants = {"alpha": ["key-of-alpha", "leaked-key"], "beta": ["key-of-beta"]}
    await store.put("config", "main", fleet.configuration(10, resources(tenants)), {})

    async def answer(server, request, body, writer, deadline):
        identifier = request[1]["request-id"]
        record.write(f"{server.id} runs {identifier} of {request[1].get('tenant-id')}")
        data = f"answer to {identifier}".encode()
        writer.write(server.head(200, request, f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
        await writer.drain()

    for number in range(6):
        zone = list(fleet.ZONES)[number]
        await fleet.Server(store, "fieldguide", zone, number, answer, record).start()
    instances = await start(store, 7)
    await asyncio.sleep(STABILITY_S)

    async def send(instance, key, label):
        text = (f"GET /sheets/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {label}\r\nDeadline-Ms: 4000\r\n"
                f"Authorization: Bearer {key}\r\nConnection: close\r\n\r\n")
        record.write(f"{label} is sent to {instance.name} with {key}")
        status, _, _, _ = await fleet.request(instance.front, text)
        record.write(f"{label}: status {status}")
        return status

    async def send_all(phase, key):
        """Sends some requests with a key to each instance and returns the statuses."""
        labels = [(instance, f"{phase}-{instance.name}-{number}")
                  for instance in instances for number in range(REQUESTS_EACH)]
        return await asyncio.gather(*(send(instance, key, label) for instance, label in labels))

    before = await send_all("before", "leaked-key")
    if any(status != 200 for status in before):
        raise fleet.CannotRun(f"not served before the change: {before}")
    name = "Laboratorio" if trouble else "laboratorio"
    tenants = {"alpha": ["key-of-alpha"], "beta": ["key-of-beta"], name: ["key-of-laboratorio"]}
    await store.put("config", "main", fleet.configuration(12, resources(tenants)), {})
    record.write(f"configuration r12 is acknowledged: tenant {name} added, leaked-key removed")
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    dropped = await send_all("dropped", "leaked-key")
    added = await send_all("added", "key-of-laboratorio")
    # Much later, and after a further version, the same.
    await store.put("config", "main", fleet.configuration(15, resources(tenants)), {})
    record.write("configuration r15 is acknowledged: the same")
    await asyncio.sleep(15)
    later = await send_all("later", "leaked-key")
    served = sum(status == 200 for status in dropped + later)
    refused = sum(status == 401 for status in added)
    record.write(f"with the dropped key {served} of {len(dropped + later)} are served; "
                 f"with the added key {refused} of {len(added)} get 401")
    return served > 0 or refused > 0


fleet.run_case(case, os.path.dirname(os.path.abspath(__file__)))
