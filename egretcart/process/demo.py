"""A whole deployment in one process on loopback."""

import json
from typing import Any

import msgspec
import trio

from egretcart.connection.http_client import HttpClient
from egretcart.process.agent import AgentLimits
from egretcart.process.agent_process import AgentProcess
from egretcart.process.clock import SystemClock
from egretcart.process.config_store import CONFIG_KEY
from egretcart.process.entry import EntryLimits
from egretcart.process.entry_process import EntryProcess
from egretcart.process.limits import LeaderLimits
from egretcart.process.platform import EtcdPlatform
from egretcart.process.settings import Address
from egretcart.process.settings import AgentSettings
from egretcart.process.settings import EntrySettings
from egretcart.request.identity import new_job_id
from egretcart.testing.backend import BackendStandIn
from egretcart.testing.platform import PlatformStandIn
from egretcart.version.document import Configuration
from egretcart.version.document import Service

HOST = "127.0.0.1"
SERVICE = "snapcheck"
SPEEDS = (1.0, 2.0, 0.5)
TASKS = 24
RUN_MS = 50
ENTRIES = 2
ANSWER_LIMIT_S = 30.0


async def _start_entries(
    nursery: trio.Nursery, platform_port: int
) -> list[EntryProcess]:
    entries: list[EntryProcess] = []
    for number in range(ENTRIES):
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
) -> list[BackendStandIn]:
    backends: list[BackendStandIn] = []
    for number, speed in enumerate(SPEEDS):
        backend = BackendStandIn(speed=speed)
        port = await nursery.start(backend.run)
        agent = AgentProcess(
            settings=AgentSettings(
                agent_id=f"agent-{number}",
                failure_domain="demo",
                service=SERVICE,
                slots=4,
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
        backends.append(backend)
    return backends


async def run_demo() -> int:
    """Run one job through a whole deployment and print its answer.

    Returns
    -------
    int
        Exit code.
    """
    status = 0
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
        backends = await _start_agents(nursery, entries)
        answer, elapsed_s = await _submit(entries[-1].http_port)
        print(json.dumps(answer, indent=2))
        starts = sum(len(backend.starts) for backend in backends)
        print(
            f"{TASKS} tasks, {starts} starts at {len(backends)} backend "
            f"servers, answered in {elapsed_s * 1000:.0f} ms"
        )
        if answer.get("state") != "complete":
            status = 1
        nursery.cancel_scope.cancel()
    return status


async def _submit(http_port: int) -> tuple[dict[str, Any], float]:
    client = HttpClient(host=HOST, port=http_port, max_connections=1)
    tasks = [
        {"payload": {"run_ms": RUN_MS, "echo": f"page-{n}"}}
        for n in range(TASKS)
    ]
    path = f"/v1/services/{SERVICE}/jobs/{new_job_id()}"
    body = msgspec.json.encode({"tasks": tasks})
    while True:
        began = trio.current_time()
        response = await client.exchange(
            "PUT", path, body=body, time_limit_s=ANSWER_LIMIT_S
        )
        answer = msgspec.json.decode(response.body)
        if "retry_after_s" not in answer and response.status != 404:
            return answer, trio.current_time() - began
        await trio.sleep(answer.get("retry_after_s", 0.2))
