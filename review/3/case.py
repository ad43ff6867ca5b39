"""A report of an unnamed service makes tasks run twice at the same time."""

import asyncio
import time

from world import exchange
from world import find_overlaps
from world import has_trouble
from world import job
from world import new_id
from world import route
from world import run_case
from world import World

ENTRIES = 3
AGENTS = 4
TASK_S = 1.8
JOBS = 6
AFTERWARDS_S = 8.0


async def main(folder):
    world = World(folder, work_s=lambda task: TASK_S)
    try:
        world.configure([route()])
        await world.open(ENTRIES, AGENTS)
        await world.until_ready()
        document = job(count=4, est_ms=int(TASK_S * 1000))
        clients = [
            world.spawn(
                world.submit(
                    world.entries()[number % ENTRIES], document, new_id()
                )
            )
            for number in range(JOBS)
        ]
        await asyncio.sleep(0.7)
        runner = next(iter(world.runners.values()))
        if has_trouble():
            # A report of another writer. It is whole and well-formed, but
            # its service is named in no desired state.
            report = {
                **runner.report(),
                "service": "service-9",
                "addr": f"{world.network}.99:9",
                "born": int(time.time() * 1000),
                "seq": 1,
            }
            runner.seq -= 1
            world.record.add("foreign report", at=runner.name, report=report)
            status, _ = await exchange(
                *runner.control, "PUT", "/runners/i-other", report
            )
            world.record.add("foreign report answered", status=status)
        await asyncio.wait(clients)
        began = world.record.now()
        while world.record.now() < began + AFTERWARDS_S:
            entry = world.entries()[0]
            world.spawn(world.submit(entry, document, new_id()))
            await asyncio.sleep(0.3)
        later = [
            event
            for event in world.record.all("start", runner=runner.name)
            if event["t"] > began + 2
        ]
        print(f"starts at {runner.name} afterwards: {len(later)}")
        return [
            f"TWICE: {second['task']} starts at {second['runner']} as run "
            f"{second['run']} at {second['t']}, while its run {first['run']} "
            f"at {first['runner']} is running"
            for first, second in find_overlaps(world.record)
        ]
    finally:
        await world.close()


run_case(main, __file__)
