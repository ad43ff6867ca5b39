"""Measures what a job costs an entry and a run costs its agents.

Runs one entry and its agents as processes, with stand-ins for the store and
the backend servers, and prints the processor time of a job at the entry and
of a run at the agents, in microseconds, over that of the same time without
jobs. With --profile it prints the shares of the parts of the program
instead, as a profile slows the program down.

Run it with PYTHONPATH=.:tests/features/steps, for its stand-ins.

Usage:
  measure_job_cost [--seconds=N] [--rate=N] [--agents=N] [--profile]

Options:
  --seconds=N  Time with jobs, and the same time without any [default: 8].
  --rate=N     Jobs of four tasks per second [default: 25].
  --agents=N   Number of agents [default: 5].
  --profile    Print the shares of a profile.
"""

from collections import Counter
import contextlib
import json
import os
import pathlib
import pstats
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile

from docopt import docopt
from platform_standins import REPORT_INTERVAL_S
from platform_standins import RunnerStandIn
from platform_standins import StoreStandIn
import trio

from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.connection.http_listener import HttpListener
from egretcart.connection.http_server import Handler
from egretcart.connection.http_server import HttpLimits

ROOT = pathlib.Path(__file__).resolve().parent.parent
TASKS_PER_JOB = 4
TASK_MS = 60.0
HOST = "127.0.0.1"
ENTRY_HOST = "127.0.0.31"
SETTLE_S = 2.0
START_TIMEOUT_S = 60
FAILED = 0
OK = 200
NS_PER_US = 1000
UNITS = {"entry": "job", "agent": "run"}
ROLES = tuple(UNITS)
STEP = {"count": TASKS_PER_JOB, "cpu": 1600, "memMb": 64, "estMs": TASK_MS}
ROUTE = {
    "name": "r-1",
    "host": ENTRY_HOST,
    "prefix": "/queue/",
    "sloMs": 2000,
    "service": "service-1",
    "attempts": 4,
    "stretch": 1.6,
}
# The profile begins with the jobs, at a signal.
PROFILED = """
import cProfile, os, signal, sys
sys.path.insert(0, "platform")
sys.path.insert(1, ".")
from adapter.main import main
profile = cProfile.Profile()
signal.signal(signal.SIGUSR1, lambda *_: profile.enable())
main()
profile.disable()
profile.dump_stats(os.environ["EGRETCART_CONFIG"] + ".profile")
"""
# Parts of the program by their files; the first match counts.
PARTS = {
    "log lines": r"/direct/log/|/eliot/",
    "HTTP": r"/h11/|/http_(server|client|listener)",
    "frames": r"/(frames|peer_link|traffic|wire|messages)\.py|thriftpy2",
    "sockets": r"/socket_io|/_socket|/_highlevel|/readable\.py",
    "event loop": r"/trio/|/outcome/|/contextlib|generated methods",
    "documents of callers and servers": r"/adapter/",
    "placement": r"/(task_sender|placement|views|working_set)\.py",
    "claim, admission, effects": r"/direct/(entry|policy|request)/",
    "runs and statuses": r"/direct/(agent|backend)/",
}


def free_address(host: str) -> str:
    """Return an address that is free, as host and port."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class Processes:
    """An entry and its agents as processes, and their stand-ins.

    Parameters
    ----------
    nursery : trio.Nursery
    folder : pathlib.Path
    is_profiled : bool
    """

    def __init__(
        self, *, nursery: trio.Nursery, folder: pathlib.Path, is_profiled: bool
    ) -> None:
        self.nursery = nursery
        self.folder = folder
        self.is_profiled = is_profiled
        self.peers = free_address(ENTRY_HOST)
        self.callers = free_address(ENTRY_HOST)
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    async def start(self, agents: int) -> None:
        """Start all processes and wait until the entry knows its agents."""
        store = StoreStandIn()
        routes = {"version": 1, "routes": [ROUTE], "services": []}
        store.put("op/config", json.dumps(routes).encode())
        store_address = await self._serve(store.handle)
        for number in range(1, agents + 1):
            runner = RunnerStandIn(name=f"i-{number}", work_ms=TASK_MS)
            self.nursery.start_soon(runner.run)
            backend = await self._serve(runner.handle)
            control = free_address(HOST)
            self._run(
                f"agent-{number}",
                store=store_address,
                host=HOST,
                control=control,
                backend=backend,
            )
            self.nursery.start_soon(self._report, runner, control)
        self._run(
            "entry-1",
            store=store_address,
            host=ENTRY_HOST,
            callers=self.callers,
            readiness=free_address(ENTRY_HOST),
        )
        with trio.fail_after(START_TIMEOUT_S):
            while (await submit_jobs(self.callers, 1, 1))[OK] == 0:
                pass
        await trio.sleep(SETTLE_S)

    async def _serve(self, handler: Handler) -> str:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        listener = HttpListener(handler=handler, limits=HttpLimits())
        self.nursery.start_soon(listener.serve, listeners, self.nursery)
        return f"{HOST}:{listeners[0].socket.getsockname()[1]}"

    def _run(self, name: str, **settings: str) -> None:
        document = {
            "node": name,
            "failure_domain": "zone-1",
            "peer_port": int(self.peers.rpartition(":")[2]),
            "seeds": [f"{ENTRY_HOST}:1"],
            **settings,
        }
        path = self.folder / name
        path.write_text(json.dumps(document))
        program = ["-c", PROFILED] if self.is_profiled else ["platform"]
        self.running[name] = subprocess.Popen(
            [sys.executable, *program, name.partition("-")[0]],
            cwd=ROOT,
            env={**os.environ, "EGRETCART_CONFIG": str(path)},
            stdout=subprocess.DEVNULL,
        )

    async def _report(self, runner: RunnerStandIn, control: str) -> None:
        host, _, port = control.partition(":")
        client = HttpClient(host=host, port=int(port), max_connections=1)
        while True:
            with contextlib.suppress(ExchangeError):
                await client.exchange(
                    "PUT",
                    f"/runners/{runner.backend.instance}",
                    body=json.dumps(runner.report()).encode(),
                    time_limit_s=1.0,
                )
            await trio.sleep(REPORT_INTERVAL_S)

    def used_us(self, role: str) -> float:
        """Return the processor time that a role has used, in microseconds."""
        return (
            sum(
                int(
                    pathlib.Path(f"/proc/{p.pid}/schedstat")
                    .read_text()
                    .split()[0]
                )
                for name, p in self.running.items()
                if name.startswith(role)
            )
            / NS_PER_US
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to all processes."""
        for process in self.running.values():
            process.send_signal(number)

    def stop(self) -> None:
        """Stop all processes and wait until they have ended."""
        self.signal(signal.SIGTERM)
        for process in self.running.values():
            process.wait()


async def submit_jobs(
    callers: str, rate: float, limit_s: float
) -> Counter[int]:
    """Submit jobs at a rate; return the number of answers by status."""
    host, _, port = callers.partition(":")
    client = HttpClient(host=host, port=int(port), max_connections=50)
    statuses: Counter[int] = Counter()
    body = json.dumps({"spec": "s", "steps": [STEP], "bestEffort": True})

    async def submit() -> None:
        try:
            response = await client.exchange(
                "POST",
                f"/queue/{random.getrandbits(64):016x}",
                body=body.encode(),
                time_limit_s=30.0,
            )
        except ExchangeError:
            statuses[FAILED] += 1
            return
        statuses[response.status] += 1

    async with trio.open_nursery() as nursery:
        for _ in range(round(rate * limit_s)):
            nursery.start_soon(submit)
            await trio.sleep(1 / rate)
    return statuses


def part_of(function: tuple[str, int, str]) -> str | None:
    """Return the part of the program that a function belongs to."""
    for part, pattern in PARTS.items():
        if re.search(pattern, function[0]):
            return part
    return None


def print_shares(path: pathlib.Path) -> None:
    """Print the shares of the parts in a profile's time at work."""
    shares: Counter[str] = Counter()
    # Functions outside the program count with the part that calls them.
    profile = pstats.Stats(str(path)).stats  # type: ignore[attr-defined]
    for function, row in profile.items():
        if "poll" in function[2] and "epoll" in function[2]:
            continue
        own_part = part_of(function)
        if own_part is not None:
            shares[own_part] += row[2]
            continue
        for caller, caller_row in row[4].items():
            shares[part_of(caller) or "others"] += caller_row[2]
    whole = sum(shares.values())
    for part, seconds in shares.most_common():
        print(f"  {part:34}{seconds / whole:7.1%}")


async def measure(arguments: dict[str, str]) -> None:
    """Run the processes and print their costs."""
    limit_s, rate = float(arguments["--seconds"]), float(arguments["--rate"])
    is_profiled = bool(arguments["--profile"])
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            processes = Processes(
                nursery=nursery,
                folder=pathlib.Path(folder),
                is_profiled=is_profiled,
            )
            try:
                await processes.start(int(arguments["--agents"]))
                used = [[processes.used_us(role) for role in ROLES]]
                await trio.sleep(limit_s)
                used.append([processes.used_us(role) for role in ROLES])
                if is_profiled:
                    processes.signal(signal.SIGUSR1)
                statuses = await submit_jobs(processes.callers, rate, limit_s)
                used.append([processes.used_us(role) for role in ROLES])
            finally:
                processes.stop()
            nursery.cancel_scope.cancel()
        jobs = statuses[OK]
        print(f"answers by status: {dict(statuses)}")
        for role, count, before, idle, after in zip(
            ROLES, (jobs, jobs * TASKS_PER_JOB), *used, strict=True
        ):
            cost = (after - idle - (idle - before)) / max(count, 1)
            print(
                f"{role}: {before:.0f} us to start, "
                f"{(idle - before) / limit_s:.0f} us a second without jobs, "
                f"{cost:.0f} us a {UNITS[role]}"
            )
            if is_profiled:
                print_shares(pathlib.Path(folder) / f"{role}-1.profile")


if __name__ == "__main__":
    trio.run(measure, docopt(__doc__))
