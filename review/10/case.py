"""A request crashes each engine that runs it, and all daemons are killed twice while it comes again."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
import rig  # noqa: E402

CRASHER = "/swap-credit/9"
# The site has three engines of this service.
LEDGER = dict(service=rig.PLAIN, slots=6, work_ms=30, crash_on=CRASHER)
ROUTES = [(("swap-credit", "non_idempotent", rig.PLAIN, 800, 150), dict(maxAttempts=1))]
ENGINES = 3
# An engine that crashed is back after this time, and the request comes again a little later.
ENGINE_DOWN_S = 3.0
PAUSE_S = 4.5
REQUESTS = 9
# All daemons are killed after these, one in the middle of the day and one at its end, and start again as
# after the last fault of the site.
KILLED_AFTER = [2, 4]
DAEMONS_DOWN_S = 1.3
CONTACT_MS = rig.BOUNDS["contactMs"]
ALLOWED = 3


async def case(record, trouble):
    world = rig.World(record, ROUTES)
    tasks = []
    try:
        await world.begin([LEDGER] * ENGINES)
        serving = True

        async def keep_up(slot):
            """Starts the engine of a slot again after it crashed."""
            while True:
                name = [n for n, e in world.engines.items()
                        if e["plan"]["addr"].endswith(f".{20 + slot}:{world.port}")][-1]
                while world.engines[name]["child"].poll() is None:
                    await asyncio.sleep(0.02)
                world.note(f"engine {name} has crashed")
                await asyncio.sleep(ENGINE_DOWN_S)
                await world.start_engine(slot, LEDGER)

        async def call_on():
            """Other calls, some of which run on the engines that crash: eight a second as on the sheet."""
            number = 0
            while serving:
                number += 1
                try:
                    await world.ask(number % 3, "/swap-credit/1", f"credit{number:04d}", 1500, 1.5)
                except OSError:
                    pass
                await asyncio.sleep(0.09)

        tasks = [asyncio.ensure_future(keep_up(slot)) for slot in range(ENGINES)]
        calls = asyncio.ensure_future(call_on())
        for number in range(1, REQUESTS + 1):
            # The same path, caller and body, at one daemon after the other.
            await world.ask(number % 3, CRASHER, f"crasher{number}", 1500, 1.5)
            await asyncio.sleep(PAUSE_S)
            if trouble and number in KILLED_AFTER:
                for index, daemon in enumerate(world.daemons):
                    daemon.send_signal(signal.SIGKILL)
                    world.note(f"daemon {index} is killed")
                for daemon in world.daemons:
                    daemon.wait()
                await asyncio.sleep(DAEMONS_DOWN_S)
                for index in range(world.count):
                    world.start_daemon(index)
                for index in range(world.count):
                    await world.wait_ready(index)
                await asyncio.sleep(CONTACT_MS / 1000 + 1)
                world.note("all daemons are in touch again")
        serving = False
        await calls
        runs = sorted(run for run in world.runs() if run[2].startswith("crasher"))
        crashes = [run for run in runs if run[1] == "crash"]
        for when, _, request, engine in crashes:
            world.note(f"{request} crashed engine {engine} at {when}")
    finally:
        for task in tasks:
            task.cancel()
        await world.end()
    if len(crashes) < 3:
        raise rig.CannotRun(f"the request crashed {len(crashes)} engines only")
    third = crashes[2][0]
    late = [run for run in runs if run[1] == "run" and run[0] > third + CONTACT_MS]
    if len(late) > ALLOWED:
        return [f"the request crashed {len(crashes)} engines; {len(late)} retries reached engines later than "
                f"{CONTACT_MS} ms after the third crash, {ALLOWED} are allowed"]
    return []


rig.main(case)
