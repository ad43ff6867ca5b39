"""The command ``egretcart demo``: a deployment in one process on loopback."""

import json

import msgspec
import trio

from egretcart.connection.caller import Caller
from egretcart.connection.caller import CallerAnswer
from egretcart.load.counters import Counters
from egretcart.load.counters import parse_counters
from egretcart.load.ideal import ideal_response_s
from egretcart.load.profile import ServerGroup
from egretcart.process.agent.agent_process import AgentProcess
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.cell.leadership import Phase
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.clock import SystemClock
from egretcart.process.configuration.config_store import CONFIG_KEY
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.process.entry.entry_process import EntryProcess
from egretcart.process.settings import Address
from egretcart.process.settings import AgentSettings
from egretcart.process.settings import EntrySettings
from egretcart.process.store.etcd_platform import EtcdPlatform
from egretcart.request.identity import new_job_id
from egretcart.testing.backend import BackendStandIn
from egretcart.testing.platform import PlatformStandIn
from egretcart.version.document import Configuration
from egretcart.version.document import Service

HOST = "127.0.0.1"
SERVICE = "snapcheck"
# The run time of a task on a server is divided by the server's speed.
SERVER_SPEEDS = (1.0, 2.0, 0.5)
SLOTS_PER_SERVER = 4
TASK_COUNT = 24
TASK_RUN_MS = 50
ENTRY_COUNT = 2
ROUND_TRIP_MS = 1.0
ANSWER_TIMEOUT_S = 30.0
MAX_READY_POLLS = 750
POLL_INTERVAL_S = 0.02
HTTP_OK = 200


async def _start_entries(
    nursery: trio.Nursery, platform_port: int
) -> list[EntryProcess]:
    entries: list[EntryProcess] = []
    for number in range(ENTRY_COUNT):
        seeds = tuple(
            Address(host=HOST, port=entry.address.port) for entry in entries
        )
        process = EntryProcess(
            settings=EntrySettings(
                entry_id=f"entry-{number}",
                failure_domain="demo",
                http=Address(host=HOST, port=0),
                peer=Address(host=HOST, port=0),
                seeds=seeds,
                platform=Address(host=HOST, port=platform_port),
            ),
            limits=EntryLimits(),
            leader_limits=LeaderLimits(),
            clock=SystemClock(),
        )
        await nursery.start(process.run)
        entries.append(process)
    return entries


async def _start_agents(
    nursery: trio.Nursery, entries: list[EntryProcess]
) -> list[AgentProcess]:
    agents: list[AgentProcess] = []
    for number, speed in enumerate(SERVER_SPEEDS):
        backend = BackendStandIn(speed=speed, slots=SLOTS_PER_SERVER)
        port = await nursery.start(backend.run)
        agent = AgentProcess(
            settings=AgentSettings(
                agent_id=f"agent-{number}",
                failure_domain="demo",
                service=SERVICE,
                slots=SLOTS_PER_SERVER,
                connections=16,
                backend=Address(host=HOST, port=port),
                seeds=tuple(
                    Address(host=HOST, port=entry.address.port)
                    for entry in entries
                ),
            ),
            limits=AgentLimits(),
            clock=SystemClock(),
        )
        await nursery.start(agent.run)
        agents.append(agent)
    return agents


def _is_ready(entry: EntryProcess) -> bool:
    """Return whether an entry serves a cell and counts all of its agents.

    A counted agent has promised the leader's term and is part of majorities.
    """
    return any(
        leadership.phase is Phase.SERVING
        and leadership.quorum.size == len(SERVER_SPEEDS)
        and leadership.quorum.is_complete()
        for leadership in entry.entry.leaderships.values()
    )


async def _wait_until_ready(entries: list[EntryProcess]) -> None:
    for _ in range(MAX_READY_POLLS):
        if any(_is_ready(entry) for entry in entries):
            return
        await trio.sleep(POLL_INTERVAL_S)


async def run_demo() -> int:
    """Run one job on a whole deployment; print its answer and measurements.

    Returns
    -------
    int
        Exit code: 0 if the answer is complete, otherwise 1.
    """
    async with trio.open_nursery() as nursery:
        platform = PlatformStandIn()
        platform_port = await nursery.start(platform.run)
        configuration = Configuration(
            version=1, services=(Service(name=SERVICE),)
        )
        store = EtcdPlatform(host=HOST, port=platform_port)
        await store.compare_and_swap(
            CONFIG_KEY, msgspec.json.encode(configuration), 0
        )
        entries = await _start_entries(nursery, platform_port)
        agents = await _start_agents(nursery, entries)
        await _wait_until_ready(entries)
        answer, elapsed_s = await _submit(entries)
        print(json.dumps(json.loads(answer.body or b"{}"), indent=2))
        _print_measurements(entries, agents, elapsed_s)
        nursery.cancel_scope.cancel()
    return 0 if answer.status == HTTP_OK else 1


async def _submit(entries: list[EntryProcess]) -> tuple[CallerAnswer, float]:
    caller = Caller(
        addresses=[(HOST, entry.http_port) for entry in entries],
        service=SERVICE,
    )
    tasks = [
        {"payload": {"run_ms": TASK_RUN_MS, "echo": f"page-{n}"}}
        for n in range(TASK_COUNT)
    ]
    started_at = trio.current_time()
    answer = await caller.submit(
        new_job_id(),
        msgspec.json.encode({"tasks": tasks}),
        give_up_s=ANSWER_TIMEOUT_S,
        time_limit_s=ANSWER_TIMEOUT_S,
    )
    elapsed_s = trio.current_time() - started_at
    await caller.aclose()
    return answer, elapsed_s


def _print_measurements(
    entries: list[EntryProcess], agents: list[AgentProcess], elapsed_s: float
) -> None:
    """Print the job's measurements from the counters of all processes."""
    counters = Counters()
    processes: list[EntryProcess | AgentProcess] = [*entries, *agents]
    for process in processes:
        counters.add(parse_counters(process.metrics.render()))
    ideal_s = ideal_response_s(
        [TASK_RUN_MS] * TASK_COUNT,
        [
            ServerGroup(count=1, slots=SLOTS_PER_SERVER, speed=s)
            for s in SERVER_SPEEDS
        ],
        round_trip_ms=ROUND_TRIP_MS,
    )
    messages = counters.messages(control=False)
    wasted = counters.total("egretcart_messages_wasted")
    print(
        f"\n{TASK_COUNT} tasks of {TASK_RUN_MS} ms "
        f"on {len(SERVER_SPEEDS)} backend servers "
        f"of {SLOTS_PER_SERVER} slots\n"
        f"response time   {1000 * elapsed_s:.0f} ms, "
        f"{elapsed_s / ideal_s:.2f} of the ideal {1000 * ideal_s:.0f} ms\n"
        f"messages        {messages:.0f}, {messages / TASK_COUNT:.2f} a task; "
        f"{wasted:.0f} wasted; "
        f"{counters.messages(control=True):.0f} control messages"
    )
    for agent, speed in zip(agents, SERVER_SPEEDS, strict=True):
        agent_counters = parse_counters(agent.metrics.render())
        print(
            f"{agent.settings.agent_id:<15} "
            f"{agent_counters.total('egretcart_starts'):.0f} "
            f"starts at speed {speed}"
        )
