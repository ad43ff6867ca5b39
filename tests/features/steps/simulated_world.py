"""Processes, connections, platform and backend servers without I/O.

The real `Entry` and `Agent` run here; the shells around them, the network
and the platform's store are replaced by what a test decides.
"""

from collections import deque
import dataclasses
import json

from egretcart.connection.messages import AgentConfig
from egretcart.connection.messages import AgentHello
from egretcart.connection.messages import EntryAddress
from egretcart.connection.messages import EntryHello
from egretcart.connection.messages import EntryList
from egretcart.connection.messages import Roster
from egretcart.process.agent import Agent
from egretcart.process.agent_types import AbortExchange
from egretcart.process.agent_types import AgentIdentity
from egretcart.process.agent_types import AgentLimits
from egretcart.process.agent_types import BeginExchange
from egretcart.process.agent_types import ExchangeOutcome
from egretcart.process.agent_types import SendToEntry
from egretcart.process.directory import Cell
from egretcart.process.effects import SendToAgent
from egretcart.process.entry import Entry
from egretcart.process.entry_effects import ReplyToCaller
from egretcart.process.entry_effects import SendAgentConfig
from egretcart.process.entry_effects import SendEntryList
from egretcart.process.entry_effects import SendToPeer
from egretcart.process.entry_effects import WriteCellRoster
from egretcart.process.entry_limits import EntryLimits
from egretcart.process.limits import LeaderLimits
from egretcart.process.pending import CANCEL
from egretcart.process.pending import SUBMIT
from egretcart.request.identity import job_id_at
from egretcart.request.identity import JobId
from egretcart.request.job import parse_job
from egretcart.request.verdict import Verdict
from egretcart.testing.clock import ManualClock
from egretcart.version.document import Configuration
from egretcart.version.document import Service

SERVICE = "snapcheck"
CELL = Cell(SERVICE, 0)
WINDOW_S = 30.0
DEADLINE_S = 12.0
CONFIGURATION = Configuration(
    version=1,
    services=(Service(name=SERVICE, default_deadline_ms=DEADLINE_S * 1000),),
)
SKEW_S = 1.0
LEADER_LIMITS = LeaderLimits(
    window_s=WINDOW_S, clock_skew_s=SKEW_S,
    max_deadline_s=DEADLINE_S, attempt_limit_s=3.0, member_removal_s=4.0,
)  # fmt: skip
AGENT_LIMITS = AgentLimits(
    window_s=WINDOW_S, max_deadline_s=DEADLINE_S, clock_skew_s=SKEW_S
)
CLOSED = object()


class MachineClock:
    """A clock with an offset, a drift and a wall-clock skew."""

    def __init__(self, *, true, offset_s, rate, skew_s):
        self.true, self.offset_s = true, offset_s
        self.rate, self.skew_s = rate, skew_s

    def monotonic(self):
        return self.offset_s + self.true.monotonic() * self.rate

    def unix_ms(self):
        return self.true.unix_ms() + int(self.skew_s * 1000)


@dataclasses.dataclass(eq=False)
class Exchange:
    agent_host: object
    incarnation: int
    start: object
    began: float
    ends_by: float
    attached: bool = True
    ended: bool = False


@dataclasses.dataclass(eq=False)
class Request:
    job: object
    action: str
    entry_host: object
    incarnation: int
    started_before: frozenset
    reply: object = None


@dataclasses.dataclass(eq=False)
class SimulatedJob:
    job_id: JobId
    body: bytes
    idempotent: bool
    digest: bytes
    results: list


class Connection:
    """Two FIFO queues; `broken` ends both after what is left in them."""

    def __init__(self, dialler, acceptor):
        self.ends = (dialler, acceptor)
        self.frames = {dialler: deque(), acceptor: deque()}
        self.open = {dialler: True, acceptor: True}
        self.broken = False
        self.stalled = set()

    def other(self, end):
        return self.ends[self.ends[0] is end]

    def send(self, sender, message):
        if not self.broken and self.open[sender]:
            self.frames[self.other(sender)].append(message)

    def break_off(self, kept):
        if self.broken:
            return
        self.broken = True
        for queue in self.frames.values():
            while len(queue) > kept:
                queue.pop()
            queue.append(CLOSED)

    def close(self, end):
        self.open[end] = False
        self.frames[end].clear()
        self.break_off(kept=1000)


class Host:
    """A process that may be dead, frozen or running."""

    def __init__(self, world, name, clock):
        self.world, self.name, self.clock = world, name, clock
        self.incarnation = 0
        self.alive = self.frozen = False
        self.links = {}

    @property
    def running(self):
        return self.alive and not self.frozen

    def kill(self):
        self.alive = self.frozen = False
        self.links = {}
        for connection in self.world.connections_of(self):
            connection.close(self)

    def receive(self, connection, frame):
        if frame is CLOSED:
            connection.open[self] = False
            peer = connection.other(self).name
            if self.links.get(peer) is connection:
                del self.links[peer]
                self.lost(peer)
        else:
            self.handle(connection, connection.other(self).name, frame)

    def register(self, connection, peer):
        former = self.links.get(peer)
        self.links[peer] = connection
        if former is not None and former is not connection:
            former.close(self)
            return True
        return False

    def send(self, peer, message):
        if peer in self.links:
            self.links[peer].send(self, message)


class EntryHost(Host):
    def start(self):
        self.incarnation += 1
        self.alive = True
        self.address = EntryAddress(entry_id=self.name, port=1)
        self.core = Entry(
            address=self.address,
            incarnation=self.incarnation * 10 + int(self.name[1:]),
            configuration=CONFIGURATION,
            limits=EntryLimits(),
            leader_limits=LEADER_LIMITS,
            clock=self.clock,
        )
        if self.world.platform_mode == "up":
            self.core.rosters[CELL] = self.world.stored_roster

    def hello(self):
        return EntryHello(
            address=self.address, incarnation=self.core.incarnation
        )

    def handle(self, connection, peer, frame):
        if isinstance(frame, AgentHello):
            if self.register(connection, peer):
                self.carry_out(self.core.agent_disconnected(peer))
            self.carry_out(self.core.agent_connected(frame))
        elif isinstance(frame, EntryHello):
            self.register(connection, peer)
            self.carry_out(
                self.core.peer_connected(frame.address, frame.incarnation)
            )
        elif isinstance(frame, EntryList):
            return
        elif self.links.get(peer) is connection:
            agent = peer in self.world.agents
            core = self.core
            receive = core.agent_message if agent else core.peer_message
            self.carry_out(receive(peer, frame))

    def lost(self, peer):
        agent = peer in self.world.agents
        core = self.core
        self.carry_out(
            (core.agent_disconnected if agent else core.peer_lost)(peer)
        )

    def tick(self):
        self.carry_out(self.core.tick())

    def carry_out(self, effects):
        for effect in effects:
            if isinstance(
                effect, SendToAgent | SendEntryList | SendAgentConfig
            ):
                self.send(effect.agent_id, effect.message)
            elif isinstance(effect, SendToPeer):
                self.send(effect.entry_id, effect.message)
            elif isinstance(effect, ReplyToCaller):
                self.world.replied(self, effect.request_id, effect.reply)
            else:
                assert isinstance(effect, WriteCellRoster)
                self.world.writes.append(
                    (self, self.incarnation, effect.roster)
                )


class AgentHost(Host):
    refusing = False

    def start(self):
        self.incarnation += 1
        self.alive = True
        self.ended = deque()
        self.core = Agent(
            identity=AgentIdentity(
                agent_id=self.name, incarnation=self.incarnation,
                service=SERVICE, failure_domain="kl-putra", slots=2,
                connections=4,
            ),
            limits=AGENT_LIMITS,
            clock=self.clock,
        )  # fmt: skip

    def hello(self):
        return self.core.hello()

    def handle(self, connection, peer, frame):
        if isinstance(frame, EntryHello):
            self.register(connection, peer)
        elif isinstance(frame, AgentConfig):
            self.carry_out(self.core.configure(frame))
        elif isinstance(frame, EntryList):
            return
        elif self.links.get(peer) is connection:
            self.carry_out(self.core.receive(peer, frame))

    def lost(self, peer):
        self.core.disconnected(peer)

    def tick(self):
        while self.ended:
            self.carry_out(self.core.exchange_ended(*self.ended.popleft()))
        self.carry_out(self.core.tick())

    def carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, SendToEntry):
                self.send(effect.entry_id, effect.message)
            elif isinstance(effect, BeginExchange):
                self.world.begin(self, effect)
            else:
                assert isinstance(effect, AbortExchange)
                self.world.abort(self, effect.key)


class World:
    def __init__(self, *, entries, agents, skews, rates):
        self.clock = ManualClock()
        self.platform_mode = "up"
        self.stored_roster = Roster()
        self.writes, self.late_writes = [], []
        self.connections, self.cut = [], set()
        self.exchanges, self.started = [], {}
        self.jobs, self.requests = [], {}
        self.entries, self.agents = {}, {}
        for index in range(entries + agents):
            clock = MachineClock(
                true=self.clock, offset_s=100.0 * index,
                rate=rates[index % len(rates)],
                skew_s=skews[index % len(skews)],
            )  # fmt: skip
            if index < entries:
                self.entries[f"e{index}"] = EntryHost(self, f"e{index}", clock)
            else:
                name = f"a{index - entries}"
                self.agents[name] = AgentHost(self, name, clock)
        self.hosts = [*self.entries.values(), *self.agents.values()]
        for host in self.hosts:
            host.start()

    # Network.

    def connections_of(self, host):
        return [c for c in self.connections if host in c.ends]

    def dial(self):
        """Connect what is not connected, as the shells' dialling does."""
        self.connections = [
            c for c in self.connections if any(c.open.values())
        ]
        dialled = {c.ends for c in self.connections if c.open[c.ends[0]]}
        for acceptor in self.entries.values():
            for dialler in self.hosts:
                pair = (dialler, acceptor)
                if dialler is acceptor or pair in dialled or pair in self.cut:
                    continue
                if dialler.name in self.entries and (
                    dialler.name > acceptor.name
                ):
                    continue
                if dialler.running and acceptor.running:
                    connection = Connection(dialler, acceptor)
                    self.connections.append(connection)
                    for end in pair:
                        connection.send(end, end.hello())

    def queues(self):
        """Return what may be delivered, but for stalled directions."""
        return [
            (connection, end)
            for connection in self.connections
            for end in connection.ends
            if end.running
            and connection.open[end]
            and connection.frames[end]
            and end not in connection.stalled
        ]

    def deliver(self, connection, end, count=1):
        queue = connection.frames[end]
        while count and queue and connection.open[end]:
            count -= 1
            end.receive(connection, queue.popleft())

    def run(self, seconds, *, step=0.1, finish=True, rounds=4):
        """Let everything that is not cut or frozen work for a while."""
        for _ in range(max(1, round(seconds / step))):
            self.advance(step)
            self.dial()
            for host in self.hosts:
                if host.running:
                    host.tick()
            for _ in range(rounds):
                for connection, end in self.queues():
                    self.deliver(connection, end, 1000)
                for write in list(self.writes):
                    if not write[0].frozen:
                        self.answer_write(self.writes.index(write))
            if finish:
                for exchange in list(self.exchanges):
                    self.finish(exchange, succeeded=True)

    def leader(self):
        """Return the entry that leads under the highest term."""
        leading = [
            (entry.core.leaderships[CELL].term, entry.name)
            for entry in self.entries.values()
            if entry.running and CELL in entry.core.leaderships
        ]
        return self.entries[max(leading)[1]] if leading else None

    def cut_off(self, host, others, *, kept):
        """Break connections and let none be made until `heal`."""
        for other in others:
            self.cut |= {(host, other), (other, host)}
        for connection in self.connections:
            if connection.ends in self.cut:
                connection.break_off(kept)

    def release(self):
        for connection in self.connections:
            connection.stalled.clear()

    def advance(self, seconds):
        self.clock.advance(seconds)
        now = self.clock.monotonic()
        for exchange in list(self.exchanges):
            if now >= exchange.ends_by:
                self.finish(exchange, succeeded=None)

    # Platform.

    def answer_write(self, index, mode=None):
        host, incarnation, roster = self.writes.pop(index)
        mode = mode or self.platform_mode
        if mode == "late":
            self.late_writes.append(roster)
        answer = None
        if mode in ("up", "lost"):
            answer = self.apply_write(roster)
        if mode != "up":
            answer = None
        if host.running and host.incarnation == incarnation:
            host.carry_out(host.core.roster_known(CELL, answer))

    def apply_write(self, roster):
        if self.stored_roster.version == roster.version - 1:
            self.stored_roster = roster
        return self.stored_roster

    # Backend servers.

    def begin(self, host, effect):
        start = effect.start
        key = (start.job_id, start.task)
        if host.refusing:
            outcome = ExchangeOutcome(
                succeeded=False, verdict=Verdict.NOT_RUN, error="refused"
            )
            host.ended.append((key, outcome))
            return
        now = self.clock.monotonic()
        starts = self.started.setdefault(key, [])
        assert start.idempotent or not starts, f"started twice: {key}"
        overlapping = [
            e
            for e in self.exchanges
            if (e.start.job_id, e.start.task) == key and not e.ended
        ]
        assert not overlapping, f"overlapping exchanges of {key}"
        starts.append(start.digest)
        self.exchanges.append(
            Exchange(
                agent_host=host,
                incarnation=host.incarnation,
                start=start,
                began=now,
                ends_by=now + effect.time_limit_s / host.clock.rate,
            )
        )

    def finish(self, exchange, *, succeeded):
        """End an exchange; `succeeded` is None when its time ran out."""
        if exchange.ended:
            return
        exchange.ended = True
        self.exchanges.remove(exchange)
        start = exchange.start
        host = exchange.agent_host
        alive = host.alive and host.incarnation == exchange.incarnation
        if not alive or not exchange.attached:
            return
        verdict = Verdict.MAY_HAVE_RUN if succeeded is None else Verdict.RAN
        outcome = ExchangeOutcome(
            succeeded=bool(succeeded),
            verdict=verdict,
            body=start.payload if succeeded else b"",
            content_type="application/json",
        )
        host.ended.append(((start.job_id, start.task), outcome))

    def abort(self, host, key):
        for exchange in self.exchanges:
            current = (exchange.start.job_id, exchange.start.task)
            if (
                exchange.agent_host is host
                and exchange.incarnation == host.incarnation
                and current == key
                and exchange.attached
            ):
                exchange.attached = False
                outcome = ExchangeOutcome(
                    succeeded=False, verdict=Verdict.MAY_HAVE_RUN
                )
                host.ended.append((key, outcome))

    # Callers.

    def make_job(self, *, ahead_s, tasks, idempotent, twin_of=None):
        created_ms = self.clock.unix_ms() + int(ahead_s * 1000)
        job_id = job_id_at(created_ms, len(self.jobs))
        if twin_of is not None:
            job_id = twin_of.job_id
        results = [f"{len(self.jobs)}/{i}" for i in range(tasks)]
        body = json.dumps(
            {
                "tasks": [{"payload": {"is": r}} for r in results],
                "idempotent": idempotent,
            }
        ).encode()
        parsed = parse_job(
            job_id=job_id, service=SERVICE, body=body, max_tasks=10
        ).unwrap()
        job = SimulatedJob(
            job_id, body, idempotent, parsed.digest,
            [{"is": r} for r in results],
        )  # fmt: skip
        self.jobs.append(job)
        return job

    def started_tasks(self, action, job):
        return frozenset(
            index
            for (job_id, index), digests in self.started.items()
            if job_id == job.job_id.value
            and (action != SUBMIT or job.digest in digests)
        )

    def whole_answers(self, request):
        if request.action == SUBMIT:
            return [request.job.results]
        job_id = request.job.job_id
        return [job.results for job in self.jobs if job.job_id == job_id]

    def request(self, host, action, job):
        body = job.body if action == SUBMIT else b""
        before = self.started_tasks(action, job)
        request_id, effects = host.core.request(
            action, SERVICE, job.job_id, body
        )
        self.requests[(host, host.incarnation, request_id)] = Request(
            job=job, action=action, entry_host=host,
            incarnation=host.incarnation, started_before=before,
        )  # fmt: skip
        host.carry_out(effects)

    def replied(self, host, request_id, reply):
        request = self.requests[(host, host.incarnation, request_id)]
        assert request.reply is None, "a caller was answered twice"
        request.reply = reply
        document = json.loads(reply.body)
        if reply.status == 200:
            assert document["results"] in self.whole_answers(request)
        verdict = document.get("verdict")
        started = request.started_before
        if verdict == Verdict.NOT_RUN.value:
            assert not started, f"not_run, but {started} ran: {document}"
        for index, task in enumerate(document.get("tasks", ())):
            ran = index in started
            assert not (ran and task == "not_run"), f"{index}: {document}"

    def unanswered(self):
        return [
            (key, request)
            for key, request in self.requests.items()
            if request.reply is None
            and request.entry_host.alive
            and request.entry_host.incarnation == request.incarnation
        ]

    def heal(self):
        self.cut.clear()
        self.release()
        self.platform_mode = "up"
        for host in self.hosts:
            host.frozen = False
            if not host.alive:
                host.start()
        for agent in self.agents.values():
            agent.refusing = False


__all__ = ["CANCEL", "CELL", "SUBMIT", "World"]
