import pathlib
import random

from behave import then
from hypothesis import given
from hypothesis import strategies
import msgspec

from egretcart.direct.agent.agent import DirectAgent
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import EntryState
from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import Listing
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.backend.health import BackendHealth
from egretcart.direct.backend.health import HealthLimits
from egretcart.direct.backend.lease import BackendLease
from egretcart.direct.backend.lease import LeaseLimits
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import EntriesServed
from egretcart.direct.connection.messages import EvictJob
from egretcart.direct.connection.messages import JobEvicted
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.peer_messages import JobsTaken
from egretcart.direct.connection.views import AgentView
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.log import decisions
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.policy.admission import AdmissionLimits
from egretcart.direct.policy.admission import estimate_load
from egretcart.direct.policy.admission import LoadEstimate
from egretcart.direct.policy.admission import retry_after_s
from egretcart.direct.policy.rescue import LateRun
from egretcart.direct.policy.rescue import ReschedulingLimits
from egretcart.direct.policy.rescue import should_reschedule
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.request.progress import ProgressLimits
from egretcart.direct.request.progress import SlowdownEstimate
from egretcart.direct.version.configuration import Route

LOG_PAGE = pathlib.Path(__file__).resolve().parents[3] / "docs" / "logs.md"
ON_TIME_RUN = LateRun(
    whole_ms=1430.0,
    completed_share=0.1,
    slowdown=1.43,
    elsewhere_slowdown=0.59,
    stretch=1.6,
    slack_ms=60.0,
    job_age_ms=150.0,
)


def is_rescheduled(**changes):
    return should_reschedule(
        msgspec.structs.replace(ON_TIME_RUN, **changes), ReschedulingLimits()
    )


@then("a stalled run is rescheduled")
def check_stalled(context):
    assert is_rescheduled(whole_ms=-1.0, elsewhere_slowdown=None)


@then("a run that is on time is not rescheduled, however slow its server")
def check_on_time(context):
    assert not is_rescheduled()
    # Late by the caller's wrong estimate, but on time by its progress.
    assert not is_rescheduled(whole_ms=5000.0)


@then("a run on a slow server is rescheduled if another has free capacity")
def check_slow(context):
    slow = {"whole_ms": 6500.0, "slowdown": 6.5}
    assert is_rescheduled(**slow)
    assert not is_rescheduled(**slow, completed_share=0.95)
    assert not is_rescheduled(**{**slow, "elsewhere_slowdown": None})


@then("a run that would be late elsewhere too is not rescheduled")
def check_late_everywhere(context):
    late = {"whole_ms": 3000.0, "slowdown": 3.0, "job_age_ms": 4900.0}
    assert not is_rescheduled(**late)


def load(**changes):
    fields = {
        "capacity_cpu_milli": 16000.0,
        "has_free_capacity": False,
        "queued_cpu_milli_ms": 0.0,
        "fastest_ms": 100.0,
    }
    return LoadEstimate(**{**fields, **changes})


LIMITS = AdmissionLimits()


@then("a job is never refused while there is free capacity")
def check_free_capacity(context):
    @given(
        strategies.floats(0, 1e9),
        strategies.floats(1, 1e6),
        strategies.floats(-1e5, 1e5),
    )
    def check_property(waiting, fastest, useful):
        estimate = load(
            has_free_capacity=True,
            queued_cpu_milli_ms=waiting,
            fastest_ms=fastest,
        )
        assert estimate.wait_ms == 0
        if fastest <= LIMITS.max_useful_share * useful:
            assert retry_after_s(estimate, useful, LIMITS) is None

    check_property()


@then("a job is refused once two thirds of its useful time are not enough")
def check_useful_share(context):
    useful_ms = 600.0
    enough = load(queued_cpu_milli_ms=16000.0 * 300)
    scarce = load(queued_cpu_milli_ms=16000.0 * 310)
    assert retry_after_s(enough, useful_ms, LIMITS) is None
    assert retry_after_s(scarce, useful_ms, LIMITS) is not None


@then("a job that was accepted is refused only when no time is left")
def check_accepted(context):
    estimate = load(queued_cpu_milli_ms=16000.0 * 490)
    assert retry_after_s(estimate, 600.0, LIMITS, is_accepted=True) is None
    estimate = load(queued_cpu_milli_ms=16000.0 * 510)
    assert retry_after_s(estimate, 600.0, LIMITS, is_accepted=True) is not None


@then("the time after which to retry is between its bounds")
def check_bounds(context):
    no_capacity = load(capacity_cpu_milli=0.0)
    assert retry_after_s(no_capacity, 600.0, LIMITS) == LIMITS.max_retry_s
    soon = load(queued_cpu_milli_ms=16000.0 * 310)
    assert retry_after_s(soon, 600.0, LIMITS) == LIMITS.min_retry_s


def health_after_failures(limits, jobs, now=0.0):
    health = BackendHealth(limits=limits)
    for number in range(jobs):
        health.record_failure(f"job-{number}", now)
    return health


@then("failures of three jobs in a row start a backoff")
def check_backoff(context):
    limits = HealthLimits()
    assert health_after_failures(limits, 2).may_start(running=5, now=0.0)
    health = health_after_failures(limits, 3)
    assert not health.may_start(running=0, now=limits.initial_backoff_s - 0.01)
    assert health.may_start(running=0, now=limits.initial_backoff_s)
    assert not health.may_start(running=1, now=limits.initial_backoff_s)
    single_job = BackendHealth(limits=limits)
    for _ in range(10):
        single_job.record_failure("one-job", 0.0)
    assert not single_job.probing


@then("each probe that fails doubles the backoff up to its bound")
def check_doubling(context):
    limits = HealthLimits()
    health = health_after_failures(limits, 3)
    backoffs = []
    for _ in range(6):
        now = health.backoff_until
        health.record_failure("trial", now)
        backoffs.append(health.backoff_until - now)
    assert backoffs[-1] == limits.max_backoff_s
    assert backoffs == sorted(backoffs)


@then("one successful run ends the probing")
def check_cleared(context):
    limits = HealthLimits()
    health = health_after_failures(limits, 3)
    health.record_success()
    assert health.may_start(running=9, now=health.backoff_until)
    assert not health.probing


@then("the lease has ended by then on any clock within the drift")
def check_lease(context):
    limits = LeaseLimits()

    @given(
        strategies.floats(1 - limits.clock_drift, 1 + limits.clock_drift),
        strategies.lists(strategies.floats(0.001, 0.4), max_size=8),
    )
    def check_property(rate, gaps):
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

    check_property()


@then("a job of many tasks counts once")
def check_job_counts_once(context):
    slowdown = SlowdownEstimate(limits=ProgressLimits())
    for number in range(10):
        slowdown.record(f"job-{number}", 100.0, 100.0)
    for _ in range(50):
        slowdown.record("wrong", 300.0, 100.0)
    assert slowdown.percent() <= 112, slowdown.percent()


@then("a server that becomes slow is detected after a few jobs")
def check_slow_detected(context):
    slowdown = SlowdownEstimate(limits=ProgressLimits())
    for number in range(20):
        slowdown.record(f"job-{number}", 100.0, 100.0)
    for number in range(8):
        for _ in range(3):
            slowdown.record(f"late-{number}", 650.0, 100.0)
    assert slowdown.percent() >= 180, slowdown.percent()


@then("an agent with a restored report takes a token from the first listing")
def check_token(context):
    backend_incarnation = BackendIncarnation("server", 1)
    tokens = []
    for clock_ms in (5000, 9000):
        agent = DirectAgent(
            agent_id="agent",
            incarnation=clock_ms,
            limits=DirectAgentLimits(),
            log=NullDecisionLog(),
        )
        restored = BackendReport(
            lifetime=backend_incarnation,
            service="service",
            capacity=Room(1, 1, 0),
        )
        agent.receive_report(restored, 1.0)
        listing = Listing(
            clock_ms=clock_ms, born_ms=backend_incarnation.born_ms
        )
        agent.receive_listing(listing, backend_incarnation, 1.0, 1.01)
        request = agent.poll_request(1.02, wait_ms=100)
        tokens.append(request.fencing_token)
    assert tokens == [5000, 9000], tokens


@then("two entries that send the same run are distinguished")
def check_two_entries(context):
    agent = DirectAgent(
        agent_id="agent",
        incarnation=1,
        limits=DirectAgentLimits(),
        log=NullDecisionLog(),
    )
    backend_incarnation = BackendIncarnation("server", 1)
    report = BackendReport(
        lifetime=backend_incarnation,
        service="service",
        capacity=Room(10, 10, 0),
        clock_ms=5000,
    )
    agent.tick(1.0)
    agent.receive_report(report, 1.0)
    listing = Listing(clock_ms=5000, born_ms=backend_incarnation.born_ms)
    agent.receive_listing(listing, backend_incarnation, 1.0, 1.01)
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
def check_log_page(context):
    rows = {}
    for line in LOG_PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 4:
            rows[cells[0]] = cells[3]
    kinds = decisions.Decision.__subclasses__()
    assert len(kinds) >= 18
    for kind in kinds:
        names = [field.name for field in msgspec.structs.fields(kind)]
        assert rows.get(kind.__name__) == ", ".join(names), kind


def statuses_of_busy_agent(entries, seconds):
    """Return how many statuses an agent sends whose load always changes."""
    limits = DirectAgentLimits()
    effects = []
    links = EntryLinks(
        effects=effects,
        min_status_interval_s=limits.min_status_interval_s,
        max_statuses_per_s=limits.max_statuses_per_s,
        retire_after_s=limits.retire_after_s,
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


@then("a busy agent of {entries:d} entries reports all changes to each soon")
def check_reported_soon(context, entries):
    assert statuses_of_busy_agent(entries, 10.0) >= 10 * entries / 0.03


@then("a busy agent of {entries:d} entries sends statuses within its bounds")
def check_status_rate(context, entries):
    limits = DirectAgentLimits()
    bound_per_s = max(
        limits.max_statuses_per_s, entries / limits.heartbeat_interval_s
    )
    sent = statuses_of_busy_agent(entries, 10.0)
    assert sent <= 10 * bound_per_s + entries, sent


BACKEND_INCARNATION = BackendIncarnation("server", 1)
EVICT = EvictJob(number=7, job_id="a" * 16)


def agent_with_server(*, ticked=True, clock_ms=5000, limits=None, log=None):
    """Return an agent at 1.0 s whose server has reported."""
    agent = DirectAgent(
        agent_id="agent",
        incarnation=1,
        limits=limits or DirectAgentLimits(),
        log=log or NullDecisionLog(),
    )
    if ticked:
        agent.tick(1.0)
    report = BackendReport(
        lifetime=BACKEND_INCARNATION,
        service="service",
        capacity=Room(10, 10, 0),
        clock_ms=clock_ms,
    )
    agent.receive_report(report, 1.0)
    return agent


def listing_at(seconds):
    return Listing(
        clock_ms=4000 + round(1000 * seconds),
        born_ms=BACKEND_INCARNATION.born_ms,
    )


def evicted(effects):
    return [
        effect.message.number
        for effect in effects
        if isinstance(effect, SendToEntry)
        and isinstance(effect.message, JobEvicted)
    ]


@then("an agent finds one that its server accepts in a few attempts")
def check_token_found(context):
    agent = agent_with_server(clock_ms=200)
    seen_token, attempts = 3_000_000, 0
    while agent.poll_request(1.0, wait_ms=0).fencing_token < seen_token:
        request = agent.poll_request(1.0, wait_ms=0)
        agent.poll_refused(request, 200, 1.0)
        attempts += 1
    assert 0 < attempts < 20, attempts


@then("a poll that another one has overtaken leaves the token as it is")
def check_overtaken_poll(context):
    agent = agent_with_server(clock_ms=200)
    overtaken = agent.poll_request(1.0, wait_ms=0)
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.01)
    newest = agent.poll_request(1.02, wait_ms=0)
    assert newest.fencing_token > overtaken.fencing_token
    agent.poll_refused(overtaken, 5100, 1.03)
    assert agent.fencing_token == newest.fencing_token
    agent.poll_refused(newest, 5100, 1.04)
    assert agent.fencing_token > newest.fencing_token


@then("starts that are refused together raise the token once")
def check_refused_starts(context):
    agent = agent_with_server(clock_ms=200)
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.01)
    agent.entry_connected("entry", 1, 1.02)
    tasks = RunTasks(
        sequence=1, job_id="a" * 16, indexes=(0, 1, 2), run=1, cpu_milli=1
    )
    starts = [
        effect.request
        for effect in agent.receive("entry", tasks, 1.03)
        if isinstance(effect, SendStartRequest)
    ]
    assert len(starts) == 3, starts
    for start in starts:
        agent.start_answered(start, StartAnswer.STALE_TOKEN, 1.04)
    assert agent.fencing_token == 2 * starts[0].fencing_token


@then("it accepts tasks only after a listing that it has requested since")
def check_resumed(context):
    agent = agent_with_server()
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.01)
    assert agent.status(0, 1.02).accepting
    agent.receive_listing(listing_at(1.1), BACKEND_INCARNATION, 1.1, 4.0)
    agent.tick(4.01)
    assert not agent.status(0, 4.02).accepting
    agent.receive_listing(listing_at(1.2), BACKEND_INCARNATION, 1.2, 4.02)
    assert not agent.status(0, 4.03).accepting
    agent.receive_listing(listing_at(4.03), BACKEND_INCARNATION, 4.03, 4.04)
    assert agent.status(0, 4.04).accepting


@then("a newly started agent waits for a listing or the longest lease")
def check_just_started(context):
    agent = agent_with_server()
    agent.entry_connected("entry", 1, 1.0)
    assert not evicted(agent.receive("entry", EVICT, 1.01))
    effects = agent.receive_listing(
        listing_at(1.02), BACKEND_INCARNATION, 1.02, 1.03
    )
    assert evicted(effects) == [7]
    agent = DirectAgent(
        agent_id="agent",
        incarnation=1,
        limits=DirectAgentLimits(),
        log=NullDecisionLog(),
    )
    agent.tick(1.0)
    agent.entry_connected("entry", 1, 1.0)
    assert not evicted(agent.receive("entry", EVICT, 1.0))
    evicted_at = None
    for step in range(1, 16):
        now = 1.0 + step / 20
        agent.receive("entry", Beat(), now)
        if evicted(agent.tick(now)):
            evicted_at = now
    max_duration_s = agent.limits.lease.max_duration_s
    assert max_duration_s < evicted_at - 1.0 < max_duration_s + 0.1, evicted_at


@then("a request before its first tick is not lost")
def check_before_tick(context):
    agent = agent_with_server(ticked=False)
    agent.entry_connected("entry", 1, 1.0)
    agent.receive("entry", EVICT, 1.0)
    agent.tick(1.01)
    effects = agent.receive_listing(
        listing_at(1.02), BACKEND_INCARNATION, 1.02, 1.03
    )
    assert evicted(effects) == [7]


STEP = Step(count=1, room=Room(4, 4, 0), estimate_ms=100.0)


def view_of(cpu_milli, *, free_cpu_milli=0):
    """Return the view of an agent; without capacity it knows no server."""
    status = AgentStatus(
        agent_id="agent",
        service_name="service",
        accepting=cpu_milli > 0,
        cpu_milli=cpu_milli,
        memory_mb=cpu_milli,
        free_cpu_milli=free_cpu_milli,
    )
    return AgentView(status=status, now=0.0)


@then("while no agent knows its server, the wait is that for the first one")
def check_discovery_wait(context):
    no_capacity = estimate_load(
        STEP,
        [view_of(0)] * 4,
        service="service",
        queued_cpu_milli_ms=50_000.0,
        far_factor=1.5,
        discovery_wait_ms=300.0,
    )
    assert no_capacity.wait_ms == 300.0
    assert retry_after_s(no_capacity, 410.0, LIMITS) is None
    assert retry_after_s(no_capacity, 390.0, LIMITS) is not None


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


def entry_with_shared_agents(*, reported, lost_first=False):
    """Return an entry with two agents that serve another entry, too.

    It waits for the second one, which may have been lost before.
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
            service_name="service",
            accepting=True,
            cpu_milli=9,
            memory_mb=9,
            free_cpu_milli=9,
            free_memory_mb=9,
        )
        entry.agent_connected(AgentHello(status=status), 1.0)
        served = EntriesServed(entry_ids=("entry-1", "entry-2"))
        entry.receive(agent_id, served, 1.0)
    if reported:
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


@then("a job that another entry reported waits until all agents have answered")
def check_claim_waits(context):
    entry = entry_with_shared_agents(reported=True)
    keep_alive(entry, 3.0)
    assert not entry.jobs
    entry.receive("agent-2", JobEvicted(number=1), 3.01)
    entry.dispatch_waiting(3.01)
    assert JOB.job_id in entry.jobs


@then("a lost agent is waited for until its runs have expired")
def check_lost_agent(context):
    for lost_first in (True, False):
        entry = entry_with_shared_agents(reported=True, lost_first=lost_first)
        entry.agent_disconnected("agent-2", 1.01)
        # Until the agent counts this entry as lost and has stopped its runs.
        expiry_s = entry.heartbeat_timeout_s + entry.limits.agent_stop_s
        keep_alive(entry, 1.0 + expiry_s - 0.1)
        assert not entry.jobs, lost_first
        keep_alive(entry, 1.0 + expiry_s + 0.2)
        assert JOB.job_id in entry.jobs, lost_first


@then("an agent that connects again meanwhile is asked again")
def check_asked_again(context):
    entry = entry_with_shared_agents(reported=True)
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


@then("a job that an unconnected entry may own waits 0.3 s at most")
def check_unconnected_wait(context):
    entry = entry_with_shared_agents(reported=False)
    keep_alive(entry, 1.25)
    assert not entry.jobs
    keep_alive(entry, 1.4)
    assert JOB.job_id in entry.jobs


@then("an agent notifies its entries when another one is lost")
def check_entries_notified(context):
    agent = agent_with_server()
    notified = []

    def record(effects):
        for effect in effects:
            if isinstance(effect, SendToEntry) and isinstance(
                effect.message, EntriesServed
            ):
                notified.append((effect.entry_id, effect.message.entry_ids))

    record(agent.entry_connected("entry-1", 1, 1.0))
    record(agent.entry_connected("entry-2", 1, 1.0))
    assert notified[-2:] == [
        ("entry-1", ("entry-1", "entry-2")),
        ("entry-2", ("entry-1", "entry-2")),
    ]
    agent.entry_disconnected("entry-2")
    notified.clear()
    for step in range(1, 14):
        now = 1.0 + step / 20
        agent.receive("entry-1", Beat(), now)
        record(agent.tick(now))
    assert notified == [("entry-1", ("entry-1",))], notified


@then("an entry of many agents sends heartbeats less often from then on")
def check_heartbeat_interval(context):
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
    heartbeats = [
        effect.message
        for effect in entry.tick(1.2)
        if isinstance(effect, SendToAgent)
    ]
    assert [heartbeat.interval_ms for heartbeat in heartbeats] == [280] * 70
    for number in range(70):
        entry.agent_disconnected(f"agent-{number}", 1.3)
    entry.tick(1.6)
    assert entry.agent_heartbeat_interval_s == 0.28


@then("a new incarnation of a server gets a higher token than the former one")
def check_incarnation_token(context):
    agent = agent_with_server()
    former = agent.fencing_token
    report = msgspec.structs.replace(
        agent.report, lifetime=BackendIncarnation("server", 2), clock_ms=10
    )
    agent.receive_report(report, 2.0)
    assert agent.fencing_token > former
