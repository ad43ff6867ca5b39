"""Measures the costs per agent, task and record for docs/CAPACITY.md.

Runs the decision logic and the codec of entries and agents in one process,
with simulated agents and without a network, and prints one JSON document.
A cost per agent, record or cell is the slope of a line fitted through
measurements of several sizes.
"""

from collections.abc import Callable
import functools
import gc
import itertools
import json
import resource
from statistics import linear_regression
import time
import tracemalloc

from egretcart.connection.agent_messages import HeartbeatReply
from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import Term
from egretcart.connection.codec import encode_frame
from egretcart.connection.codec import FrameBuffer
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import CellLeader
from egretcart.connection.entry_messages import EntryBeat
from egretcart.connection.leader_messages import Fence
from egretcart.connection.leader_messages import Heartbeat
from egretcart.connection.leader_messages import LeaderMessage
from egretcart.connection.leader_messages import LedgerQuery
from egretcart.connection.leader_messages import Start
from egretcart.connection.messages import Message
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.agent.agent_types import BeginExchange
from egretcart.process.agent.agent_types import ExchangeOutcome
from egretcart.process.agent.agent_types import SendToEntry
from egretcart.process.agent.ledger import Ledger
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.clock import SystemClock
from egretcart.process.entry.entry import Entry
from egretcart.process.entry.entry_effects import ReplyToCaller
from egretcart.process.entry.entry_effects import WriteCellRoster
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.process.entry.pending import SUBMIT
from egretcart.request.identity import job_id_at
from egretcart.request.identity import new_job_id
from egretcart.request.verdict import Verdict
from egretcart.testing.clock import ManualClock
from egretcart.version.document import Configuration
from egretcart.version.document import Service

SERVICE = "snapcheck"
TERM = Term(7, 1_700_000_000_000)
# Bytes of headers of a packet.
PACKET_OVERHEAD_BYTES = 66
TICK_INTERVAL_S = 0.02
RESULT_BODY = b'{"difference":0.0125,"pages":["a","b","c"]}'
PAYLOAD = b'{"run_ms":200,"echo":"https://portal.example/page"}'


def cpu_us(action: Callable[[], object], repeats: int) -> float:
    """Return the mean processor time of a call, in microseconds.

    One more call before the measurement is not counted.
    """
    action()
    gc.collect()
    started_at = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started_at) / repeats * 1e6


def memory_growth_bytes(action: Callable[[], object]) -> int:
    """Return the bytes that remain allocated after an action.

    The result of the action counts as well.
    """
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = action()
    gc.collect()
    growth_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return growth_bytes


def feed_frame(frame: bytes) -> list[Message]:
    """Return the decoded messages of one frame."""
    return FrameBuffer().feed(frame)


def shared_frame_bytes(message: Message) -> int:
    """Return the bytes a message adds to a frame with other messages."""
    return len(encode_frame([message])) - len(encode_frame([]))


def standalone_bytes(message: Message) -> int:
    """Return the bytes of a message in its own frame and packet."""
    return len(encode_frame([message])) + PACKET_OVERHEAD_BYTES


def slope(points: dict[int, float]) -> float:
    """Return the slope of a line fitted through measured values by size."""
    fitted = linear_regression(list(points), list(points.values()))
    return fitted.slope


class SimulatedCell:
    """One entry and the agents of the cell that it leads, without a network.

    Parameters
    ----------
    size : int
        Number of agents of the cell.

    Attributes
    ----------
    clock : ManualClock
    entry : Entry
    agents : dict of str to Agent
        By agent ID.
    replies : list of ReplyToCaller
        Replies to submitted jobs; the caller of this class may clear them.
    sent : list of Message
        Messages that the entry and the agents sent to each other; the caller
        of this class may clear them.
    defers_exchanges : bool
        Whether exchanges with the backend server never end; otherwise each
        one succeeds at once.
    """

    def __init__(self, *, size: int) -> None:
        self.clock = ManualClock()
        self.entry = Entry(
            address=EntryAddress(entry_id="entry-0"),
            incarnation=self.clock.unix_ms(),
            configuration=Configuration(
                version=1, services=(Service(name=SERVICE),)
            ),
            limits=EntryLimits(),
            leader_limits=LeaderLimits(),
            clock=self.clock,
        )
        self.agents: dict[str, Agent] = {}
        self.replies: list[ReplyToCaller] = []
        self.sent: list[Message] = []
        self.defers_exchanges = False
        for number in range(size):
            self.add_agent(f"agent-{number:04}")
        for _ in range(200):
            self.run_tick()

    def add_agent(self, agent_id: str) -> None:
        """Create an agent and connect it to the entry."""
        agent = Agent(
            identity=AgentIdentity(
                agent_id=agent_id,
                incarnation=1,
                service=SERVICE,
                failure_domain=f"domain-{len(self.agents) % 4}",
                slots=8,
                connections=64,
            ),
            limits=AgentLimits(),
            clock=self.clock,
        )
        self.agents[agent_id] = agent
        self.deliver(self.entry.agent_connected(agent.hello()))

    def deliver(self, effects: list) -> None:
        """Apply an entry's effects and all effects that result from them."""
        waiting = list(effects)
        while waiting:
            effect = waiting.pop(0)
            if isinstance(effect, WriteCellRoster):
                waiting += self.entry.roster_known(effect.cell, effect.roster)
            elif isinstance(effect, ReplyToCaller):
                self.replies.append(effect)
            elif isinstance(effect, SendToAgent):
                self.sent.append(effect.message)
                agent = self.agents[effect.agent_id]
                waiting += self.apply_agent_effects(
                    agent, agent.receive("entry-0", effect.message)
                )

    def apply_agent_effects(self, agent: Agent, effects: list) -> list:
        """Apply an agent's effects; return the entry's resulting effects.

        Exchanges end at once, or never if `defers_exchanges` is set.
        """
        produced = []
        waiting = list(effects)
        while waiting:
            effect = waiting.pop(0)
            if isinstance(effect, SendToEntry):
                self.sent.append(effect.message)
                produced += self.entry.agent_message(
                    agent.identity.agent_id, effect.message
                )
            elif isinstance(effect, BeginExchange):
                if self.defers_exchanges:
                    continue
                key = (effect.start.job_id, effect.start.task)
                outcome = ExchangeOutcome(
                    succeeded=True,
                    verdict=Verdict.RAN,
                    body=RESULT_BODY,
                    content_type="application/json",
                    run_time_s=0.2,
                )
                waiting += agent.exchange_ended(key, outcome)
        return produced

    def run_tick(self) -> None:
        """Advance the clock by one tick interval and run the entry's tick."""
        self.clock.advance(TICK_INTERVAL_S)
        self.deliver(self.entry.tick())

    def submit(self, tasks: int) -> None:
        """Submit one job with the given number of tasks."""
        now_ms = self.clock.unix_ms()
        job_id = job_id_at(now_ms, hash(new_job_id()))
        body = json.dumps(
            {"tasks": [{"payload": PAYLOAD.decode()} for _ in range(tasks)]}
        ).encode()
        _, effects = self.entry.request(SUBMIT, SERVICE, job_id, body)
        self.deliver(effects)

    def run_job(self, tasks: int) -> None:
        """Submit one job with the given number of tasks and wait for it.

        Ticks run until the job is answered.
        """
        answered = len(self.replies)
        self.submit(tasks)
        while len(self.replies) == answered:
            self.run_tick()


def control(*, with_work: bool) -> dict[str, float]:
    """Measure the cost of heartbeats in cells of several sizes.

    Parameters
    ----------
    with_work : bool
        Whether one task runs during the whole measurement; otherwise the
        cell is idle.

    Returns
    -------
    dict
        Costs of one more agent in a cell: processor seconds per second,
        messages and bytes per second, and bytes of memory. Bytes are counted
        for messages in their own packets and in frames with others. Also the
        processor time to encode or decode one message, in microseconds.
    """
    seconds = 30
    tick_count = int(seconds / TICK_INTERVAL_S)
    cpu: dict[int, float] = {}
    memory: dict[int, float] = {}
    messages: dict[int, float] = {}
    alone: dict[int, float] = {}
    shared: dict[int, float] = {}
    for size in (8, 16, 32, 64):
        cells: list[SimulatedCell] = []

        def build(
            size: int = size, cells: list[SimulatedCell] = cells
        ) -> SimulatedCell:
            cells.append(SimulatedCell(size=size))
            return cells[0]

        memory[size] = memory_growth_bytes(build)
        cell = cells[0]
        if with_work:
            cell.defers_exchanges = True
            cell.submit(1)
        for _ in range(50):
            cell.run_tick()
        cell.sent.clear()
        started_at = time.process_time()
        for _ in range(tick_count):
            cell.run_tick()
        cpu[size] = (time.process_time() - started_at) / seconds
        messages[size] = len(cell.sent) / seconds
        alone[size] = sum(map(standalone_bytes, cell.sent)) / seconds
        shared[size] = sum(map(shared_frame_bytes, cell.sent)) / seconds
    heartbeat = encode_frame(
        [Heartbeat(term=TERM, round=9, proven_stamp_us=1)]
    )
    codec_us = cpu_us(lambda: FrameBuffer().feed(heartbeat), 2000) + cpu_us(
        lambda: encode_frame([HeartbeatReply(term=TERM, round=9)]), 2000
    )
    return {
        "logic_core_share_per_agent": slope(cpu),
        "messages_per_agent_s": slope(messages),
        "bytes_per_agent_s": slope(alone),
        "bytes_per_agent_s_in_other_frames": slope(shared),
        "codec_us_per_message": codec_us / 2,
        "leader_and_agent_bytes_per_agent": slope(memory),
    }


def cost_per_task() -> dict[str, float]:
    """Measure processor time and bytes of one task.

    Processor time is measured for the decision logic of leader and agent
    and for the codec, in microseconds. Starts and results are encoded in
    frames of 20.
    """
    cell = SimulatedCell(size=16)
    tasks = 100
    logic_us = cpu_us(lambda: cell.run_job(tasks), 20) / tasks
    start = Start(
        term=TERM, job_id=b"j" * 16, digest=b"d" * 16, payload=PAYLOAD
    )
    result = TaskResult(
        job_id=b"j" * 16, term=TERM, succeeded=True, body=RESULT_BODY
    )
    batch = 20
    starts = encode_frame([start] * batch)
    results = encode_frame([result] * batch)
    return {
        "leader_and_agent_logic_us": logic_us,
        "start_encode_us": cpu_us(lambda: encode_frame([start] * batch), 300)
        / batch,
        "start_decode_us": cpu_us(lambda: FrameBuffer().feed(starts), 300)
        / batch,
        "result_decode_us": cpu_us(lambda: FrameBuffer().feed(results), 300)
        / batch,
        "start_bytes": len(starts) / batch,
        "result_bytes": len(results) / batch,
    }


def retained_memory() -> dict[str, float]:
    """Measure the memory of ledger records and of answered jobs, in bytes."""
    ledger_points: dict[int, float] = {}
    for jobs in (1000, 2000, 4000):

        def fill_ledger(jobs: int = jobs) -> Ledger:
            ledger = Ledger(max_result_bytes=1 << 30)
            for number in range(jobs):
                job_id = job_id_at(1, number).value
                for task in range(2):
                    ledger.begin(
                        job_id=job_id, digest=b"d" * 16, task=task, attempt=1
                    )
                    ledger.finish(
                        TaskResult(
                            job_id=job_id,
                            task=task,
                            attempt=1,
                            succeeded=True,
                            body=bytes(RESULT_BODY),
                        )
                    )
            return ledger

        ledger_points[jobs * 2] = memory_growth_bytes(fill_ledger)
    cell = SimulatedCell(size=8)
    answer_points: dict[int, float] = {}
    done = 0
    growth_bytes = 0.0
    for _ in range(3):

        def run_jobs() -> None:
            for _ in range(200):
                cell.run_job(10)
            cell.sent.clear()
            cell.replies.clear()

        growth_bytes += memory_growth_bytes(run_jobs)
        done += 200
        answer_points[done] = growth_bytes
    return {
        "ledger_bytes_per_record": slope(ledger_points),
        "entry_and_agent_bytes_per_job_of_10": slope(answer_points),
    }


def agent_with_ledger(jobs: int) -> Agent:
    """Return an agent whose ledger has two started tasks of each job."""
    agent = Agent(
        identity=AgentIdentity(
            agent_id="agent-0000",
            incarnation=1,
            service=SERVICE,
            failure_domain="domain-0",
            slots=8,
            connections=64,
        ),
        limits=AgentLimits(),
        clock=ManualClock(),
    )
    for number in range(jobs):
        job_id = job_id_at(1, number).value
        for task in range(2):
            agent.ledger.begin(
                job_id=job_id, digest=b"d" * 16, task=task, attempt=1
            )
    return agent


def takeover_cost() -> dict[str, float]:
    """Measure the cost of a leader's fences and ledger queries to an agent.

    Each cost comprises the request and its reply: bytes of both, and the
    processor time of codec and agent, in microseconds. The cost of a fence is
    measured by the number of records in the agent's ledger, the cost of a
    query by the number of records of the jobs that it asks for.
    """
    fence_sizes: dict[int, float] = {}
    fence_times: dict[int, float] = {}
    query_sizes: dict[int, float] = {}
    query_times: dict[int, float] = {}

    def exchange_frames(agent: Agent, message: LeaderMessage) -> int:
        """Encode and decode a request and its reply; return their bytes."""
        request = encode_frame([message])
        feed_frame(request)
        (effect,) = agent.receive("entry-0", message)
        assert isinstance(effect, SendToEntry)
        reply = encode_frame([effect.message])
        feed_frame(reply)
        return len(request) + len(reply)

    for jobs in (500, 1000, 2000):
        agent = agent_with_ledger(jobs)
        fence = Fence(term=TERM, by_query=True)
        fence_sizes[jobs * 2] = exchange_frames(agent, fence)
        fence_times[jobs * 2] = cpu_us(
            functools.partial(exchange_frames, agent, fence), 9
        )
        job_ids = tuple(itertools.islice(agent.ledger.jobs, jobs // 2))
        query = LedgerQuery(term=TERM, number=1, job_ids=job_ids)
        query_sizes[jobs] = exchange_frames(agent, query)
        query_times[jobs] = cpu_us(
            functools.partial(exchange_frames, agent, query), 3
        )
    return {
        "fence_bytes": fence_sizes[1000],
        "fence_bytes_per_ledger_record": slope(fence_sizes),
        "fence_us_per_ledger_record": slope(fence_times),
        "query_bytes_per_record_asked": slope(query_sizes),
        "query_us_per_record_asked": slope(query_times),
    }


def entry_beats() -> dict[str, float]:
    """Return size and rate of the heartbeats from an entry to a peer.

    The size is in bytes, by the number of cells that the entry leads.
    """
    sizes: dict[int, float] = {}
    for cells in (0, 1, 4, 8):
        claims = tuple(
            CellLeader(service_name=SERVICE, cell=n, term=TERM)
            for n in range(cells)
        )
        sizes[cells] = len(encode_frame([EntryBeat(leading=claims)]))
    limits = EntryLimits()
    return {
        "beat_bytes": sizes[0] + PACKET_OVERHEAD_BYTES,
        "beat_bytes_per_cell": slope(sizes),
        "beats_per_peer_s": 1 / limits.beat_interval_s,
    }


def main() -> None:
    """Print all measured costs as JSON.

    The memory after imports is the largest resident memory so far.
    """
    resident_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    clock = SystemClock()
    started_at = clock.monotonic()
    document = {
        "resident_mb_after_imports": resident_kb / 1024,
        "control_at_rest": control(with_work=False),
        "control_with_work": control(with_work=True),
        "task": cost_per_task(),
        "retained": retained_memory(),
        "takeover": takeover_cost(),
        "entry_beats": entry_beats(),
    }
    document["measured_in_s"] = clock.monotonic() - started_at
    print(json.dumps(document, indent=2))


if __name__ == "__main__":
    main()
