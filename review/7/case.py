"""A key is withdrawn while answers to requests that were accepted with it are on their way."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleet  # noqa: E402

HOST = "bookings.example"
TIMEOUT_S = 12.0
CONFIG_APPLY_S = 2.5
# A slow server: it has run the booking, and sends its answer over six seconds.
ANSWER_BYTES = 240_000
PARTS = 24
PART_PAUSE_S = 0.25
REQUESTS = 14


def resources(keys):
    return [
        fleet.route("book", HOST, "/book/", "unsafe", "bookings", TIMEOUT_S),
        fleet.service("bookings"),
        fleet.tenant("alpha", keys),
    ]


async def case(record, trouble, start):
    store = fleet.Store()
    await store.start()
    await store.put("config", "main", fleet.configuration(10, resources(["key-one", "key-two"])), {})

    async def answer(server, request, body, writer):
        identifier = request[1]["request-id"]
        record.write(f"{server.id} runs {identifier} of {request[1].get('tenant-id')}")
        writer.write(server.head(200, request, f"Content-Length: {ANSWER_BYTES}\r\n\r\n").encode())
        for _ in range(PARTS):
            writer.write(b"x" * (ANSWER_BYTES // PARTS))
            await writer.drain()
            await asyncio.sleep(PART_PAUSE_S)
        record.write(f"{server.id} has sent the whole answer to {identifier}")

    for number in range(6):
        zone = list(fleet.ZONES)[number]
        await fleet.Server(store, "bookings", zone, number, answer, record).start()
    instances = await start(store, 7)
    await asyncio.sleep(2)

    async def send(number, key, label):
        instance = instances[number % len(instances)]
        identifier = f"{label}-{number}"
        sent_at = record.now()
        record.write(f"{identifier} is sent to {instance.name} with {key}")
        text = (f"POST /book/course HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {identifier}\r\n"
                f"Deadline-Ms: 12000\r\nAuthorization: Bearer {key}\r\nContent-Length: 4\r\n\r\n")
        status, _, data, whole = await fleet.request(instance.front, text, b"body")
        took = record.now() - sent_at
        record.write(f"{identifier}: status {status}, {len(data)} bytes, "
                     f"{'whole' if whole else 'CUT'} after {took:.3f} s")
        return status == 200 and whole, took

    # Some requests before the change: none of them may be cut, whatever the key.
    before = await asyncio.gather(*(send(number, "key-two", "before") for number in range(REQUESTS)))
    tasks = [asyncio.ensure_future(send(number, "key-two", "during")) for number in range(REQUESTS)]
    tasks += [asyncio.ensure_future(send(number, "key-one", "other")) for number in range(REQUESTS)]
    await asyncio.sleep(1.5)
    keys = ["key-one"] if trouble else ["key-one", "key-two"]
    sent = record.now()
    await store.put("config", "main", fleet.configuration(12, resources(keys)), {})
    acknowledged = record.now()
    record.write(f"configuration r12 with {len(keys)} keys, sent {sent:.3f}, acknowledged {acknowledged:.3f}")
    during = await asyncio.gather(*tasks)
    cut = [took for is_whole, took in during if not is_whole]
    record.write(f"before: {sum(not whole for whole, _ in before)} of {len(before)} cut; "
                 f"during: {len(cut)} of {len(during)} cut, after {[round(took, 2) for took in cut]} s")
    if any(not whole for whole, _ in before):
        raise fleet.CannotRun("requests were cut before the change")
    # Cut within configApplyS + 1 s of the acknowledgement, before seven tenths of the time were used.
    late = [took for took in cut if took < 0.7 * TIMEOUT_S and took < 1.5 + CONFIG_APPLY_S + 1.0]
    return len(late) > 0


fleet.run_case(case, os.path.dirname(os.path.abspath(__file__)))
