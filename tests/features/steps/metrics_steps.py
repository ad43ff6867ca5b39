import pathlib
import threading

from behave import then
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from processes import read_counters

from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.control_types import CONTROL_TYPES
from egretcart.connection.leader_messages import CancelledTask
from egretcart.connection.leader_messages import CancelTasks
from egretcart.connection.leader_messages import Start
from egretcart.connection.traffic import TrafficCounters
from egretcart.load.counters import parse_counters
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_observer import AgentObserver
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.cell.wasted_messages import WasteCause
from egretcart.process.cell.wasted_messages import WastedMessageCounter
from egretcart.process.entry.directory import Cell
from egretcart.process.logs import NullLog
from egretcart.process.metric_table import LEASE_LAPSES
from egretcart.process.metric_table import markdown_table
from egretcart.process.metric_table import MESSAGES_WASTED
from egretcart.process.metric_table import STARTS
from egretcart.process.metrics import ProcessMetrics
from egretcart.process.transitions import EntryState
from egretcart.process.transitions import find_state_changes
from egretcart.process.transitions import StateChangeKind
from egretcart.testing.clock import ManualClock

ROOT = pathlib.Path(__file__).resolve().parents[3]
JOB = b"j" * 16


@then("docs/metrics.md contains the table made from the definitions")
def check_page(context):
    page = (ROOT / "docs" / "metrics.md").read_text()
    assert markdown_table() in page


@then("any sequence of counts is rendered as the sum for each label")
def check_rendering(context):
    causes = st.sampled_from([cause.value for cause in WasteCause])

    @settings(max_examples=30)
    @given(st.lists(st.tuples(causes, st.integers(1, 9)), max_size=20))
    def holds(counts):
        metrics = ProcessMetrics(traffic=TrafficCounters())
        sums = {}
        for cause, amount in counts:
            metrics.add(MESSAGES_WASTED, amount, label=cause)
            metrics.add(STARTS)
            sums[cause] = sums.get(cause, 0) + amount
        read = parse_counters(metrics.render())
        assert read.by_label("egretcart_messages_wasted") == sums
        assert read.total("egretcart_starts") == len(counts)

    holds()


@then("rendering starts no thread")
def check_threads(context):
    ProcessMetrics(traffic=TrafficCounters()).render()
    names = [thread.name for thread in threading.enumerate()]
    assert names == ["MainThread"], names


def wasted(*messages_by_agent):
    """Return the wasted messages by cause.

    Takes pairs of an agent and a message to or from it; None as the message
    means that the agent was lost.
    """
    counts = {}

    def count(cause, messages):
        counts[cause] = counts.get(cause, 0) + messages

    observer = WastedMessageCounter(count=count)
    for agent, message in messages_by_agent:
        if message is None:
            observer.agent_lost(agent)
        elif isinstance(message, TaskResult):
            observer.received(agent, message)
        else:
            observer.sent(agent, message)
    assert not observer.open_attempts
    return counts


def start(attempt=1):
    return Start(job_id=JOB, task=0, attempt=attempt)


def answer(attempt=1, verdict="ran", *, succeeded=True):
    return TaskResult(
        job_id=JOB,
        task=0,
        attempt=attempt,
        verdict=verdict,
        succeeded=succeeded,
    )


@then("an attempt that succeeds wastes nothing")
def check_useful(context):
    assert wasted(("a", start()), ("a", answer())) == {}


@then("a refused start and its refusal are counted as wasted once")
def check_refused(context):
    refusal = answer(verdict="not_run", succeeded=False)
    counts = wasted(
        ("a", start()), ("a", refusal), ("b", start(2)), ("b", answer(2))
    )
    assert counts == {WasteCause.REFUSED_START: 2}


@then("a retry after a failed attempt is wasted")
def check_retry(context):
    failure = answer(succeeded=False)
    counts = wasted(
        ("a", start()), ("a", failure), ("b", start(2)), ("b", answer(2))
    )
    assert counts == {WasteCause.RETRY: 2}


@then("the loser of a hedge is wasted")
def check_hedge(context):
    hedge = [("a", start()), ("b", start(2)), ("b", answer(2))]
    assert wasted(*hedge, ("a", answer())) == {WasteCause.HEDGE_LOSER: 2}
    cancel = CancelTasks(tasks=(CancelledTask(job_id=JOB, task=0),))
    broken = answer(verdict="may_have_run", succeeded=False)
    counts = wasted(*hedge, ("a", cancel), ("a", broken))
    assert counts == {WasteCause.HEDGE_LOSER: 3}


@then("the messages of a task that its cancelled job had started are wasted")
def check_cancelled(context):
    broken = answer(verdict="may_have_run", succeeded=False)
    counts = wasted(
        ("a", start()),
        ("a", CancelTasks(tasks=(CancelledTask(job_id=JOB),))),
        ("a", broken),
    )
    assert counts == {WasteCause.CANCELLED: 3}


@then("a second answer to the same attempt is wasted")
def check_duplicate(context):
    counts = wasted(("a", start()), ("a", answer()), ("a", answer()))
    assert counts == {WasteCause.DUPLICATE_ANSWER: 1}


@then("starts without a result are wasted when their agent is lost")
def check_lost(context):
    assert wasted(("a", start()), ("a", None)) == {WasteCause.LOST_AGENT: 1}


@then("the changes between any two states account for their difference")
def check_changes(context):
    names = st.frozensets(st.sampled_from("abc"))
    served = st.tuples(
        st.builds(Cell, st.just("s"), st.integers(0, 1)), st.integers(1, 2)
    )
    states = st.builds(
        EntryState,
        serving=st.frozensets(served),
        agents=names,
        peers=names,
        leaving=st.booleans(),
    )

    @settings(max_examples=200)
    @given(states, states)
    def holds(before, after):
        changes = find_state_changes(before, after)
        assert len(set(changes)) == len(changes)
        assert find_state_changes(after, after) == []
        agents = set(before.agents)
        for change in changes:
            if change.kind is StateChangeKind.AGENT_JOINED:
                agents.add(change.subject)
            elif change.kind is StateChangeKind.AGENT_LOST:
                agents.remove(change.subject)
        assert agents == after.agents
        takeovers = [c for c in changes if c.kind is StateChangeKind.TOOK_OVER]
        assert len(takeovers) == len(after.serving - before.serving)

    holds()


def sum_counters(processes, name):
    return sum(
        read_counters(process.ready["http_port"]).total(name)
        for process in processes
    )


@then("the agents' metrics count every start")
def check_agent_metrics(context):
    agents = context.deployment.agents
    entries = context.deployment.entries
    tasks = context.count * len(entries)
    assert sum_counters(agents, "egretcart_starts") == tasks
    results = [
        read_counters(agent.ready["http_port"]).by_label("egretcart_results")
        for agent in agents
    ]
    assert sum(r.get("succeeded", 0) for r in results) == tasks


@then("the entries' metrics count every job")
def check_entry_metrics(context):
    entries = context.deployment.entries
    assert sum_counters(entries, "egretcart_jobs") == len(entries)
    assert sum_counters(
        entries, "egretcart_response_time_seconds_count"
    ) == len(entries)
    assert sum_counters(entries, "egretcart_takeovers") >= 1


@then("there is a start and a result for each task and each counted refusal")
def check_messages(context):
    deployment = context.deployment
    sent = {}
    refused = 0
    for process in (*deployment.entries, *deployment.agents):
        counters = read_counters(process.ready["http_port"])
        wasted = counters.by_label("egretcart_messages_wasted")
        refused += wasted.get("refused_start", 0) / 2
        by_type = counters.by_label("egretcart_messages_sent")
        for message_type, count in by_type.items():
            sent[message_type] = sent.get(message_type, 0) + count
    tasks = context.count * len(deployment.entries)
    load = {k: v for k, v in sent.items() if k not in CONTROL_TYPES}
    forwards = load.pop("Forward", 0)
    assert forwards == load.pop("ForwardReply", 0)
    expected = tasks + refused
    assert load == {"Start": expected, "TaskResult": expected}, load


def count_lease_expiries(*, running):
    """Return how many expiries are counted when an agent's lease ends."""
    agent = Agent(
        identity=AgentIdentity(
            agent_id="a", incarnation=1, service="snapcheck",
            failure_domain="kl-putra", slots=8, connections=64,
        ),
        limits=AgentLimits(), clock=ManualClock(),
    )  # fmt: skip
    metrics = ProcessMetrics(traffic=TrafficCounters())
    observer = AgentObserver(agent=agent, metrics=metrics, log=NullLog())
    agent.lease_until = 1.0
    agent.running = running
    observer.record_state_changes()
    agent.clock.advance(2.0)
    observer.record_state_changes()
    observer.record_state_changes()
    return metrics.counts[LEASE_LAPSES, ""]


@then("an expired lease is counted at an agent with a running task")
def check_lapse(context):
    assert count_lease_expiries(running={(JOB, 0): Start(job_id=JOB)}) == 1


@then("no expired lease is counted at an agent without work")
def check_no_lapse(context):
    assert count_lease_expiries(running={}) == 0
