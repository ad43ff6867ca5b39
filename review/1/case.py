"""One job with a wrong estimate ends the processes of all entries."""

import asyncio

from world import has_trouble
from world import job
from world import new_id
from world import route
from world import run_case
from world import submit_until_answered
from world import World

ENTRIES = 3
AGENTS = 4
# The 3 s of the largest dose of `poison`; the jobs of these seconds.
TROUBLE_S = 3.0
JOBS_PER_S = 20
# At most one in twenty of the jobs of these seconds.
WRONG_JOBS = 3
SOUND_ESTIMATE_MS = 200
LONG_TASK_S = 1.8
# The run time of such a task in nanoseconds, where milliseconds are due.
WRONG_ESTIMATE_MS = 1_800_000_000
LENGTH_S = 40.0
# The rule: on a tenth of the machines in use (two at least) processes end by
# themselves three times in the day.
MIN_MACHINES = 2
MIN_ENDS = 3


async def main(folder):
    long_jobs = set()
    world = World(
        folder,
        work_s=lambda task: (
            LONG_TASK_S if task.split(".")[0] in long_jobs else 0.2
        ),
    )
    try:
        world.configure([route()])
        await world.open(ENTRIES, AGENTS)
        await world.until_ready()
        began = world.record.now()
        until = began + LENGTH_S
        sound, wrong = [], []
        entries = world.entries()

        def send(estimate_ms, clients):
            turn = (len(sound) + len(wrong)) % ENTRIES
            job_id = new_id()
            if clients is wrong:
                long_jobs.add(job_id)
            clients.append(
                world.spawn(
                    submit_until_answered(
                        world,
                        job_id,
                        job(est_ms=estimate_ms),
                        entries[turn:] + entries[:turn],
                        until,
                    )
                )
            )

        while world.record.now() < until:
            since_s = world.record.now() - began
            is_due = since_s > len(wrong) * TROUBLE_S / WRONG_JOBS
            if is_due and len(wrong) < WRONG_JOBS:
                is_wrong = has_trouble()
                send(
                    WRONG_ESTIMATE_MS if is_wrong else LONG_TASK_S * 1000,
                    wrong,
                )
            send(SOUND_ESTIMATE_MS, sound)
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.wait(sound + wrong, timeout=10)
        broken_off = len(world.record.all("answered", status=-1))
        print(f"{len(sound)} sound jobs, {broken_off} requests broken off")
        ends = {m.name: m.exits for m in world.machines.values()}
        print(f"ends of processes: {ends}")
        often = [name for name in ends if len(ends[name]) >= MIN_ENDS]
        if len(often) < max(MIN_MACHINES, len(ends) / 10):
            return []
        return [
            f"Fault: {name} has ended by itself {len(ends[name])} times"
            for name in often
        ]
    finally:
        await world.close()


run_case(main, __file__)
