"""Measures how soon a configuration version is active in all processes.

Starts a platform stand-in, entries and agents as separate processes on
loopback, applies versions one after another and asks the entries which
version is active in each process. Then counts the calls to the platform
while no version changes.
"""

import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any
import uuid

import docopt
import trio

from egretcart.connection.http_client import HttpClient
from egretcart.process.configuration.config_store import apply_change
from egretcart.process.configuration.config_store import PlatformConfigStore
from egretcart.process.operators.operator_client import EntryClient
from egretcart.process.settings import Address
from egretcart.process.store.etcd_platform import EtcdPlatform
from egretcart.process.store.platform_guard import PlatformLimits
from egretcart.version.change import Accepted
from egretcart.version.change import ProposedChange
from egretcart.version.document import Configuration
from egretcart.version.document import Service

USAGE = """Measure the propagation of configuration versions.

Usage:
  measure_configuration.py [--entries=N] [--agents=N] [--versions=N]
                           [--rest=SECONDS]

Options:
  --entries=N      [default: 3]
  --agents=N       [default: 33]
  --versions=N     [default: 100]
  --rest=SECONDS   Time at rest in which calls are counted [default: 75].
"""

HOST = "127.0.0.1"
SERVICE = "snapcheck"
START_TIMEOUT_S = 60.0
VERSION_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.01
VERSION_PAUSE_S = 0.1
MS_PER_S = 1000


class ProcessGroup:
    """The processes that the measurement starts."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: list[subprocess.Popen[str]] = []

    def start(
        self, name: str, role: list[str], settings: dict[str, Any]
    ) -> dict[str, Any]:
        """Start a process and return the ports that it prints."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = subprocess.Popen(
            [sys.executable, "-m", "egretcart", *role, str(path)],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        assert process.stdout is not None
        printed_ports: dict[str, Any] = json.loads(process.stdout.readline())
        return printed_ports

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            process.kill()
            process.wait()


def start_deployment(
    process_group: ProcessGroup, entry_count: int, agent_count: int
) -> tuple[int, list[Address]]:
    """Start all processes.

    Returns
    -------
    int
        Port of the platform stand-in.
    list of Address
        HTTP addresses of the entries.
    """
    local = {"host": HOST, "port": 0}
    platform = process_group.start(
        "platform", ["standin", "platform"], {"listen": local}
    )
    backend = process_group.start(
        "backend", ["standin", "backend"], {"listen": local}
    )
    store = {"host": HOST, "port": platform["port"]}
    seeds: list[dict[str, Any]] = []
    addresses: list[Address] = []
    for number in range(entry_count):
        entry = process_group.start(
            f"entry-{number}",
            ["entry"],
            {
                "entry_id": f"entry-{number}",
                "failure_domain": "kl-putra",
                "http": local,
                "peer": local,
                "seeds": seeds,
                "platform": store,
            },
        )
        seeds = [*seeds, {"host": HOST, "port": entry["peer_port"]}]
        addresses.append(Address(host=HOST, port=entry["http_port"]))
    for number in range(agent_count):
        process_group.start(
            f"agent-{number}",
            ["agent"],
            {
                "agent_id": f"agent-{number}",
                "failure_domain": "kl-putra",
                "service": SERVICE,
                "slots": 8,
                "connections": 64,
                "backend": {"host": HOST, "port": backend["port"]},
                "seeds": seeds,
            },
        )
    return platform["port"], addresses


async def read_versions(clients: list[EntryClient]) -> dict[str, int]:
    """Return the active version of each process, by process ID."""
    found: dict[str, int] = {}
    for client in clients:
        report = await client.read_processes()
        found[report.entry.entry_id] = report.entry.config_version
        for agent in report.agents:
            if agent.is_led:
                found[agent.agent_id] = agent.config_version
    return found


async def apply_version(
    store: PlatformConfigStore, base: int, task_limit: int
) -> float:
    """Apply a version; return the clock time at which it was accepted."""
    change = ProposedChange(
        change_id=str(uuid.uuid4()),
        base=base,
        document=Configuration(
            services=(Service(name=SERVICE),), max_tasks_per_job=task_limit
        ),
        who="measurement",
        why="measurement",
        when="",
    )
    outcome = await apply_change(store, change, time_limit_s=VERSION_TIMEOUT_S)
    assert isinstance(outcome, Accepted), outcome
    return trio.current_time()


async def measure_propagation(
    clients: list[EntryClient],
    version: int,
    accepted_at_s: float,
    processes: int,
) -> list[float]:
    """Return the seconds until each process reported a version."""
    seen: dict[str, float] = {}
    with trio.fail_after(START_TIMEOUT_S):
        while len(seen) < processes:
            found = await read_versions(clients)
            now = trio.current_time()
            for name, reported in found.items():
                if reported >= version:
                    seen.setdefault(name, now - accepted_at_s)
            await trio.sleep(POLL_INTERVAL_S)
    return list(seen.values())


def quantile(values: list[float], level: float) -> float:
    """Return the smallest value that a fraction of all don't exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(level * len(ordered)))]


async def count_calls(port: int, seconds: float) -> dict[str, float]:
    """Return the calls per second that the platform served, by path."""
    client = HttpClient(host=HOST, port=port, max_connections=1)

    async def read() -> dict[str, int]:
        answer = await client.exchange("GET", "/control/calls", time_limit_s=5)
        counts: dict[str, int] = json.loads(answer.body)["by_path"]
        return counts

    before = await read()
    await trio.sleep(seconds)
    after = await read()
    return {
        path: (count - before.get(path, 0)) / seconds
        for path, count in after.items()
        if count > before.get(path, 0)
    }


async def measure(
    port: int, addresses: list[Address], options: dict[str, Any]
) -> None:
    """Measure propagation and calls at rest; print the figures."""
    processes = len(addresses) + int(options["--agents"])
    clients = [EntryClient(address=address) for address in addresses]
    # The rate limit of the client must not delay this tool's own calls.
    limits = PlatformLimits(calls_per_s=1000.0, burst=1000.0)
    platform = EtcdPlatform(host=HOST, port=port, limits=limits)
    store = PlatformConfigStore(platform=platform)
    accepted = await apply_version(store, 0, 1)
    await measure_propagation(clients, 1, accepted, processes)
    process_times_s: list[float] = []
    slowest_times_s: list[float] = []
    for version in range(2, int(options["--versions"]) + 2):
        accepted = await apply_version(store, version - 1, version)
        times = await measure_propagation(
            clients, version, accepted, processes
        )
        process_times_s += times
        slowest_times_s.append(max(times))
        await trio.sleep(VERSION_PAUSE_S)
    print(f"{processes} processes, {len(slowest_times_s)} versions")
    for name, values in (
        ("each process", process_times_s),
        ("the last one", slowest_times_s),
    ):
        figures = "  ".join(
            f"p{level * 100:.0f} {quantile(values, level) * MS_PER_S:.0f} ms"
            for level in (0.5, 0.99)
        )
        print(f"{name}: {figures}  max {max(values) * MS_PER_S:.0f} ms")
    rates = await count_calls(port, float(options["--rest"]))
    print(f"calls at rest: {sum(rates.values()):.2f} a second in all")
    for path, rate in sorted(rates.items()):
        print(f"  {path}: {rate:.3f} a second")


def main() -> None:
    """Run the measurement."""
    options = docopt.docopt(USAGE)
    with tempfile.TemporaryDirectory() as folder:
        process_group = ProcessGroup(pathlib.Path(folder))
        try:
            port, addresses = start_deployment(
                process_group,
                int(options["--entries"]),
                int(options["--agents"]),
            )
            trio.run(measure, port, addresses, options)
        finally:
            process_group.stop()


if __name__ == "__main__":
    main()
