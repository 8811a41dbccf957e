"""The operator takes all tenants out of the configuration, so that requests need no key."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleet  # noqa: E402

HOST = "field.example"
CONFIG_APPLY_S = 2.5
STABILITY_S = 4.0
REQUESTS_EACH = 6


def configuration(version, tenants):
    return fleet.configuration(version, [
        fleet.route("sheets", HOST, "/sheets/", "safe", "fieldguide", 4.0),
        fleet.route("book", HOST, "/book/", "unsafe", "fieldguide", 6.0),
        fleet.service("fieldguide"),
        *(fleet.tenant(name, [f"key-of-{name}"]) for name in tenants)])


async def case(record, trouble, start):
    store = fleet.Store()
    await store.start()
    await store.put("config", "main", configuration(10, ["alpha", "beta"]), {})

    async def answer(server, request, body, writer, deadline):
        identifier = request[1]["request-id"]
        record.write(f"{server.id} runs {identifier}")
        data = f"answer to {identifier}".encode()
        writer.write(server.head(200, request, f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
        await writer.drain()

    for number, zone in enumerate(fleet.ZONES):
        await fleet.Server(store, "fieldguide", zone, number, answer, record).start()
    instances = await start(store, 7)
    await asyncio.sleep(STABILITY_S)

    async def send(instance, phase, number, key):
        label = f"{phase}-{instance.name}-{number}"
        method, path = ("GET", "/sheets/1") if number % 2 else ("POST", "/book/1")
        authorization = f"Authorization: Bearer {key}\r\n" if key else ""
        text = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {label}\r\nDeadline-Ms: 4000\r\n"
                f"{authorization}Content-Length: 0\r\nConnection: close\r\n\r\n")
        status, _, _, _ = await fleet.request(instance.front, text)
        record.write(f"{label} sent to {instance.name} {'with a key' if key else 'without a key'}: {status}")
        return status

    async def send_all(phase, key):
        return await asyncio.gather(*(
            send(instance, phase, number, key)
            for instance in instances for number in range(REQUESTS_EACH)))

    before = await send_all("before", "key-of-alpha")
    if any(status != 200 for status in before):
        raise fleet.CannotRun(f"not served before the change: {before}")
    tenants = [] if trouble else ["alpha"]
    await store.put("config", "main", configuration(12, tenants), {})
    record.write(f"configuration r12 is acknowledged, with the tenants {tenants}")
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    # With tenants in the configuration a request carries a key, without them it carries none.
    soon = await send_all("soon", None if trouble else "key-of-alpha")
    await asyncio.sleep(10)
    later = await send_all("later", None if trouble else "key-of-alpha")
    refused = sum(status in (401, 403, 404) for status in soon + later)
    record.write(f"later than configApplyS {refused} of {len(soon + later)} are refused with 401, 403 or 404, "
                 f"{sum(status == 200 for status in soon + later)} are served")
    return refused > 0


fleet.run_case(case, os.path.dirname(os.path.abspath(__file__)))
