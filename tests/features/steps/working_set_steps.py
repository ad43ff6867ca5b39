import collections
import random
import statistics

from behave import given
from behave import then
from behave import when
from direct_decisions_steps import agent_with_server
from direct_decisions_steps import BACKEND_INCARNATION
from direct_decisions_steps import listing_at
from direct_world_steps import inject_random_faults
from direct_world_steps import TASK_ROOM
from hypothesis import given as given_examples
from hypothesis import strategies
import trio
from trio.testing import MockClock

from egretcart.direct.agent.agent_types import CloseEntryLink
from egretcart.direct.agent.agent_types import DialEntry
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import EntriesServed
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.messages import RecruitAgents
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import ServeEntry
from egretcart.direct.connection.messages import StopTasks
from egretcart.direct.connection.working_set import WorkingSet
from egretcart.direct.connection.working_set import WorkingSetLimits
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.process.store_follower import EntryFinder
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.process.store.platform import Listing
from egretcart.testing.direct_world import SimulatedDeployment

LIMITS = WorkingSetLimits()
DOMAINS = tuple(f"domain-{number}" for number in range(5))
# Of the mean; the sets are random, so that few entries differ by more.
BALANCE_SHARE = 0.25


def endpoint(number):
    return (f"10.{number % 5}.{number // 5 // 250}.{number // 5 % 250}", 7720)


def domain_of(number):
    return DOMAINS[number % len(DOMAINS)]


def sets_of(agents, entries):
    sets = {}
    for agent in range(agents):
        working_set = sets[agent] = WorkingSet(
            agent_id=f"agent-{agent}", limits=LIMITS, seeds=()
        )
        for number in range(entries):
            working_set.add(endpoint(number), domain_of(number))
    return sets


@given("the working sets of {agents:d} agents and {entries:d} entries")
def make_sets(context, agents, entries):
    context.entries = entries
    context.sets = sets_of(agents, entries)


@then("each agent serves 8 entries, in each of the failure domains")
def check_size(context):
    for working_set in context.sets.values():
        assert len(working_set.chosen) == 8
        served = {working_set.domains[item] for item in working_set.chosen}
        assert served == set(DOMAINS)


@then("each entry has about as many agents as the others, in all domains")
def check_balance(context):
    agents = collections.Counter()
    domains = collections.defaultdict(set)
    for number, working_set in context.sets.items():
        for item in working_set.chosen:
            agents[item] += 1
            domains[item].add(domain_of(number))
    fair = 8 * len(context.sets) / context.entries
    shares = [agents[endpoint(n)] / fair for n in range(context.entries)]
    outside = [share for share in shares if abs(share - 1) > BALANCE_SHARE]
    assert len(outside) <= 0.2 * len(shares), sorted(shares)
    assert min(shares) > 0.5, min(shares)
    assert statistics.fmean(shares) == 1.0
    assert all(len(found) == len(DOMAINS) for found in domains.values())


@then("an entry that comes or goes changes only sets that it belongs to")
def check_movement(context):
    new = ("10.9.9.9", 7720)
    moved = 0
    for working_set in context.sets.values():
        before = set(working_set.chosen)
        working_set.add(new, DOMAINS[0])
        after = set(working_set.chosen)
        assert after in (before, after | {new})
        assert len(before - after) <= 1 or new in after
        assert len(before ^ after) <= 4
        moved += new in after
        working_set.remove(new)
        assert set(working_set.chosen) == before
    assert moved <= 3 * 8 * len(context.sets) / context.entries


@then("up to 8 entries are all served, whatever the order in which they come")
def check_all_served(context):
    @given_examples(strategies.permutations(range(8)), strategies.integers())
    def check_property(order, agent):
        working_set = WorkingSet(
            agent_id=f"agent-{agent}", limits=LIMITS, seeds=()
        )
        for number in order:
            working_set.add(endpoint(number))
        for number in order:
            working_set.add(endpoint(number), domain_of(number))
        assert set(working_set.wanted) == {endpoint(n) for n in order}

    check_property()


def large_set():
    return sets_of(1, 35)[0]


@then("an unreachable entry is replaced at once and still dialled")
def check_replaced(context):
    working_set = large_set()
    before = set(working_set.chosen)
    lost = working_set.chosen[0]
    working_set.mark_unreachable(lost)
    assert before < set(working_set.chosen)
    assert len(working_set.chosen) == 9
    assert working_set.is_wanted(lost)


@then("it is served again, in place of its substitute, once it is back")
def check_restored(context):
    working_set = large_set()
    before = set(working_set.chosen)
    for lost in list(before):
        working_set.mark_unreachable(lost)
    assert len(set(working_set.chosen) - working_set.unreachable) == 8
    for lost in before:
        working_set.mark_reachable(lost)
    assert set(working_set.chosen) == before


@then("a seed is never forgotten, another entry is after a long time")
def check_forgotten(context):
    seed, other = endpoint(1), endpoint(2)
    working_set = WorkingSet(agent_id="agent", limits=LIMITS, seeds=[seed])
    working_set.add(other)
    for lost in (seed, other):
        working_set.mark_unreachable(lost)
        working_set.remove(lost)
    assert working_set.wanted == (seed,)


@then("it is served for its time, and longer while it has runs")
def check_temporary(context):
    agent = agent_with_set()
    address = outside_address(agent)
    effects = agent.receive("entry-0", ServeEntry(address=address), 1.05)
    assert DialEntry(address.endpoint) in effects
    agent.entry_connected("entry-x", 1, 1.06, address)
    send_task(agent, "entry-x", 1.07)
    now = advance(agent, 1.07, 1.0 + 2 * LIMITS.temporary_s)
    assert agent.connections.working_set.is_wanted(address.endpoint)
    stop_task(agent, "entry-x", now)
    advance(agent, now, now + LIMITS.temporary_s + 0.2)
    assert not agent.connections.working_set.is_wanted(address.endpoint)


@then("no more than a bounded number is")
def check_temporary_bound(context):
    working_set = large_set()
    others = [
        endpoint(number)
        for number in range(35)
        if not working_set.is_wanted(endpoint(number))
    ]
    served = [working_set.serve_temporarily(item, 5.0) for item in others]
    assert sum(served) == LIMITS.max_temporary
    assert working_set.serve_temporarily(working_set.chosen[0], 5.0)
    assert len(working_set.wanted) == 8 + LIMITS.max_temporary


def agent_with_set():
    """Return an agent that knows 35 entries and is linked to two of its set.

    A third link is to an entry outside the set.
    """
    agent = agent_with_server()
    agent.receive_listing(listing_at(1.0), BACKEND_INCARNATION, 1.0, 1.01)
    agent.entries_reported(
        PeerAddress(
            host=endpoint(n)[0],
            port=endpoint(n)[1],
            failure_domain=domain_of(n),
        )
        for n in range(35)
    )
    for number, (host, port) in enumerate(
        agent.connections.working_set.chosen[:2]
    ):
        address = PeerAddress(host=host, port=port)
        agent.entry_connected(f"entry-{number}", 1, 1.02, address)
    return agent


def outside_address(agent):
    chosen = agent.connections.working_set.chosen
    host, port = next(
        endpoint(number)
        for number in range(35)
        if endpoint(number) not in chosen
    )
    return PeerAddress(host=host, port=port)


def send_task(agent, entry_id, now):
    task = RunTasks(
        sequence=1,
        job_id=f"{entry_id:0>16}",
        indexes=(0,),
        run=1,
        cpu_milli=1,
        estimate_ms=100,
        may_wait=True,
    )
    return agent.receive(entry_id, task, now)


def stop_task(agent, entry_id, now):
    run = next(run for run in agent.runs if run.entry_id == entry_id)
    agent.runs.remove(run)
    return agent.receive(entry_id, StopTasks(job_id="other"), now)


def advance(agent, now, until, *, collect=None):
    """Tick an agent whose entries send heartbeats and whose server answers."""
    while now < until:
        now += 0.05
        agent.lease.update_clock(round(4000 + now * 1000), now)
        agent.lease.next_deadline_ms(now)
        effects = []
        for entry_id in list(agent.links.entries):
            effects += agent.receive(entry_id, Beat(), now)
        effects += agent.tick(now)
        if collect is not None:
            collect += effects
    return now


def statuses(effects, entry_id):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendToEntry)
        and effect.entry_id == entry_id
        and isinstance(effect.message, AgentStatus)
    ]


@then("the entry is told first, and the link is closed after its runs")
def check_leaves(context):
    agent = agent_with_set()
    agent.entry_connected("entry-x", 1, 1.03, outside_address(agent))
    effects = send_task(agent, "entry-x", 1.04)
    now = advance(agent, 1.04, 4.0, collect=effects)
    assert CloseEntryLink("entry-x") not in effects
    told = [status.accepting for status in statuses(effects, "entry-x")]
    assert told[0]
    assert not told[-1]
    assert all(status.accepting for status in statuses(effects, "entry-0")), (
        "an entry of the set is told that nothing is accepted"
    )
    # Its heartbeats since then mean the same status.
    assert agent.links.entries["entry-0"].reported.accepting
    stop_task(agent, "entry-x", now)
    effects = []
    advance(agent, now, now + 0.1, collect=effects)
    assert CloseEntryLink("entry-x") in effects
    assert "entry-x" not in agent.links.entries


@then("an entry that returns to the set is told so")
def check_returns(context):
    agent = agent_with_set()
    address = outside_address(agent)
    agent.entry_connected("entry-x", 1, 1.03, address)
    send_task(agent, "entry-x", 1.04)
    now = advance(agent, 1.04, 3.0)
    agent.receive("entry-0", ServeEntry(address=address), now)
    effects = []
    advance(agent, now, now + 0.1, collect=effects)
    assert statuses(effects, "entry-x")[-1].accepting


STEP = Step(count=1, room=Room(4, 4, 0), estimate_ms=100.0)


def entry_with_agents(*, free=0, entries_served=("entry",), peers=6):
    """Return an entry with three agents that serve the given entries."""
    entry = DirectEntry(
        entry_id="entry",
        limits=DirectEntryLimits(),
        log=NullDecisionLog(),
        source=random.Random(1),
    )
    entry.tick(1.0)
    for number in range(3):
        status = AgentStatus(
            agent_id=f"agent-{number}",
            service_name="service",
            accepting=True,
            cpu_milli=10,
            memory_mb=10,
            free_cpu_milli=free,
            free_memory_mb=free,
        )
        entry.agent_connected(AgentHello(status=status), 1.1)
        served = EntriesServed(entry_ids=entries_served)
        entry.receive(f"agent-{number}", served, 1.1)
    for number in range(peers):
        entry.peer_connected(f"entry-{number}", 1.1)
    return entry


def requests_for_agents(entry, now):
    entry.recruiter.ask(STEP, "service", now)
    return [
        effect.entry_id
        for effect in entry.dispatch_waiting(now)
        if isinstance(effect, SendToPeer)
        and isinstance(effect.message, RecruitAgents)
    ]


@then("it asks three others at most, and not again at once")
def check_asks(context):
    entry = entry_with_agents()
    assert len(set(requests_for_agents(entry, 2.0))) == 3
    interval_s = entry.limits.recruiting.interval_s
    assert not requests_for_agents(entry, 2.0 + interval_s / 2)
    assert requests_for_agents(entry, 2.0 + 1.1 * interval_s)


@then("the others send agents that can begin the task and do not serve it")
def check_sends(context):
    request = RecruitAgents(
        address=PeerAddress(host="10.0.0.1", port=7720),
        cpu_milli=4,
        memory_mb=4,
    )

    def agents_sent(entry, message=request):
        return [
            effect.agent_id
            for effect in entry.receive_from_peer("entry-1", message, 2.0)
            if isinstance(effect, SendToAgent)
            and effect.message == ServeEntry(address=request.address)
        ]

    assert len(set(agents_sent(entry_with_agents(free=5)))) == 2
    assert not agents_sent(entry_with_agents(free=3))
    serving = entry_with_agents(free=5, entries_served=("entry", "entry-1"))
    assert not agents_sent(serving)
    labelled = RecruitAgents(address=request.address, cpu_milli=4, label="b")
    assert not agents_sent(entry_with_agents(free=5), labelled)


@then("nothing is asked if every agent serves all entries")
def check_full_mesh(context):
    served = ("entry", "entry-0", "entry-1")
    entry = entry_with_agents(entries_served=served, peers=2)
    assert not requests_for_agents(entry, 2.0)


@then("an agent that was sent tasks gets no heartbeat for an interval")
def check_heartbeats(context):
    entry = entry_with_agents()
    interval_s = entry.agent_heartbeat_interval_s
    start = 1.1 + interval_s

    def beats(now):
        return {
            effect.agent_id
            for effect in entry.tick(now)
            if isinstance(effect, SendToAgent)
            and isinstance(effect.message, Beat)
        }

    assert len(beats(start)) == 3
    assert not beats(start + interval_s / 2)
    entry.effects.append(SendToAgent("agent-1", StopTasks(job_id="job")))
    entry.dispatch_waiting(start + interval_s / 2)
    assert beats(start + 1.01 * interval_s) == {"agent-0", "agent-2"}
    assert beats(start + 1.6 * interval_s) == {"agent-1"}


def agent_of_ten_tasks():
    agent = agent_with_set()
    effects = []
    advance(agent, 1.02, 1.3, collect=effects)
    return agent


@then("a change far from full waits for the next heartbeat")
def check_far_from_full(context):
    agent = agent_of_ten_tasks()
    status_at = agent.links.entries["entry-0"].status_sent_at
    effects = send_task(agent, "entry-1", status_at + 0.03)
    effects += agent.tick(status_at + 0.05)
    assert not statuses(effects, "entry-0")
    effects = agent.tick(status_at + 0.16)
    assert statuses(effects, "entry-0")[0].free_cpu_milli == 9


@then("the last free capacity is reported at once, and when it is free again")
def check_full(context):
    agent = agent_of_ten_tasks()
    status_at = agent.links.entries["entry-0"].status_sent_at
    task = RunTasks(
        sequence=1,
        job_id="a" * 16,
        indexes=(0,),
        run=1,
        cpu_milli=9,
        estimate_ms=100,
    )
    effects = agent.receive("entry-1", task, status_at + 0.03)
    assert statuses(effects, "entry-0")[0].free_cpu_milli == 1
    run = next(iter(agent.runs))
    agent.runs.remove(run)
    effects = agent.tick(status_at + 0.08)
    assert statuses(effects, "entry-0")[0].free_cpu_milli == 10


@given(
    "a deployment of {entries:d} entries and {agents:d} agents "
    "with sets of {size:d} entries"
)
def start_sparse(context, entries, agents, size):
    context.world = SimulatedDeployment(
        entries=entries,
        agents=agents,
        seed=5,
        working_set=WorkingSetLimits(size=size),
    )
    context.world.run(2.5)


@when("one entry gets more jobs than its agents can run")
def overload_one_entry(context):
    world = context.world
    entry = world.entries["entry-0"]
    own = len(entry.agents)
    assert own <= 10, own
    # Twice what the entry's own agents can run at a time, and a third of
    # what all can.
    for _ in range(40):
        world.submit(entry_id="entry-0", tasks=4, work_ms=1000, room=TASK_ROOM)
        world.run(0.01)
    context.own_agents = own
    world.run(10.0)


@then("the jobs are completed as fast as if all agents were its own")
def check_spread(context):
    completed = context.world.answered(JobState.COMPLETED)
    assert len(completed) == len(context.world.requests)
    slowest = max(request.elapsed_s for request in completed)
    # The run time, and what recruiting takes in rounds of a tenth second.
    assert slowest < 1.0 + 0.6, slowest


@when(
    "a deployment with sets of 2 of 5 entries runs random faults, "
    "seed {seed:d}"
)
def run_small_sets(context, seed):
    context.world = inject_random_faults(
        SimulatedDeployment(
            entries=5,
            agents=8,
            seed=seed,
            speeds=(1.4, 1.4, 0.6),
            working_set=WorkingSetLimits(size=2),
        ),
        random.Random(seed),
    )


class CountingPlatform:
    """A store without entries that counts its calls."""

    def __init__(self):
        self.calls = 0

    async def list_range(self, keys):
        self.calls += 1
        return Listing(values={}, revision=1)


def lists_within(seconds, *, is_connected):
    platform = CountingPlatform()

    async def run():
        finder = EntryFinder(
            platform=platform,
            on_entry=lambda address: None,
            is_connected=lambda: is_connected,
            log=NullDecisionLog(),
            source=random.Random(1),
        )
        with trio.move_on_after(seconds):
            await finder.run()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    return platform.calls


@then("it lists them at its start, and then about every 30 seconds")
def check_seldom(context):
    assert lists_within(1, is_connected=True) == 1
    assert 7 <= lists_within(300, is_connected=True) <= 11


@then("one without a connection lists them about every 5 seconds")
def check_often(context):
    assert 50 <= lists_within(300, is_connected=False) <= 75
