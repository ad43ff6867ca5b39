"""Measures the heartbeat traffic of a leader whose agents are busy.

Runs the decision logic and the codec of one entry and its agents in one
process, without a network, and prints one JSON document: control bytes per
second between the leader and its agents, in both directions. Control bytes
are those of heartbeats, of their replies, and of the rounds that starts and
results carry: all bytes beyond those of starts and results alone.
"""

from collections import defaultdict
import json

from measure_capacity import PACKET_OVERHEAD_BYTES
from measure_capacity import SimulatedCell
from msgspec.structs import replace

from egretcart.connection.agent_messages import HeartbeatReply
from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.codec import encode_frame
from egretcart.connection.leader_messages import Heartbeat
from egretcart.connection.leader_messages import Start
from egretcart.connection.messages import Message
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import BeginExchange
from egretcart.process.agent.agent_types import ExchangeOutcome
from egretcart.process.agent.agent_types import TaskKey
from egretcart.process.cell.effects import SendToAgent
from egretcart.request.verdict import Verdict

AGENTS = 36
TASK_RUN_TIME_S = 0.15
# The clock advances in steps; the entry's tick runs at every tenth step.
STEP_S = 0.002
STEPS_PER_TICK = 10
WARM_UP_S = 5.0
MEASURED_S = 15.0
TASKS_PER_JOB = 5
# Rates of the runs, in starts per second and agent.
STARTS_PER_AGENT_S = (1, 5, 20, 50)
SUCCESSFUL_OUTCOME = ExchangeOutcome(
    succeeded=True,
    verdict=Verdict.RAN,
    body=b"done",
    content_type="application/json",
    run_time_s=TASK_RUN_TIME_S,
)


def frame_bytes(batch: list[Message]) -> int:
    """Return the bytes of a batch that is sent as one frame in one packet.

    An empty batch is not sent and has 0 bytes.
    """
    if not batch:
        return 0
    return len(encode_frame(batch)) + PACKET_OVERHEAD_BYTES


def without_control(batch: list[Message]) -> list[Message]:
    """Return a batch without its heartbeats and their replies.

    The rounds that starts and results carry in place of separate heartbeats
    (piggybacked rounds) are set to 0.
    """
    remaining: list[Message] = []
    for message in batch:
        if isinstance(message, Start):
            message = replace(message, round=0, proven_stamp_us=0)
        elif isinstance(message, TaskResult):
            message = replace(message, round=0, stamp_us=0)
        if not isinstance(message, Heartbeat | HeartbeatReply):
            remaining.append(message)
    return remaining


class BusyCell(SimulatedCell):
    """A cell whose exchanges with backend servers take `TASK_RUN_TIME_S`.

    Parameters
    ----------
    size : int
        Number of agents of the cell.

    Attributes
    ----------
    running : list of (float, Agent, TaskKey)
        Open exchanges, the first to end first: time of the end in seconds of
        the clock, agent and task.
    batches : dict of (str, bool) to list of Message
        Messages sent since the last `count`, by agent ID and direction: true
        from the leader to the agent, false from the agent to the leader.
    control_bytes : int
        Bytes beyond those of starts and results alone, in both directions.
    heartbeats : int
        Number of heartbeats and of their replies that were sent as separate
        messages.
    started, refused : int
        Number of tasks that agents started, and of starts that were refused.
    """

    def __init__(self, *, size: int) -> None:
        self.running: list[tuple[float, Agent, TaskKey]] = []
        self.batches: defaultdict[tuple[str, bool], list[Message]]
        self.batches = defaultdict(list)
        self.control_bytes = 0
        self.heartbeats = 0
        self.started = 0
        self.refused = 0
        super().__init__(size=size)

    def deliver(self, effects: list) -> None:
        """Apply an entry's effects and record the messages to agents."""
        for effect in effects:
            if isinstance(effect, SendToAgent):
                self.batches[effect.agent_id, True].append(effect.message)
        super().deliver(effects)

    def apply_agent_effects(self, agent: Agent, effects: list) -> list:
        """Apply an agent's effects; exchanges end after their run time."""
        agent_id = agent.identity.agent_id
        other_effects = []
        for effect in effects:
            if isinstance(effect, BeginExchange):
                key = (effect.start.job_id, effect.start.task)
                ends_at = self.clock.monotonic() + TASK_RUN_TIME_S
                self.running.append((ends_at, agent, key))
                self.started += 1
                continue
            if isinstance(effect.message, TaskResult):
                refused = effect.message.verdict == Verdict.NOT_RUN.value
                self.refused += refused
            self.batches[agent_id, False].append(effect.message)
            other_effects.append(effect)
        produced = super().apply_agent_effects(agent, other_effects)
        for effect in produced:
            if isinstance(effect, SendToAgent):
                self.batches[effect.agent_id, True].append(effect.message)
        return produced

    def step(self) -> None:
        """Advance the clock by one step and end the exchanges that are due."""
        self.clock.advance(STEP_S)
        now = self.clock.monotonic()
        while self.running and self.running[0][0] <= now:
            _, agent, key = self.running.pop(0)
            ended = agent.exchange_ended(key, SUCCESSFUL_OUTCOME)
            super().deliver(self.apply_agent_effects(agent, ended))

    def count(self) -> None:
        """Add the messages sent since the last call to the counts.

        The messages of an agent and direction since the last call count as
        one frame.
        """
        for batch in self.batches.values():
            bytes_without_control = frame_bytes(without_control(batch))
            self.control_bytes += frame_bytes(batch) - bytes_without_control
            self.heartbeats += sum(
                isinstance(message, Heartbeat | HeartbeatReply)
                for message in batch
            )
        self.batches.clear()


def measure(cell: BusyCell, starts_per_agent_s: float) -> dict[str, float]:
    """Keep a cell busy; return its heartbeat traffic per second.

    Parameters
    ----------
    cell : BusyCell
    starts_per_agent_s : float
        Tasks submitted per second and agent.

    Returns
    -------
    dict
        Heartbeats and replies per second and agent, and control bytes per
        second, for each agent and for all agents of the leader.
    """
    due_jobs = 0.0
    agents = len(cell.agents)
    jobs_per_step = starts_per_agent_s * agents * STEP_S / TASKS_PER_JOB
    for number in range(int((WARM_UP_S + MEASURED_S) / STEP_S)):
        if number == int(WARM_UP_S / STEP_S):
            cell.count()
            cell.control_bytes = cell.heartbeats = 0
        due_jobs += jobs_per_step
        while due_jobs >= 1:
            due_jobs -= 1
            cell.submit(TASKS_PER_JOB)
        cell.step()
        if number % STEPS_PER_TICK == 0:
            cell.deliver(cell.entry.tick())
        cell.count()
        cell.sent.clear()
        cell.replies.clear()
    return {
        "starts_per_agent_s": starts_per_agent_s,
        "heartbeat_messages_per_agent_s": cell.heartbeats
        / MEASURED_S
        / agents,
        "control_bytes_per_agent_s": cell.control_bytes / MEASURED_S / agents,
        "control_bytes_of_leader_s": cell.control_bytes / MEASURED_S,
    }


def main() -> None:
    """Print the heartbeat traffic at several start rates as JSON."""
    costs = [
        measure(BusyCell(size=AGENTS), rate) for rate in STARTS_PER_AGENT_S
    ]
    print(json.dumps({"agents": AGENTS, "busy_cells": costs}, indent=2))


if __name__ == "__main__":
    main()
