"""All machines but one or two are lost for good; the directory goes on naming them."""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
import rig as r

LOST = int(os.environ.get("LOST", "6"))
LIMIT_S = r.BOUNDS["stabilityS"] + 3


async def script(rig, trouble):
    resources = [r.route("reads", "/lepu270/", "bollettino", "safe", 1.2),
                 r.service("bollettino"), r.tenant("yefi830", "tnfzs989anu6wsjnbanf"), r.limits()]
    servers = [r.Server(rig, "bollettino", zone) for zone in r.ZONES]
    await rig.start(resources, servers, ["palermo-a", *r.ZONES])
    await asyncio.sleep(12)
    lost, left = rig.instances[:LOST], rig.instances[LOST:]
    if trouble:
        rig.record.line(f"{LOST} of {len(rig.instances)} machines are lost")
        for instance in lost:
            instance.kill()
    lost_at = rig.record.now()
    stale, answers = [], 0
    names = {f"127.0.0.1:{instance.front}": instance for instance in rig.instances}
    while rig.record.now() < lost_at + 25:
        for instance in left:
            for zone, region in r.ZONES.items():
                path = f"/-/resolve?name={r.HOST}&region={region}&zone={zone}"
                at = rig.record.now() - lost_at
                answer = await asyncio.wait_for(r.fetch(instance.directory, "GET", path, {}), 1)
                if answer is None or answer.status != 200:
                    continue
                answers += 1
                named = [names[address] for address in json.loads(answer.body)["addresses"]]
                dead = [n.name for n in named if trouble and n in lost]
                rig.record.line(f"client in {zone} asks {instance.name}, {at:.2f} s after the loss, gets "
                                f"{answer.status}: {' '.join(n.name for n in named)}")
                if dead and len(dead) < len(named):
                    rig.record.line(f"{instance.name} names for {zone}, {at:.2f} s after the loss,"
                                    f" lost machines beside a running one: {' '.join(dead)}")
                    if at > LIMIT_S:
                        stale.append(at)
                elif dead:
                    rig.record.line(f"{instance.name} names for {zone}, {at:.2f} s after the loss,"
                                    f" only lost machines: {' '.join(dead)}")
        await asyncio.sleep(0.25)
    if answers < 50:
        raise r.CannotRun("the directory hardly answered")
    last = f", the last one after {max(stale):.1f} s" if stale else ""
    return f"DRAIN, {len(stale)} answers of {answers} later than {LIMIT_S} s{last}" if len(stale) > 3 else None


sys.exit(r.main(HERE, script))
