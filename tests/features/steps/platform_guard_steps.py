import math
import random

from behave import then
from hypothesis import given as each
from hypothesis import strategies

from egretcart.process.store.platform_calls import Circuit
from egretcart.process.store.platform_guard import CallGuard
from egretcart.process.store.platform_guard import PlatformLimits
from egretcart.testing.clock import ManualClock

PAUSES_S = strategies.floats(0, 2)


def new_guard(clock, **limits):
    return CallGuard(
        limits=PlatformLimits(**limits),
        clock=clock,
        source=random.Random(1),
    )


@then("no pattern of platform calls exceeds the rate limit in any time span")
def check_cap(context):
    @each(strategies.lists(strategies.sampled_from([0, 0, 0, 0.01, 0.3, 3])))
    def run(pauses):
        clock = ManualClock()
        guard = new_guard(clock, calls_per_s=5.0, burst=3.0)
        times = []
        for pause in pauses:
            clock.advance(pause)
            wait_s = guard.admit()
            if wait_s is not None:
                times.append(clock.monotonic() + wait_s)
        for first, start in enumerate(times):
            for last in range(first, len(times)):
                span_s = times[last] - start
                allowed = 3 + math.ceil(5 * span_s + 1e-6)
                assert last - first + 1 <= allowed, times

    run()


@then("a platform that does not answer gets only probes until it answers")
def check_circuit(context):
    @each(strategies.lists(PAUSES_S, min_size=1, max_size=40))
    def run(pauses):
        clock = ManualClock()
        guard = new_guard(clock, calls_per_s=1e6, burst=1e6)
        for _ in range(guard.limits.failure_threshold):
            assert guard.admit() is not None
            guard.failed()
        assert guard.circuit is Circuit.OPEN
        last_probe = clock.monotonic()
        for pause in pauses:
            clock.advance(pause)
            if guard.admit() is None:
                continue
            gap_s = clock.monotonic() - last_probe
            assert gap_s >= guard.limits.probe_backoff_s / 2, gap_s
            assert guard.admit() is None, "two probes at once"
            guard.failed()
            last_probe = clock.monotonic()
        clock.advance(guard.limits.max_probe_backoff_s)
        assert guard.admit() is not None, "no probe in time"
        guard.succeeded()
        assert guard.circuit is Circuit.CLOSED
        assert guard.admit() is not None

    run()


@then("platform retries never exceed the initial and the credited tokens")
def check_budget(context):
    @each(strategies.lists(strategies.booleans(), max_size=300))
    def run(answers):
        guard = new_guard(ManualClock(), failure_threshold=10**6)
        for number, answered in enumerate(answers, 1):
            if answered:
                guard.succeeded()
            else:
                guard.failed()
                guard.retry_after_s(1)
            credited = guard.limits.retry_tokens_per_success * answers[
                :number
            ].count(True)
            initial_tokens = guard.limits.max_retry_tokens
            assert guard.retries <= initial_tokens + credited + 1e-6

    run()
