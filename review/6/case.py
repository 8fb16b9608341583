"""A host that starts while the store turns it away and the host that it follows is lost misses a
change of the configuration for good."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

from standins import BOUNDS, TROUBLE, ZONES, Backend, World
from standins import configuration, now, run, send

APPLY_S = BOUNDS["config_apply_ms"] / 1e3
CONTACT_S = BOUNDS["contact_ms"] / 1e3
REFUSED_S = 5.0
# A host that reads the store asks again 0.6 s after each answer. The third host is started so that
# it asks the store, and then its seed, this long after an answer to the second one.
ASKS_AFTER_S = 0.42
# Earliest and latest such time at which the change can still fall into the third of a second that
# the third host waits for the first one. A busy machine may miss it; the host is then stopped and
# started once more.
ASKS_BETWEEN_S = (0.27, 0.58)
MAX_STARTS = 3
# Longer than a host remembers the polls of another one.
STOPPED_S = 8
# Time of the change after that.
CHANGE_AFTER_S = 0.05
CHECK_S = 30


def version(number, service):
    config = configuration(["quote-a", "quote-b"], [
        {"name": "r-quote", "hostname": "quote.example", "path_prefix": "/quote/",
         "type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 400, "max_attempts": 2,
         "priority": 2, "service": service}])
    return {**config, "version": number}


def settle(future, is_due):
    if is_due and not future.done():
        future.set_result(None)


async def start_refused(world, second, third, start_time):
    """Starts the third host, which the store turns away. Returns the time from the latest answer
    of the store to the second host until the third host asks."""
    answered = asyncio.get_running_loop().create_future()
    asked = asyncio.get_running_loop().create_future()
    world.store.on_watch_end = lambda host: settle(answered, host is second)
    await answered
    answered_at = now()
    await asyncio.sleep(max(0.0, ASKS_AFTER_S - start_time))
    world.store.on_call = lambda host: settle(asked, host is third)
    world.store.refused.add(third)
    world.record.write(f"the store turns {third.name} away")
    await third.start()
    await asyncio.wait_for(asked, timeout=5)
    return now() - answered_at


async def main():
    world = World(FOLDER, hosts=3)
    # Hosts with more processor come first in rank: the first one reads the store, the others
    # follow it.
    reader, second, third = world.hosts
    reader.cpu_share, second.cpu_share = 0.3, 0.2
    backends = [Backend(world, service, zone) for service in ("quote-a", "quote-b")
                for zone in ZONES]
    stale = []
    served = {}
    try:
        calls = {}
        world.store.on_call = lambda host: calls.setdefault(host, now())
        await world.start(backends, version(3, "quote-a"))
        # Time from the start of a process to its first call.
        start_time = calls[third] - third.started_at
        await asyncio.sleep(4)
        if TROUBLE:
            await third.terminate()
            reader.lose()
            # The second host reads the store itself by then.
            await asyncio.sleep(2)
            for start in range(MAX_STARTS):
                delay = await start_refused(world, second, third, start_time)
                if ASKS_BETWEEN_S[0] <= delay <= ASKS_BETWEEN_S[1] or start + 1 == MAX_STARTS:
                    break
                world.record.write(f"too early or too late for the change: {delay:.3f} s")
                await third.terminate()
                await asyncio.sleep(STOPPED_S)
            await asyncio.sleep(CHANGE_AFTER_S)
        world.store.put("op/config", version(5, "quote-b"))
        confirmed = now()
        world.record.write("version 5 is confirmed: the route goes from quote-a to quote-b")
        await asyncio.sleep(REFUSED_S)
        world.store.refused.clear()
        if TROUBLE:
            world.record.write("the store serves all hosts again")
            await third.wait_until_ready()
        await asyncio.sleep(CONTACT_S + 1)
        world.record.write("the hosts that are left are in touch")
        end = now() + CHECK_S
        while now() < end:
            for host in (second, third):
                began = now()
                assert began > confirmed + APPLY_S
                request_id, status = await send(
                    world, host, f"/quote/{began:.3f}", "quote.example")
                services = world.arrivals.get(request_id, [])
                key = (host.name, services[0] if services else "nobody", status)
                served[key] = served.get(key, 0) + 1
                if "quote-a" in services:
                    stale.append(request_id)
            await asyncio.sleep(0.5)
    finally:
        world.stop()
    text = (f"{len(stale)} requests that hosts in touch got later than config_apply_ms after the "
            f"confirmation were run by the old service (0 allowed); host, service, status: {served}")
    world.record.write(text)
    print(text)
    return 1 if stale else 0


run(main)
