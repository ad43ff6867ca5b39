import contextlib
import pathlib
import random
import re

from behave import then
from behave import when
from hypothesis import given as each
from hypothesis import strategies
from platform_world import running
from platform_world import switch_faults
import trio

from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.traffic import TrafficCounters
from egretcart.load.counters import parse_counters
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.entry.entry import Entry
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.process.entry.entry_observer import EntryObserver
from egretcart.process.logs import NullLog
from egretcart.process.metrics import ProcessMetrics
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import PlatformRefusal
from egretcart.process.store.platform import prefix_range
from egretcart.process.store.platform import Put
from egretcart.process.store.platform_calls import CallKind
from egretcart.process.store.platform_calls import CallOutcome
from egretcart.process.store.platform_calls import Circuit
from egretcart.process.store.platform_calls import RejectionCause
from egretcart.process.store.platform_guard import CallGuard
from egretcart.process.store.platform_guard import PlatformLimits
from egretcart.process.store.platform_metrics import PlatformMetrics
from egretcart.process.transitions import StateChangeKind
from egretcart.testing.clock import ManualClock
from egretcart.version.document import Configuration

ROOT = pathlib.Path(__file__).resolve().parents[3]
ALARMS_PAGE = ROOT / "docs/operators/alarms.md"
METRIC_NAME = re.compile(r"egretcart_[a-z_]+")
OUTAGES = 2


class RecordingLog:
    """An `EventLog` that records the kinds of the state changes."""

    def __init__(self):
        self.kinds = []

    def record(self, process_id, change):
        self.kinds.append(change.kind)


def new_observer():
    return PlatformMetrics(
        process_id="entry-a",
        metrics=ProcessMetrics(traffic=TrafficCounters()),
        log=RecordingLog(),
    )


def counters_of(observer):
    return parse_counters(observer.metrics.render())


async def call_all_kinds(platform):
    """Make one call of each kind.

    The watch is cancelled after its first change, and the last transaction
    is refused because its lease is revoked.
    """
    await platform.list_range(prefix_range("a/"))
    lease = await platform.grant_lease(60)
    await platform.keep_alive(lease)
    await platform.transact({}, (Put(key="a/1", data=b"", lease=lease),))
    seen = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            platform.watch, prefix_range("a/"), 1, lambda change: seen.set()
        )
        await seen.wait()
        nursery.cancel_scope.cancel()
    await platform.revoke_lease(lease)
    with contextlib.suppress(PlatformRefusal):
        put = Put(key="a/1", data=b"", lease=lease)
        await platform.transact({}, (put,))


async def answered(platform):
    while True:
        with contextlib.suppress(PlatformError):
            await platform.get("k")
            return
        await trio.sleep(0.01)


@when("calls of every kind are made through two outages and a rate limit")
def make_calls(context):
    context.observer = new_observer()

    async def run():
        limits = {"probe_backoff_s": 0.02, "call_timeout_s": 0.2}
        async with running(observer=context.observer, **limits) as (
            standin,
            platform,
        ):
            await call_all_kinds(platform)
            for _ in range(OUTAGES):
                await switch_faults(standin, down=True)
                for _ in range(6):
                    with contextlib.suppress(PlatformError):
                        await platform.get("k")
                await switch_faults(standin)
                await answered(platform)
            await switch_faults(standin, calls_per_s=0)
            with contextlib.suppress(PlatformError):
                await platform.transact({"k": 0}, (Put(key="k", data=b""),))
            await switch_faults(standin)
            await answered(platform)
            context.served = dict(standin.calls_by_path)

    trio.run(run)
    context.counters = counters_of(context.observer)


@then("the metrics count each call that the stand-in served, by its kind")
def check_calls(context):
    counted = context.counters.by_label("egretcart_platform_calls")
    served = {k.value: context.served.get(k.path, 0) for k in CallKind}
    assert counted == served, (counted, served)
    assert all(served.values()), served


@then("each call is counted under one outcome")
def check_outcomes(context):
    counters = context.counters
    answers = counters.total("egretcart_platform_call_time_seconds_count")
    failures = counters.total("egretcart_platform_failures")
    assert counters.total("egretcart_platform_calls") == answers + failures
    assert failures >= OUTAGES
    assert counters.by_label("egretcart_platform_refusals") == {
        "transaction": 1
    }
    throttled = counters.by_label("egretcart_platform_throttled")
    assert throttled["transaction"] >= 1, throttled


@then("each outage is logged once at its start and once at its end")
def check_log(context):
    expected = [
        StateChangeKind.STORE_LOST,
        StateChangeKind.STORE_BACK,
    ] * OUTAGES
    found = context.observer.log.kinds
    assert found[: 2 * OUTAGES] == expected, found
    changes = context.counters.by_label("egretcart_platform_circuit_changes")
    assert changes["closed"] >= OUTAGES, changes
    assert changes["open"] >= OUTAGES, changes
    assert context.counters.total("egretcart_platform_circuit") == 0
    held = context.counters.by_label("egretcart_platform_held_back")
    assert held.get("circuit", 0) >= 1, held


@then("loss and return alternate, and retries and rejected calls are counted")
def check_sequences(context):
    events = strategies.sampled_from(["call", "ok", "fail", "retry"])

    @each(
        strategies.lists(
            strategies.tuples(events, strategies.floats(0, 2)), max_size=60
        )
    )
    def run(steps):
        clock = ManualClock()
        observer = new_observer()
        guard = CallGuard(
            limits=PlatformLimits(burst=3.0, calls_per_s=1.0),
            clock=clock,
            source=random.Random(1),
            observer=observer,
        )
        for event, pause_s in steps:
            clock.advance(pause_s)
            if event == "call":
                guard.admit()
            elif event == "ok":
                guard.succeeded()
            elif event == "fail":
                guard.failed()
            else:
                guard.retry_after_s(1)
            assert observer.circuit is guard.circuit
            assert observer.is_store_unavailable is (
                guard.circuit is not Circuit.CLOSED
            )
        pair = [StateChangeKind.STORE_LOST, StateChangeKind.STORE_BACK]
        found = observer.log.kinds
        assert found == (pair * len(found))[: len(found)], found
        counters = counters_of(observer)
        assert counters.total("egretcart_platform_retries") == guard.retries
        held = counters.total("egretcart_platform_held_back")
        assert held == guard.refused

    run()


@then("every metric that the alarms page names is served")
def check_alarms_page(context):
    observer = new_observer()
    for kind in CallKind:
        for outcome in CallOutcome:
            observer.attempt_ended(kind, outcome, 0.001)
    for cause in RejectionCause:
        observer.call_rejected(cause)
    observer.watch_interrupted()
    observer.retry_started()
    observer.circuit_changed(Circuit.CLOSED, Circuit.OPEN)
    entry = Entry(
        address=EntryAddress(entry_id="entry-a"),
        incarnation=1,
        configuration=Configuration(),
        limits=EntryLimits(),
        leader_limits=LeaderLimits(),
        clock=ManualClock(),
    )
    EntryObserver(entry=entry, metrics=observer.metrics, log=NullLog())
    served = set(METRIC_NAME.findall(observer.metrics.render().decode()))
    named = set(METRIC_NAME.findall(ALARMS_PAGE.read_text()))
    assert len(named) >= 5, named
    assert named <= served, named - served
