"""Measures the control traffic of a leader whose agents are busy.

Runs the decision logic and the codec of one entry and its agents in one
process, without a network, and prints one JSON document: bytes per second
between the leader and its agents, in both directions, beyond the bytes of
starts and results alone.
"""

from collections import defaultdict
import dataclasses
import json

from measure_capacity import PACKET_OVERHEAD_BYTES
from measure_capacity import SimulatedCell

from egretcart.connection.codec import encode_frame
from egretcart.connection.messages import Heartbeat
from egretcart.connection.messages import HeartbeatReply
from egretcart.connection.messages import Message
from egretcart.connection.messages import Start
from egretcart.connection.messages import TaskResult
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import BeginExchange
from egretcart.process.agent.agent_types import ExchangeOutcome
from egretcart.process.agent.agent_types import TaskKey
from egretcart.process.cell.effects import SendToAgent
from egretcart.request.verdict import Verdict

AGENTS = 36
TASK_RUN_TIME_S = 0.15
STEP_S = 0.002
STEPS_PER_TICK = 10
WARM_UP_S = 5.0
MEASURED_S = 15.0
TASKS_PER_JOB = 5
STARTS_PER_AGENT_S = (1, 5, 20, 50)
SUCCESSFUL_OUTCOME = ExchangeOutcome(
    succeeded=True,
    verdict=Verdict.RAN,
    body=b"done",
    content_type="application/json",
    run_time_s=TASK_RUN_TIME_S,
)


def frame_bytes(batch: list[Message]) -> int:
    """Return the bytes of a batch sent as one frame, 0 if it is empty."""
    if not batch:
        return 0
    return len(encode_frame(batch)) + PACKET_OVERHEAD_BYTES


def without_control(batch: list[Message]) -> list[Message]:
    """Return a batch without heartbeats and piggybacked rounds."""
    remaining: list[Message] = []
    for message in batch:
        if isinstance(message, Start):
            message = dataclasses.replace(message, round=0, proven_stamp_us=0)
        elif isinstance(message, TaskResult):
            message = dataclasses.replace(message, round=0, stamp_us=0)
        if not isinstance(message, Heartbeat | HeartbeatReply):
            remaining.append(message)
    return remaining


class BusyCell(SimulatedCell):
    """A cell whose exchanges with backend servers take time.

    Attributes
    ----------
    running : list of (float, Agent, TaskKey)
        When each open exchange ends, its agent and its task.
    batches : dict of (str, bool) to list of Message
        Messages sent since the last `count`, by agent ID and direction: true
        from the leader to the agent, false from the agent to the leader.
    control_bytes : int
        Bytes beyond those of starts and results alone.
    heartbeats : int
        Heartbeats and heartbeat replies that were sent as separate messages.
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
        """Add the messages sent since the last call to the counts."""
        for batch in self.batches.values():
            bytes_without_control = frame_bytes(without_control(batch))
            self.control_bytes += frame_bytes(batch) - bytes_without_control
            self.heartbeats += sum(
                isinstance(message, Heartbeat | HeartbeatReply)
                for message in batch
            )
        self.batches.clear()


def measure(cell: BusyCell, starts_per_agent_s: float) -> dict[str, float]:
    """Keep a cell busy; return its control traffic per second."""
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
    """Print the control traffic at several start rates as JSON."""
    costs = [
        measure(BusyCell(size=AGENTS), rate) for rate in STARTS_PER_AGENT_S
    ]
    print(json.dumps({"agents": AGENTS, "busy_cells": costs}, indent=2))


if __name__ == "__main__":
    main()
