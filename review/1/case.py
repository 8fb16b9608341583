"""A backend's entry is taken away while the hosts change over to another source of the registry.
Earlier, the store was out for four seconds; then the zone with the five largest machines is lost."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import stand  # noqa: E402

ZONES = ["z1"] * 5 + ["z2"] * 3 + ["z3"] * 2  # of the machines; z1 is lost
LARGE, SMALL = 0.25, 0.17  # cores of the machines of z1, and of the others
STORE_OUT_S = 4.0
CALM_S = 9.0  # from the return of the store to the loss of the zone; contact_ms is 4 s
REMOVED_AFTER_S = 0.3  # from the loss of the zone
EXIT_AFTER_S = 4.0  # from the confirmation of the removal: drain_ms and a little longer
CONSUMERS = 15


async def consume(world, number, answers, until):
    """One consumer: orders one after the other at a host that is not lost."""
    left = [h for h in world.hosts if h.zone != "z1"]
    host = left[number % len(left)]
    count = 0
    while not until.is_set():
        count += 1
        request_id = f"r{number}-{count}"
        headers = {"Host": "app.example", "Request-Id": request_id, "Deadline-Ms": "2000", "Content-Length": "5"}
        world.record.line(f"sent {request_id} to {host.name}")
        sending = stand.request(host.ip, host.front, f"POST /order/{request_id} HTTP/1.1", headers, b"order")
        try:
            answer = await asyncio.wait_for(sending, 3)
        except (asyncio.TimeoutError, OSError):
            answer = None
        status = answer[0] if answer else None
        answers[request_id] = status
        world.record.line(f"answered {request_id}: {status}")
        await asyncio.sleep(0.05)


async def run(world, trouble):
    world.hosts = [stand.Host(world, i, z, LARGE if z == "z1" else SMALL) for i, z in enumerate(ZONES)]
    world.backends = [stand.Backend(world, "orders", f"i-{i:04x}", zone="z2", work_s=0.15) for i in range(4)]
    await world.start(stand.config(1, [stand.route("r1", "/order/", "non_idempotent", 2000, 300, service="orders")],
                                   ["orders"]))
    await asyncio.sleep(3)
    answers, until = {}, asyncio.Event()
    consumers = [asyncio.create_task(consume(world, n, answers, until)) for n in range(CONSUMERS)]
    if trouble:
        world.set_store_down(True)
        await asyncio.sleep(STORE_OUT_S)
        world.set_store_down(False)
    await asyncio.sleep(CALM_S)
    if trouble:
        for host in world.hosts:
            if host.zone == "z1":
                # Without power, a machine answers nothing and closes nothing.
                host.signal(signal.SIGSTOP)
        world.record.line("the machines of zone z1 have no power")
    await asyncio.sleep(REMOVED_AFTER_S)
    gone = world.backends[0]
    await gone.deregister()
    confirmed = world.record.now()
    world.record.line(f"the store has confirmed that {gone.id} is gone")
    await asyncio.sleep(EXIT_AFTER_S)
    gone.stop()
    world.record.line(f"{gone.id} ends")
    await asyncio.sleep(2)
    until.set()
    await asyncio.gather(*consumers)

    bound = world.bounds["drain_ms"] / 1e3
    late = [at - confirmed for runs in world.runs.values() for at, backend in runs
            if backend == gone.id and at > confirmed + bound]
    lost = [r for r, runs in world.runs.items() if runs[-1][1] == gone.id and answers.get(r) != 200]
    world.record.line(f"{len(late)} requests reached {gone.id} later than drain_ms after the confirmation, "
                      f"the last {max(late, default=0):.2f} s after it; {len(lost)} orders that it ran were lost")
    print(f"late requests: {len(late)}, orders lost with the backend: {len(lost)}")
    return bool(late)


stand.main(run, FOLDER)
