"""The platform reads a daemon's log late."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
import rig  # noqa: E402

LEDGER = dict(service=rig.PLAIN, slots=6, work_ms=30)
TIMEOUT_MS = 800
ROUTES = [(("stock-lookup", "idempotent", rig.PLAIN, TIMEOUT_MS, 150), {})]
# Four callers at each daemon, each with four calls a second.
CALLERS = 12
PAUSE_S = 0.22
LATE_S = 50.0


async def case(record, trouble):
    world = rig.World(record, ROUTES)
    calls = []
    try:
        await world.begin([LEDGER, LEDGER, LEDGER])
        end = time.monotonic() + LATE_S + 6

        async def caller(number):
            turn = 0
            await asyncio.sleep(PAUSE_S * number / CALLERS)
            while time.monotonic() < end:
                turn += 1
                ask = f"lookup{number:02d}{turn:04d}"
                begun = time.monotonic()
                answer = await world.ask(number % 3, "/stock-lookup/1", ask, 1500, 3.0)
                status, _, _, whole = answer
                taken = time.monotonic() - begun
                calls.append((number % 3, taken, status != 0 and whole))
                await asyncio.sleep(PAUSE_S)

        callers = [asyncio.ensure_future(caller(number)) for number in range(CALLERS)]
        await asyncio.sleep(3.0)
        if trouble:
            world.readers[0].send_signal(signal.SIGSTOP)
            world.note("the reader of daemon 0's log pauses")
            await asyncio.sleep(LATE_S)
            world.readers[0].send_signal(signal.SIGCONT)
            world.note("the reader of daemon 0's log goes on")
        await asyncio.gather(*callers)
    finally:
        await world.end()
    # Those that are unanswered at their route's timeoutMs, and those of them that still are half a
    # second later.
    late = [call for call in calls if call[1] > TIMEOUT_MS / 1000]
    unanswered = [call for call in late if not call[2] or call[1] > TIMEOUT_MS / 1000 + 0.5]
    if len(late) >= 8 and len(unanswered) * 2 > len(late):
        daemons = sorted({call[0] for call in unanswered})
        return [f"{len(late)} of {len(calls)} requests are unanswered at timeoutMs, and "
                f"{len(unanswered)} of these have no answer half a second later (daemons {daemons})"]
    return []


rig.main(case)
