"""A popular read is in progress at servers that crash together, and is held for hours."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
import rig as r

PATH = "/lepu270/oggi"
CRASH_S = 4.5
CRASHED, OTHERS = 8, 5
WORK_S = 0.44
RATE = 100.0


async def script(rig, trouble):
    resources = [r.route("reads", "/lepu270/", "bollettino", "safe", 2.0, public=True),
                 r.service("bollettino"), r.tenant("yefi830", "tnfzs989anu6wsjnbanf"), r.limits()]
    places = ["palermo-a"] * CRASHED + [z for z in list(r.ZONES)[1:] for _ in range(OTHERS)]
    servers = [r.Server(rig, "bollettino", zone, work_s=WORK_S) for zone in places]
    await rig.start(resources, servers, ["palermo-a", *r.ZONES])
    outcomes, number, ends = [], 0, asyncio.Event()

    async def send(request_id, instance):
        headers = {"Request-Id": request_id, "Deadline-Ms": "2000"}
        at = rig.record.now()
        try:
            answer = await asyncio.wait_for(r.fetch(instance.front, "GET", PATH, headers), 2.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = None
        status = answer.status if answer else None
        outcomes.append((at, status))
        again = f" Retry-After {answer.headers['retry-after']}" if answer and "retry-after" in answer.headers else ""
        rig.record.line(f"{request_id} at {instance.name}: {status}{again}")

    async def traffic():
        nonlocal number
        while not ends.is_set():
            number += 1
            rig.spawn(send(f"t{number}", rig.instances[number % len(rig.instances)]))
            await asyncio.sleep(1 / RATE)

    await asyncio.sleep(4)
    rig.spawn(traffic())
    await asyncio.sleep(10)
    if trouble:
        rig.record.line("all servers of palermo-a crash")
        for server in servers[:CRASHED]:
            server.crash(back_after_s=CRASH_S)
    await asyncio.sleep(CRASH_S + 1)
    if trouble:
        for instance in rig.instances:
            instance.kill()
        await asyncio.sleep(0.54)
        for instance in rig.instances:
            instance.start()
        await rig.wait_ready()
    back_at = rig.record.now()
    await asyncio.sleep(r.BOUNDS["recoveryS"] + 12)
    ends.set()
    await asyncio.sleep(1.5)
    share = lambda part: sum(s == 200 for _, s in part) / max(1, len(part))
    before = share([o for o in outcomes if o[0] < 14])
    after = share([o for o in outcomes if o[0] > back_at + r.BOUNDS["recoveryS"]])
    rig.record.line(f"served: {before:.3f} before, {after:.3f} later than recoveryS after the return")
    print(f"served: {before:.3f} before, {after:.3f} after")
    if before < 0.25:
        raise r.CannotRun("less than a quarter was served before")
    return f"RECOVER, {after:.3f} served" if after < 0.25 else None


sys.exit(r.main(HERE, script))
