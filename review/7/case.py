"""A request that crashes its servers, from a consumer that leaves before they crash."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

from standins import BOUNDS, TROUBLE, ZONES, Backend, World
from standins import conclude, configuration, now, order, routes, run, send

OBJECTIVE_MS = 400
# Half the objective.
LEAVES_AFTER_S = OBJECTIVE_MS / 2 / 1e3
CRASHES_AFTER_S = 0.5
SPELL_S = 5.5
PAUSE_S = 7.0


async def main():
    world = World(FOLDER, hosts=3)
    backends = [Backend(world, "quote-desk", ZONES[i % 3], CRASHES_AFTER_S) for i in range(12)]
    try:
        await world.start(backends, configuration(["quote-desk"], routes()))
        others = asyncio.create_task(order(world))
        sent = []
        for spell in range(2):
            end = now() + SPELL_S
            world.record.write(f"spell {spell + 1} of the consumer with the crashing request")
            while now() < end:
                host = world.hosts[len(sent) % len(world.hosts)]
                leave = LEAVES_AFTER_S if TROUBLE else None
                began = now()
                request_id, status = await send(
                    world, host, "/quote/crashing", "quote.example", leave)
                sent.append((began, request_id, status))
                await asyncio.sleep(max(0.0, began + 0.9 - now()))
            await asyncio.sleep(PAUSE_S if spell == 0 else 1.0)
        others.cancel()
    finally:
        world.stop()
    if len(world.crashes) < 3:
        world.record.write(f"only {len(world.crashes)} crashes")
        late = []
    else:
        bound = world.crashes[2] + BOUNDS["contact_ms"] / 1e3
        late = [r for began, r, _ in sent if began > bound and r in world.arrivals]
    return conclude(world, late)


run(main)
