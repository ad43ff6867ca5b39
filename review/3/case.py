"""Tasks of one service's queue start on a runner of another service."""

import asyncio

from world import has_trouble
from world import job
from world import new_id
from world import route
from world import run_case
from world import World

ENTRIES = 3
AGENTS = 4
LENGTH_S = 12.0
JOBS_PER_S = 10


async def main(folder):
    world = World(folder, work_s=lambda task: 0.2)
    try:
        world.configure(
            [
                route(),
                route(name="r-2", prefix="/other-queue/", service="service-2"),
            ],
            services=("service-1", "service-2"),
        )
        await world.open(ENTRIES, AGENTS)
        await world.until_ready()
        if has_trouble():
            # An empty runner is added, the first one of the other service.
            machine, runner = world.add_agent(AGENTS + 1, 1, "service-2")
            await machine.start()
            world.spawn(machine.watch())
            await runner.start()
            await asyncio.sleep(4.0)
        clients = []
        until = world.record.now() + LENGTH_S
        while world.record.now() < until:
            entry = world.entries()[len(clients) % ENTRIES]
            clients.append(world.spawn(world.submit(entry, job(), new_id())))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.wait(clients, timeout=20)
        starts = world.record.all("start")
        wrong = [e for e in starts if e["service"] != "service-1"]
        print(f"{len(wrong)} of {len(starts)} starts on service-2's runner")
        return [
            f"ROUTE: {event['task']}, of a queue of service-1, starts on "
            f"{event['runner']} of {event['service']} at {event['t']}"
            for event in wrong
        ]
    finally:
        await world.close()


run_case(main, __file__)
