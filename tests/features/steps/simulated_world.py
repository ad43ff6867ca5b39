"""A simulated cell: hosts, network, platform store, backends and callers.

The world carries out the effects of its hosts, in the order and with the
faults that a test chooses, and checks that they break no promise.
"""

import dataclasses
import json

from simulated_hosts import AgentHost
from simulated_hosts import CELL
from simulated_hosts import Connection
from simulated_hosts import EntryHost
from simulated_hosts import MachineClock
from simulated_hosts import SERVICE

from egretcart.connection.cell_types import Roster
from egretcart.process.agent.agent_types import ExchangeOutcome
from egretcart.process.entry.pending import CANCEL
from egretcart.process.entry.pending import SUBMIT
from egretcart.request.identity import job_id_at
from egretcart.request.identity import JobId
from egretcart.request.job import parse_job
from egretcart.request.verdict import Verdict
from egretcart.testing.clock import ManualClock


@dataclasses.dataclass(eq=False)
class Exchange:
    """A task that a backend server runs.

    It ends at the true monotonic time `ends_by` at the latest. `attached` is
    false once its agent has aborted it and no longer awaits its outcome.
    """

    agent_host: object
    incarnation: int
    start: object
    began: float
    ends_by: float
    attached: bool = True
    ended: bool = False


@dataclasses.dataclass(eq=False)
class CallerRequest:
    """A request that was sent to one incarnation of an entry.

    `started_before` holds the numbers of the job's tasks that had been
    started when it was sent. `reply` is None until the entry replies.
    """

    job: object
    action: str
    entry_host: object
    incarnation: int
    started_before: frozenset
    reply: object = None


@dataclasses.dataclass(eq=False)
class SimulatedJob:
    """A job that callers submit, and the results of a whole answer to it."""

    job_id: JobId
    body: bytes
    idempotent: bool
    digest: bytes
    results: list


class World:
    """Hosts of one cell and everything around them.

    `platform_mode` says what becomes of a roster that an entry writes: "up":
    it is stored and answered; "down": it is lost; "lost": it is stored, but
    the answer is lost; "late": it is kept in `late_writes` to be stored later,
    and the answer is lost; "slow": the write stays pending. With "down", no
    roster is read either.

    `cut` has the pairs of hosts that can't connect; `started` has, by job id
    and task number, the digest of the job for each start of the task.
    """

    def __init__(self, *, entries, agents, skews, rates):
        self.clock = ManualClock()
        self.platform_mode = "up"
        self.stored_roster = Roster()
        self.writes, self.late_writes = [], []
        self.connections, self.cut = [], set()
        self.exchanges, self.started = [], {}
        self.jobs, self.requests = [], {}
        self.entries, self.agents, self.hosts = {}, {}, []
        self.skews, self.rates = skews, rates
        for index in range(entries):
            host = self.add_host(EntryHost, f"e{index}")
            self.entries[host.name] = host
        for _ in range(agents):
            self.add_agent()

    def add_host(self, kind, name):
        index = len(self.hosts)
        clock = MachineClock(
            true_clock=self.clock, offset_s=100.0 * index,
            rate=self.rates[index % len(self.rates)],
            skew_s=self.skews[index % len(self.skews)],
        )  # fmt: skip
        host = kind(self, name, clock)
        self.hosts.append(host)
        host.start()
        return host

    def add_agent(self):
        host = self.add_host(AgentHost, f"a{len(self.agents)}")
        self.agents[host.name] = host
        return host

    # Network.

    def connections_of(self, host):
        return [c for c in self.connections if host in c.ends]

    def dial(self):
        """Open the missing connections that are possible, as processes do."""
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
        """Return connections and ends with frames, unless they are stalled."""
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
        """Run all hosts that are not frozen, and deliver frames between them.

        With `finish`, all exchanges succeed at the end of each step.
        """
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
                    if not write[0].frozen and self.platform_mode != "slow":
                        self.answer_write(self.writes.index(write))
            if finish:
                for exchange in list(self.exchanges):
                    self.finish(exchange, succeeded=True)

    def leaders(self):
        """Return the entries that lead, in the order of their terms."""
        leading = [
            (entry.core.leaderships[CELL].term, entry.name)
            for entry in self.entries.values()
            if entry.running and CELL in entry.core.leaderships
        ]
        return [self.entries[name] for _, name in sorted(leading)]

    def cut_off(self, host, others, *, kept):
        """Break connections and prevent new ones until `heal`."""
        for other in others:
            self.cut |= {(host, other), (other, host)}
        for connection in self.connections:
            if connection.ends in self.cut:
                connection.break_off(kept)

    def release(self):
        """End the stalls of all connections."""
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
            host.apply_effects(host.core.roster_known(CELL, answer))

    def follow_store(self, entry):
        """Let an entry read the stored roster, as its process does."""
        if entry.running and self.platform_mode != "down":
            entry.core.record_roster(CELL, self.stored_roster)

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
        """End an exchange; `succeeded` is None if its time limit passed."""
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
        """Return a new job, or one with the id of `twin_of` and another body.

        The time in its id is `ahead_s` seconds ahead of the true time.
        """
        created_ms = self.clock.unix_ms() + int(ahead_s * 1000)
        job_id = job_id_at(created_ms, len(self.jobs))
        if twin_of is not None:
            job_id = twin_of.job_id
        results = [f"{len(self.jobs)}/{i}" for i in range(tasks)]
        body = json.dumps(
            {
                "tasks": [
                    {"payload": {"is": r}, "kind": "check"} for r in results
                ],
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
        """Return the numbers of the job's tasks that have been started.

        For a submission, only starts of the same body count.
        """
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
        self.requests[(host, host.incarnation, request_id)] = CallerRequest(
            job=job, action=action, entry_host=host,
            incarnation=host.incarnation, started_before=before,
        )  # fmt: skip
        host.apply_effects(effects)

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
        """Return the open requests to entries that have not died since."""
        return [
            (key, request)
            for key, request in self.requests.items()
            if request.reply is None
            and request.entry_host.alive
            and request.entry_host.incarnation == request.incarnation
        ]

    def heal(self):
        """End all faults and start the dead hosts again."""
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
