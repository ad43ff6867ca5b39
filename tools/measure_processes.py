"""Measures the cost of idle processes by the number of agents.

Usage:
  measure_processes.py [--agents=COUNTS] [--seconds=S]

Options:
  --agents=COUNTS  Numbers of agents, separated by commas [default: 11,44,88].
  --seconds=S      Length of each measurement [default: 15].
"""

import json
import os
import pathlib
import time
from typing import Any

from deployment import Deployment
from deployment import loopback
from deployment import request
from deployment import ROOT
import docopt

EXAMPLE = ROOT / "examples" / "snapcheck"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STARTUP_WAIT_S = 8.0
KB_PER_MB = 1024


class WideDeployment(Deployment):
    """The snapcheck example with any number of agents.

    All agents use the first backend server.

    Parameters
    ----------
    count : int
        Number of agents.
    """

    def __init__(self, *, count: int) -> None:
        super().__init__(EXAMPLE)
        self.count = count

    def _start_agents(self) -> None:
        for number in range(self.count):
            doc = {
                "agent_id": f"runner-{number:03}",
                "failure_domain": f"domain-{number % 4}",
                "service": "snapcheck",
                "slots": 8,
                "connections": 64,
                "backend": loopback(self.backends[0].ready["port"]),
                "seeds": self._peer_addresses(),
                "http": loopback(),
            }
            name = str(doc["agent_id"])
            self.agents.append(self.start(name, ["agent"], doc))
        for agent in self.agents:
            agent.wait_ready()


def cpu_time_s(pid: int) -> float:
    """Return the processor time of a process so far, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / KB_PER_MB
    raise ValueError(f"process {pid} has no resident memory")


def measure(count: int, seconds: float) -> dict[str, Any]:
    """Return the cost of each role when idle, with a number of agents.

    Core shares are processor seconds per second; the leader's is listed
    separately, too.
    """
    deployment = WideDeployment(count=count)
    try:
        deployment.start_backends()
        deployment.start_system()
        time.sleep(STARTUP_WAIT_S)
        processes_by_role = {
            "entry": deployment.entries,
            "agent": deployment.agents,
        }
        before = {
            process.process.pid: cpu_time_s(process.process.pid)
            for group in processes_by_role.values()
            for process in group
        }
        time.sleep(seconds)
        leader = _leader_pid(deployment)
        result: dict[str, Any] = {"agents": count}
        for role, group in processes_by_role.items():
            core_share_by_pid = {
                process.process.pid: (
                    cpu_time_s(process.process.pid)
                    - before[process.process.pid]
                )
                / seconds
                for process in group
            }
            result[f"{role}_core_share_mean"] = sum(
                core_share_by_pid.values()
            ) / len(core_share_by_pid)
            result[f"{role}_mb_max"] = max(map(resident_mb, core_share_by_pid))
            if leader in core_share_by_pid:
                result["leader_core_share"] = core_share_by_pid[leader]
        return result
    finally:
        deployment.close()


def _leader_pid(deployment: Deployment) -> int:
    for entry in deployment.entries:
        status = request(entry.ready["http_port"], "GET", "/v1/status")
        if status["leading"]:
            return entry.process.pid
    raise RuntimeError("no entry leads a cell")


def main() -> None:
    """Print one measurement for each number of agents as JSON."""
    arguments = docopt.docopt(__doc__)
    seconds = float(arguments["--seconds"])
    counts = [int(count) for count in arguments["--agents"].split(",")]
    print(json.dumps([measure(count, seconds) for count in counts], indent=2))


if __name__ == "__main__":
    main()
