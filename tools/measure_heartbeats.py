"""Measures what control costs a leader whose agents are busy.

Drives the real decision logic and codec without a network and prints one
JSON document: bytes a second of one leader and its agents, both ways, beyond
what starts and results would take alone.
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
RUN_S = 0.15
STEP_S = 0.002
STEPS_PER_TICK = 10
WARM_UP_S = 5.0
MEASURED_S = 15.0
TASKS_PER_JOB = 5
STARTS_PER_AGENT_S = (1, 5, 20, 50)
DONE = ExchangeOutcome(
    succeeded=True,
    verdict=Verdict.RAN,
    body=b"done",
    content_type="application/json",
    run_time_s=RUN_S,
)


def frame_bytes(batch: list[Message]) -> int:
    """Return the bytes of a batch that travels in one frame, or 0."""
    if not batch:
        return 0
    return len(encode_frame(batch)) + PACKET_OVERHEAD_BYTES


def without_control(batch: list[Message]) -> list[Message]:
    """Return a batch without heartbeats and what rides on others."""
    left: list[Message] = []
    for message in batch:
        if isinstance(message, Start):
            message = dataclasses.replace(message, round=0, proven_stamp_us=0)
        elif isinstance(message, TaskResult):
            message = dataclasses.replace(message, round=0, stamp_us=0)
        if not isinstance(message, Heartbeat | HeartbeatReply):
            left.append(message)
    return left


class BusyCell(SimulatedCell):
    """A cell whose exchanges take time.

    Attributes
    ----------
    batches : dict of (str, bool) to list of Message
        What travels in this step, by agent and direction.
    control_bytes : int
    heartbeats : int
        Heartbeats and replies that are messages of their own.
    started, refused : int
        Tasks begun, and starts that were not admitted.
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
        """Carry out an entry's effects and note what is sent."""
        for effect in effects:
            if isinstance(effect, SendToAgent):
                self.batches[effect.agent_id, True].append(effect.message)
        super().deliver(effects)

    def apply_agent_effects(self, agent: Agent, effects: list) -> list:
        """Carry out an agent's effects; exchanges end later."""
        agent_id = agent.identity.agent_id
        others = []
        for effect in effects:
            if isinstance(effect, BeginExchange):
                key = (effect.start.job_id, effect.start.task)
                ends = self.clock.monotonic() + RUN_S
                self.running.append((ends, agent, key))
                self.started += 1
                continue
            if isinstance(effect.message, TaskResult):
                refused = effect.message.verdict == Verdict.NOT_RUN.value
                self.refused += refused
            self.batches[agent_id, False].append(effect.message)
            others.append(effect)
        produced = super().apply_agent_effects(agent, others)
        for effect in produced:
            if isinstance(effect, SendToAgent):
                self.batches[effect.agent_id, True].append(effect.message)
        return produced

    def step(self) -> None:
        """End the exchanges that are over."""
        self.clock.advance(STEP_S)
        now = self.clock.monotonic()
        while self.running and self.running[0][0] <= now:
            _, agent, key = self.running.pop(0)
            ended = agent.exchange_ended(key, DONE)
            super().deliver(self.apply_agent_effects(agent, ended))

    def count(self) -> None:
        """Add up what has travelled since the last count."""
        for batch in self.batches.values():
            useful = frame_bytes(without_control(batch))
            self.control_bytes += frame_bytes(batch) - useful
            self.heartbeats += sum(
                isinstance(message, Heartbeat | HeartbeatReply)
                for message in batch
            )
        self.batches.clear()


def measure(cell: BusyCell, starts_per_agent_s: float) -> dict[str, float]:
    """Keep a cell busy and return what its control costs a second."""
    due = 0.0
    agents = len(cell.agents)
    jobs_per_step = starts_per_agent_s * agents * STEP_S / TASKS_PER_JOB
    for number in range(int((WARM_UP_S + MEASURED_S) / STEP_S)):
        if number == int(WARM_UP_S / STEP_S):
            cell.count()
            cell.control_bytes = cell.heartbeats = 0
        due += jobs_per_step
        while due >= 1:
            due -= 1
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
    """Print the costs at several rates as JSON."""
    costs = [
        measure(BusyCell(size=AGENTS), rate) for rate in STARTS_PER_AGENT_S
    ]
    print(json.dumps({"agents": AGENTS, "busy_cells": costs}, indent=2))


if __name__ == "__main__":
    main()
