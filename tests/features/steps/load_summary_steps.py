import itertools
import random

from behave import given
from behave import then

from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import EntriesServed
from egretcart.direct.connection.messages import LoadSummary
from egretcart.direct.connection.messages import MAX_PRIORITIES
from egretcart.direct.connection.wire import DIRECT_PROTOCOL
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.log.decisions import JobRefused
from egretcart.direct.request.held_job import HeldJob
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.version.configuration import Route

ROOM = Room(1000, 1, 0)
CAPACITY_CPU_MILLI = 8000
JOB_IDS = (f"{number:016x}" for number in itertools.count())
IDLE = LoadSummary()
BUSY = LoadSummary(
    priorities=(1,), waiting=(4_000_000,), arriving=(4000,), late_waiting=0
)


def job_of(tasks):
    step = Step(count=tasks, room=ROOM, estimate_ms=1000.0)
    return Job(job_id=next(JOB_IDS), payload="", steps=(step,))


def route_of(priority):
    return Route(
        name=f"route-{priority}",
        host="host",
        prefix=f"/{priority}/",
        service="service",
        max_attempts=4,
        stretch=3.0,
        slack_ms=60.0,
        priority=priority,
    )


class SharingEntry:
    """An entry with a full agent that serves another entry, too.

    Attributes
    ----------
    sent : list of SendToPeer
        What it has sent to other entries since the last look.
    refusals : list of JobRefused
        The records of refusals.
    """

    def __init__(self):
        self.refusals = []
        self.entry = DirectEntry(
            entry_id="entry",
            limits=DirectEntryLimits(),
            log=self,
            source=random.Random(1),
        )
        self.now = 1.0
        self.sent = []
        self.entry.tick(self.now)
        self.entry.agent_connected(AgentHello(status=self.status), self.now)
        served = EntriesServed(entry_ids=("entry", "other"))
        self.entry.receive("agent", served, self.now)
        self.connect("other")
        self.advance(2.0, alive=["other"])
        # Two seconds of work, which no free capacity is left for.
        self.entry.submit(1, job_of(16), route_of(1), self.now)

    def write(self, decision):
        if isinstance(decision, JobRefused):
            self.refusals.append(decision)

    @property
    def status(self):
        return AgentStatus(
            agent_id="agent",
            accepting=True,
            cpu_milli=CAPACITY_CPU_MILLI,
            memory_mb=1000,
            free_memory_mb=1000,
            queued=9,
        )

    def connect(self, entry_id):
        self.sent += self.entry.peer_connected(entry_id, self.now)

    def report(self, summary):
        self.entry.receive_from_peer("other", summary, self.now)

    def advance(self, seconds, *, alive=()):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            self.entry.receive("agent", self.status, self.now)
            for entry_id in alive:
                self.entry.peer_heartbeat_received(entry_id, self.now)
            self.sent += [
                effect
                for effect in self.entry.tick(self.now)
                if isinstance(effect, SendToPeer)
            ]

    def reports(self):
        """Return the reports that were sent since the last call."""
        reports = [
            (effect.entry_id, effect.message)
            for effect in self.sent
            if isinstance(effect.message, LoadSummary)
        ]
        assert any(isinstance(effect.message, Beat) for effect in self.sent)
        self.sent.clear()
        return reports

    def ahead_ms(self):
        """Return the work ahead of another job, in times of all servers."""
        held = HeldJob(
            job=job_of(1), route=route_of(1), now=self.now, first_run=1
        )
        load = self.entry.load.estimate(held, self.now)
        return load.on_time.ahead_cpu_milli_ms / CAPACITY_CPU_MILLI


@given("an entry that shares busy agents with another one")
def set_up_entry(context):
    context.sharing = SharingEntry()
    context.own_ms = 2000.0


@then("the other one is assumed to have as much work until it reports")
def check_unknown(context):
    assert context.sharing.ahead_ms() == 2 * context.own_ms


@then("what it has reported counts while heartbeats confirm it")
def check_reported(context):
    sharing = context.sharing
    sharing.report(BUSY)
    assert sharing.ahead_ms() == context.own_ms + 500.0
    sharing.report(IDLE)
    sharing.advance(0.6, alive=["other"])
    assert sharing.ahead_ms() == context.own_ms


@then("a refusal is recorded with what was known and how old it was")
def check_record(context):
    sharing = context.sharing
    sharing.report(BUSY)
    sharing.entry.peer_heartbeat_received("other", sharing.now)
    now = sharing.now + 0.02
    sharing.entry.submit(2, job_of(32), route_of(2), now)
    (refusal,) = sharing.refusals
    assert (refusal.tasks, refusal.free_places) == (32, 0)
    assert refusal.ahead_ms == context.own_ms + 500.0, refusal
    assert (refusal.status_age_ms, refusal.summary_age_ms) == (20, 20)
    assert refusal.unknown_entries == 0
    sharing.entry.submit(3, job_of(32), route_of(2), now + 1.0)
    refusal = sharing.refusals[-1]
    assert refusal.unknown_entries == 1
    assert refusal.ahead_ms == 2 * context.own_ms, refusal
    sharing.refusals.clear()
    sharing.report(IDLE)


@then("after a silence it is assumed to have as much work again")
def check_silence(context):
    sharing = context.sharing
    last_heard_at = sharing.entry.state.peers["other"]
    timeout_s = sharing.entry.limits.peer_heartbeat_timeout_s
    sharing.now = last_heard_at + timeout_s - 0.01
    assert sharing.ahead_ms() == context.own_ms
    sharing.now += 0.02
    assert sharing.ahead_ms() == 2 * context.own_ms
    # The agent still serves the other entry after its link has ended.
    sharing.entry.peer_disconnected("other")
    assert sharing.ahead_ms() == 2 * context.own_ms


@then("a new link begins without the former report")
def check_new_link(context):
    sharing = context.sharing
    sharing.connect("other")
    sharing.report(BUSY)
    sharing.connect("other")
    assert sharing.ahead_ms() == 2 * context.own_ms
    sharing.report(BUSY)
    assert sharing.ahead_ms() == context.own_ms + 500.0


@then("it reports its load with the next heartbeat, and not once more")
def check_sent_once(context):
    sharing = context.sharing
    sharing.entry.load.arrivals.work_cpu_milli_ms.clear()
    sharing.reports()
    sharing.advance(0.35, alive=["other"])
    expected = LoadSummary(
        priorities=(1,), waiting=(16_000_000,), arriving=(0,)
    )
    assert sharing.reports() == [("other", expected)]
    sharing.advance(0.35, alive=["other"])
    assert sharing.reports() == []


@then("a newly connected entry gets the same report at once")
def check_new_entry(context):
    sharing = context.sharing
    sharing.connect("third")
    sharing.advance(0.35, alive=["other", "third"])
    ((receiver, report),) = sharing.reports()
    assert receiver == "third"
    assert report.waiting == (16_000_000,)


@then("small changes and little work are not reported")
def check_small_changes(context):
    sharing = context.sharing
    sharing.entry.load.arrivals.record(1, 900_000.0, sharing.now)
    sharing.entry.submit(2, job_of(1), route_of(0), sharing.now)
    sharing.entry.load.arrivals.work_cpu_milli_ms.pop(0, None)
    changed = sharing.entry.load.changed_summary(sharing.now)
    assert changed is not None
    assert changed.priorities == (0, 1), changed
    assert changed.arriving == (0, 0), changed
    sharing.entry.load.arrivals.record(1, 90_000.0, sharing.now)
    assert sharing.entry.load.changed_summary(sharing.now) is None


@then("an entry of many others sends {most:d} reports a second at most")
def check_many_entries(context, most):
    sharing = context.sharing
    others = ["other", "third", *(f"entry-{number}" for number in range(58))]
    for entry_id in others[2:]:
        sharing.connect(entry_id)
    sharing.sent.clear()
    began_at = sharing.now
    for _ in range(200):
        # Work that changes all the time.
        sharing.entry.load.arrivals.record(1, 2e6, sharing.now)
        sharing.advance(0.05, alive=others)
    count = len(sharing.reports())
    highest = most * (sharing.now - began_at) + len(others)
    assert 3 * len(others) <= count <= highest, (count, highest)


@then("a report with columns of different lengths is a violation")
def check_lengths(context):
    find_violation = DIRECT_PROTOCOL.find_violation
    assert find_violation(BUSY) is None
    assert find_violation(LoadSummary(priorities=(1, 2), waiting=(1,)))
    most = (1,) * (MAX_PRIORITIES + 1)
    assert find_violation(
        LoadSummary(priorities=most, waiting=most, arriving=most)
    )


@then("a report with negative work is a violation")
def check_negative(context):
    find_violation = DIRECT_PROTOCOL.find_violation
    for wrong in (
        LoadSummary(priorities=(1,), waiting=(-1,), arriving=(1,)),
        LoadSummary(priorities=(1,), waiting=(1,), arriving=(-1,)),
        LoadSummary(late_waiting=-1),
    ):
        assert find_violation(wrong), wrong
