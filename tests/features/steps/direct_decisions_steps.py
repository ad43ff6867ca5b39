import dataclasses
import pathlib
import random

from behave import then
from hypothesis import given
from hypothesis import strategies

from egretcart.direct import decisions
from egretcart.direct.admission import AdmissionLimits
from egretcart.direct.admission import estimate_load
from egretcart.direct.admission import LoadEstimate
from egretcart.direct.admission import retry_after_s
from egretcart.direct.agent import DirectAgent
from egretcart.direct.agent_types import DirectAgentLimits
from egretcart.direct.agent_types import EntryState
from egretcart.direct.agent_types import SendToEntry
from egretcart.direct.backend import BackendIncarnation
from egretcart.direct.backend import BackendReport
from egretcart.direct.backend import Listing
from egretcart.direct.configuration import Route
from egretcart.direct.decisions import NullDecisionLog
from egretcart.direct.entry import DirectEntry
from egretcart.direct.entry_links import EntryLinks
from egretcart.direct.entry_types import DirectEntryLimits
from egretcart.direct.entry_types import SendToAgent
from egretcart.direct.health import BackendHealth
from egretcart.direct.health import HealthLimits
from egretcart.direct.job import Job
from egretcart.direct.job import Room
from egretcart.direct.job import Step
from egretcart.direct.lease import BackendLease
from egretcart.direct.lease import LeaseLimits
from egretcart.direct.messages import AgentHello
from egretcart.direct.messages import AgentStatus
from egretcart.direct.messages import Beat
from egretcart.direct.messages import EntriesServed
from egretcart.direct.messages import EvictJob
from egretcart.direct.messages import JobEvicted
from egretcart.direct.messages import JobsTaken
from egretcart.direct.messages import RunTasks
from egretcart.direct.messages import TaskEnded
from egretcart.direct.progress import ProgressLimits
from egretcart.direct.progress import SlowdownEstimate
from egretcart.direct.rescheduling import LateRun
from egretcart.direct.rescheduling import ReschedulingLimits
from egretcart.direct.rescheduling import should_reschedule
from egretcart.direct.views import AgentView

PAGE = pathlib.Path(__file__).resolve().parents[3] / "docs" / "logs.md"
SOUND = LateRun(
    whole_ms=1430.0,
    completed_share=0.1,
    pace=1.43,
    elsewhere_pace=0.59,
    stretch=1.6,
    slack_ms=60.0,
    job_age_ms=150.0,
)


def moves(**changes):
    return should_reschedule(
        dataclasses.replace(SOUND, **changes), ReschedulingLimits()
    )


@then("a run that stands still is moved")
def check_stalled(context):
    assert moves(whole_ms=-1.0, elsewhere_pace=None)


@then("a run that is on time stays, however slow its server")
def check_on_time(context):
    assert not moves()
    # A wrong estimate makes it late by the estimate, not by its work.
    assert not moves(whole_ms=5000.0)


@then("a run on a server that has turned slow is moved where there is room")
def check_slow(context):
    slow = {"whole_ms": 6500.0, "pace": 6.5}
    assert moves(**slow)
    assert not moves(**slow, completed_share=0.95)
    assert not moves(**{**slow, "elsewhere_pace": None})


@then("a run that would be late elsewhere too stays")
def check_late_everywhere(context):
    late = {"whole_ms": 3000.0, "pace": 3.0, "job_age_ms": 4900.0}
    assert not moves(**late)


def load(**changes):
    fields = {
        "capacity_cpu_milli": 16000.0,
        "has_free_capacity": False,
        "queued_cpu_milli_ms": 0.0,
        "fastest_ms": 100.0,
    }
    return LoadEstimate(**{**fields, **changes})


LIMITS = AdmissionLimits()


@then("a job is never refused while there is room")
def check_room(context):
    @given(
        strategies.floats(0, 1e9),
        strategies.floats(1, 1e6),
        strategies.floats(-1e5, 1e5),
    )
    def holds(waiting, fastest, useful):
        found = load(
            has_free_capacity=True,
            queued_cpu_milli_ms=waiting,
            fastest_ms=fastest,
        )
        assert found.wait_ms == 0
        if fastest <= LIMITS.max_useful_share * useful:
            assert retry_after_s(found, useful, LIMITS) is None

    holds()


@then("a job is refused once two thirds of its useful time are not enough")
def check_trust(context):
    useful_ms = 600.0
    enough = load(queued_cpu_milli_ms=16000.0 * 300)
    scarce = load(queued_cpu_milli_ms=16000.0 * 310)
    assert retry_after_s(enough, useful_ms, LIMITS) is None
    assert retry_after_s(scarce, useful_ms, LIMITS) is not None


@then("a job that was taken in is given up only when no time is left")
def check_held(context):
    found = load(queued_cpu_milli_ms=16000.0 * 490)
    assert retry_after_s(found, 600.0, LIMITS, is_accepted=True) is None
    found = load(queued_cpu_milli_ms=16000.0 * 510)
    assert retry_after_s(found, 600.0, LIMITS, is_accepted=True) is not None


@then("the time to come back is between its bounds")
def check_bounds(context):
    nobody = load(capacity_cpu_milli=0.0)
    assert retry_after_s(nobody, 600.0, LIMITS) == LIMITS.max_retry_s
    soon = load(queued_cpu_milli_ms=16000.0 * 310)
    assert retry_after_s(soon, 600.0, LIMITS) == LIMITS.min_retry_s


def spoilt(limits, jobs, now=0.0):
    health = BackendHealth(limits=limits)
    for number in range(jobs):
        health.record_failure(f"job-{number}", now)
    return health


@then("three jobs in a row that go wrong make it pause")
def check_pause(context):
    limits = HealthLimits()
    assert spoilt(limits, 2).may_start(running=5, now=0.0)
    health = spoilt(limits, 3)
    assert not health.may_start(running=0, now=limits.initial_backoff_s - 0.01)
    assert health.may_start(running=0, now=limits.initial_backoff_s)
    assert not health.may_start(running=1, now=limits.initial_backoff_s)
    alone = BackendHealth(limits=limits)
    for _ in range(10):
        alone.record_failure("one-job", 0.0)
    assert not alone.probing


@then("each trial that fails doubles the pause up to its bound")
def check_doubling(context):
    limits = HealthLimits()
    health = spoilt(limits, 3)
    pauses = []
    for _ in range(6):
        now = health.backoff_until
        health.record_failure("trial", now)
        pauses.append(health.backoff_until - now)
    assert pauses[-1] == limits.max_backoff_s
    assert pauses == sorted(pauses)


@then("one good run clears it")
def check_cleared(context):
    limits = HealthLimits()
    health = spoilt(limits, 3)
    health.record_success()
    assert health.may_start(running=9, now=health.backoff_until)
    assert not health.probing


@then("any clock within the drift has ended the lease by then")
def check_lease(context):
    limits = LeaseLimits()

    @given(
        strategies.floats(1 - limits.clock_drift, 1 + limits.clock_drift),
        strategies.lists(strategies.floats(0.001, 0.4), max_size=8),
    )
    def holds(rate, gaps):
        lease = BackendLease(limits=limits)
        lease.restart(1000, 0.0)
        now = 0.0
        for gap in gaps:
            now += gap
            lease.next_deadline_ms(now)
            lease.update_clock(1000 + int(now * 1000 * rate), now)
        lease.start_deadline_ms(now)
        server_ms = 1000 + lease.expires_at * 1000 * rate
        assert server_ms >= lease.deadline_ms

    holds()


@then("a job of many tasks counts as one")
def check_one_vote(context):
    pace = SlowdownEstimate(limits=ProgressLimits())
    for number in range(10):
        pace.record(f"job-{number}", 100.0, 100.0)
    for _ in range(50):
        pace.record("wrong", 300.0, 100.0)
    assert pace.percent() <= 112, pace.percent()


@then("a server that turns slow is seen after a few jobs")
def check_turned_slow(context):
    pace = SlowdownEstimate(limits=ProgressLimits())
    for number in range(20):
        pace.record(f"job-{number}", 100.0, 100.0)
    for number in range(8):
        for _ in range(3):
            pace.record(f"late-{number}", 650.0, 100.0)
    assert pace.percent() >= 180, pace.percent()


@then("an agent that recalls its server takes a token from the first listing")
def check_token(context):
    lifetime = BackendIncarnation("server", 1)
    tokens = []
    for clock_ms in (5000, 9000):
        agent = DirectAgent(
            agent_id="agent",
            incarnation=clock_ms,
            limits=DirectAgentLimits(),
            log=NullDecisionLog(),
        )
        recalled = BackendReport(
            lifetime=lifetime, service="service", capacity=Room(1, 1, 0)
        )
        agent.receive_report(recalled, 1.0)
        listing = Listing(clock_ms=clock_ms, born_ms=lifetime.born_ms)
        agent.receive_listing(listing, lifetime, 1.0, 1.01)
        request = agent.poll_request(1.02, wait_ms=100)
        tokens.append(request.fencing_token)
    assert tokens == [5000, 9000], tokens


@then("two entries that send the same run are told apart")
def check_two_entries(context):
    agent = DirectAgent(
        agent_id="agent",
        incarnation=1,
        limits=DirectAgentLimits(),
        log=NullDecisionLog(),
    )
    lifetime = BackendIncarnation("server", 1)
    report = BackendReport(
        lifetime=lifetime,
        service="service",
        capacity=Room(10, 10, 0),
        clock_ms=5000,
    )
    agent.tick(1.0)
    agent.receive_report(report, 1.0)
    listing = Listing(clock_ms=5000, born_ms=lifetime.born_ms)
    agent.receive_listing(listing, lifetime, 1.0, 1.01)
    tasks = RunTasks(
        sequence=1, job_id="a" * 16, indexes=(0,), run=1, cpu_milli=1
    )
    endings = {}
    for entry_id in ("entry-1", "entry-2", "entry-1"):
        agent.entry_connected(entry_id, 1, 1.02)
        endings[entry_id] = [
            effect.message.reason
            for effect in agent.receive(entry_id, tasks, 1.02)
            if isinstance(effect, SendToEntry)
            and isinstance(effect.message, TaskEnded)
        ]
    assert endings == {"entry-1": [], "entry-2": ["held by a run"]}, endings


@then("docs/logs.md has a row for each decision")
def check_page(context):
    rows = {}
    for line in PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 4:
            rows[cells[0]] = cells[3]
    kinds = decisions.Decision.__subclasses__()
    assert len(kinds) >= 18
    for kind in kinds:
        names = [field.name for field in dataclasses.fields(kind)]
        assert rows.get(kind.__name__) == ", ".join(names), kind


def statuses_of_busy_agent(entries, seconds):
    """Return how many statuses an agent sends whose room always changes."""
    limits = DirectAgentLimits()
    effects = []
    links = EntryLinks(
        effects=effects,
        min_status_interval_s=limits.min_status_interval_s,
        max_statuses_per_s=limits.max_statuses_per_s,
        status=lambda sequence, now: AgentStatus(sequence=sequence),
    )
    for number in range(entries):
        links.entries[f"entry-{number}"] = EntryState(
            incarnation=1,
            last_message_at=0.0,
            heartbeat_interval_s=limits.heartbeat_interval_s,
        )
    for step in range(round(seconds * 500)):
        links.status_changed = True
        links.send_due_statuses(10.0 + step / 500)
    return len(effects)


@then("a busy agent of {entries:d} entries tells each of all changes soon")
def check_told_soon(context, entries):
    assert statuses_of_busy_agent(entries, 10.0) >= 10 * entries / 0.03


@then("a busy agent of {entries:d} entries sends statuses within its bounds")
def check_status_rate(context, entries):
    limits = DirectAgentLimits()
    bound_per_s = max(
        limits.max_statuses_per_s, entries / limits.heartbeat_interval_s
    )
    sent = statuses_of_busy_agent(entries, 10.0)
    assert sent <= 10 * bound_per_s + entries, sent


LIFETIME = BackendIncarnation("server", 1)
EVICT = EvictJob(number=7, job_id="a" * 16)


def agent_with_server(*, ticked=True, clock_ms=5000):
    """Return an agent at 1.0 s whose server has reported."""
    agent = DirectAgent(
        agent_id="agent",
        incarnation=1,
        limits=DirectAgentLimits(),
        log=NullDecisionLog(),
    )
    if ticked:
        agent.tick(1.0)
    report = BackendReport(
        lifetime=LIFETIME,
        service="service",
        capacity=Room(10, 10, 0),
        clock_ms=clock_ms,
    )
    agent.receive_report(report, 1.0)
    return agent


def listing_at(seconds):
    return Listing(
        clock_ms=4000 + round(1000 * seconds), born_ms=LIFETIME.born_ms
    )


def evicted(effects):
    return [
        effect.message.number
        for effect in effects
        if isinstance(effect, SendToEntry)
        and isinstance(effect.message, JobEvicted)
    ]


@then("an agent finds one that its server accepts in a few tries")
def check_token_found(context):
    agent = agent_with_server(clock_ms=200)
    seen, tries = 3_000_000, 0
    while agent.poll_request(1.0, wait_ms=0).fencing_token < seen:
        agent.raise_fencing_token(200, 1.0)
        tries += 1
    assert 0 < tries < 20, tries


@then("it takes tasks only after a listing that it has asked for since")
def check_waking(context):
    agent = agent_with_server()
    agent.receive_listing(listing_at(1.0), LIFETIME, 1.0, 1.01)
    assert agent.status(0, 1.02).accepting
    agent.receive_listing(listing_at(1.1), LIFETIME, 1.1, 4.0)
    agent.tick(4.01)
    assert not agent.status(0, 4.02).accepting
    agent.receive_listing(listing_at(1.2), LIFETIME, 1.2, 4.02)
    assert not agent.status(0, 4.03).accepting
    agent.receive_listing(listing_at(4.03), LIFETIME, 4.03, 4.04)
    assert agent.status(0, 4.04).accepting


@then("one that has just started waits for a listing or the longest lease")
def check_unsettled(context):
    agent = agent_with_server()
    agent.entry_connected("entry", 1, 1.0)
    assert not evicted(agent.receive("entry", EVICT, 1.01))
    receive_listing = agent.receive_listing(
        listing_at(1.02), LIFETIME, 1.02, 1.03
    )
    assert evicted(receive_listing) == [7]
    agent = DirectAgent(
        agent_id="agent",
        incarnation=1,
        limits=DirectAgentLimits(),
        log=NullDecisionLog(),
    )
    agent.tick(1.0)
    agent.entry_connected("entry", 1, 1.0)
    assert not evicted(agent.receive("entry", EVICT, 1.0))
    told_at = None
    for step in range(1, 16):
        now = 1.0 + step / 20
        agent.receive("entry", Beat(), now)
        if evicted(agent.tick(now)):
            told_at = now
    max_duration_s = agent.limits.lease.max_duration_s
    assert max_duration_s < told_at - 1.0 < max_duration_s + 0.1, told_at


@then("a question before its first tick is not lost")
def check_before_tick(context):
    agent = agent_with_server(ticked=False)
    agent.entry_connected("entry", 1, 1.0)
    agent.receive("entry", EVICT, 1.0)
    agent.tick(1.01)
    receive_listing = agent.receive_listing(
        listing_at(1.02), LIFETIME, 1.02, 1.03
    )
    assert evicted(receive_listing) == [7]


STEP = Step(count=1, room=Room(4, 4, 0), estimate_ms=100.0)


def view_of(cpu_milli, *, free_cpu_milli=0):
    """Return the view of an agent; without room it knows no server yet."""
    status = AgentStatus(
        agent_id="agent",
        accepting=cpu_milli > 0,
        cpu_milli=cpu_milli,
        memory_mb=cpu_milli,
        free_cpu_milli=free_cpu_milli,
    )
    return AgentView(status=status, now=0.0)


@then("agents that meet their servers count as much as those that have")
def check_coming_room(context):
    views = [view_of(100)] + [view_of(0)] * 4

    def wait_ms(discovery_wait_ms):
        return estimate_load(
            STEP,
            views,
            queued_cpu_milli_ms=50_000.0,
            far_factor=1.5,
            discovery_wait_ms=discovery_wait_ms,
        ).wait_ms

    assert wait_ms(None) == 500.0
    assert wait_ms(300.0) == 100.0
    nobody = estimate_load(
        STEP,
        views[1:],
        queued_cpu_milli_ms=50_000.0,
        far_factor=1.5,
        discovery_wait_ms=300.0,
    )
    assert nobody.wait_ms == 300.0
    assert retry_after_s(nobody, 410.0, LIMITS) is None
    assert retry_after_s(nobody, 390.0, LIMITS) is not None


ROUTE = Route(
    name="route",
    host="host",
    prefix="/",
    service="service",
    max_attempts=4,
    stretch=1.6,
    slack_ms=60.0,
)
JOB = Job(job_id="c" * 16, payload="", steps=(STEP,))


def entry_beside(*, told, lost_first=False):
    """Return an entry with two agents that serve another entry, too.

    It waits for one of them, which may have been lost before.
    """
    entry = DirectEntry(
        entry_id="entry-1",
        limits=DirectEntryLimits(),
        log=NullDecisionLog(),
        source=random.Random(1),
    )
    entry.tick(1.0)
    for agent_id in ("agent-1", "agent-2"):
        status = AgentStatus(
            agent_id=agent_id,
            accepting=True,
            cpu_milli=9,
            memory_mb=9,
            free_cpu_milli=9,
            free_memory_mb=9,
        )
        entry.agent_connected(AgentHello(status=status), 1.0)
        served = EntriesServed(entry_ids=("entry-1", "entry-2"))
        entry.receive(agent_id, served, 1.0)
    if told:
        entry.receive_from_peer("entry-2", JobsTaken(job_ids=(JOB.job_id,)), 1)
    if lost_first:
        entry.agent_disconnected("agent-2", 1.0)
    entry.submit(1, JOB, ROUTE, 1.0)
    entry.receive("agent-1", JobEvicted(number=1), 1.01)
    return entry


def keep_alive(entry, until):
    now = entry.last_tick_at
    while now < until:
        now += 0.05
        for agent_id, view in entry.agents.items():
            entry.receive(agent_id, view.status, now)
        entry.tick(now)


@then("a job that another entry told of waits until all agents have told")
def check_claim_waits(context):
    entry = entry_beside(told=True)
    keep_alive(entry, 3.0)
    assert not entry.jobs
    entry.receive("agent-2", JobEvicted(number=1), 3.01)
    entry.dispatch_waiting(3.01)
    assert JOB.job_id in entry.jobs


@then("a lost agent is waited for until its runs are surely over")
def check_lost_agent(context):
    for lost_first in (True, False):
        entry = entry_beside(told=True, lost_first=lost_first)
        entry.agent_disconnected("agent-2", 1.01)
        # Until it finds this entry silent and has stopped what it ran.
        over_s = entry.heartbeat_timeout_s + entry.limits.agent_stop_s
        keep_alive(entry, 1.0 + over_s - 0.1)
        assert not entry.jobs, lost_first
        keep_alive(entry, 1.0 + over_s + 0.2)
        assert JOB.job_id in entry.jobs, lost_first


@then("an agent that connects again meanwhile is asked again")
def check_asked_again(context):
    entry = entry_beside(told=True)
    entry.agent_disconnected("agent-2", 1.02)
    hello = AgentHello(status=AgentStatus(agent_id="agent-2"))
    asked = [
        effect.message.job_id
        for effect in entry.agent_connected(hello, 1.1)
        if isinstance(effect, SendToAgent)
        and isinstance(effect.message, EvictJob)
    ]
    assert asked == [JOB.job_id], asked
    keep_alive(entry, 4.0)
    assert not entry.jobs


@then("a job that an unheard entry may hold waits 0.3 s at most")
def check_unheard_wait(context):
    entry = entry_beside(told=False)
    keep_alive(entry, 1.25)
    assert not entry.jobs
    keep_alive(entry, 1.4)
    assert JOB.job_id in entry.jobs


@then("an agent tells its entries when another one is given up")
def check_entries_told(context):
    agent = agent_with_server()
    told = []

    def record(effects):
        for effect in effects:
            if isinstance(effect, SendToEntry) and isinstance(
                effect.message, EntriesServed
            ):
                told.append((effect.entry_id, effect.message.entry_ids))

    record(agent.entry_connected("entry-1", 1, 1.0))
    record(agent.entry_connected("entry-2", 1, 1.0))
    assert told[-2:] == [
        ("entry-1", ("entry-1", "entry-2")),
        ("entry-2", ("entry-1", "entry-2")),
    ]
    agent.entry_disconnected("entry-2")
    told.clear()
    for step in range(1, 14):
        now = 1.0 + step / 20
        agent.receive("entry-1", Beat(), now)
        record(agent.tick(now))
    assert told == [("entry-1", ("entry-1",))], told


@then("an entry of many agents sends heartbeats less often, and goes on so")
def check_beat_interval(context):
    limits = DirectEntryLimits()
    entry = DirectEntry(
        entry_id="entry",
        limits=limits,
        log=NullDecisionLog(),
        source=random.Random(1),
    )
    entry.tick(1.0)
    assert entry.agent_heartbeat_interval_s == limits.heartbeat_interval_s
    for number in range(70):
        status = AgentStatus(agent_id=f"agent-{number}")
        entry.agent_connected(AgentHello(status=status), 1.1)
    beats = [
        effect.message
        for effect in entry.tick(1.2)
        if isinstance(effect, SendToAgent)
    ]
    assert [beat.interval_ms for beat in beats] == [280] * 70
    for number in range(70):
        entry.agent_disconnected(f"agent-{number}", 1.3)
    entry.tick(1.6)
    assert entry.agent_heartbeat_interval_s == 0.28


@then("a new lifetime of a server gets a higher token than the former one")
def check_lifetime_token(context):
    agent = agent_with_server()
    former = agent.fencing_token
    report = dataclasses.replace(
        agent.report, lifetime=BackendIncarnation("server", 2), clock_ms=10
    )
    agent.receive_report(report, 2.0)
    assert agent.fencing_token > former
