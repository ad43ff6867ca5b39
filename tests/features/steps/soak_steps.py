import time

from behave import then
from behave import when
from soak_world import Soak

from egretcart.connection.http_client import ExchangeError
from egretcart.request.verdict import Verdict

JOB_ID = "0" * 16


class StoppedSoak(Soak):
    """What the checks need of a soak in which an entry has stopped."""

    def __init__(self, lines):
        self.began = time.monotonic()
        self.stopped = {"entry-1": self.began}
        self.last_fault_at = self.began - 60.0
        self.violations, self.event_log = [], []
        self.lines = lambda name: lines


@when(
    "a deployment of processes runs {seconds:d} seconds of faults with seed "
    "{seed:d}"
)
def run_soak(context, seconds, seed):
    context.soak = Soak(context, seed)
    context.soak.run(seconds)


@then("none of its promises was broken")
def check_soak(context):
    soak = context.soak
    assert not soak.violations, "\n".join(soak.event_log + soak.violations)


@when(
    "an entry that stops ends a connection {delay_ms:d} ms after it was "
    "opened and logs {lines} of the job"
)
def end_connection(context, delay_ms, lines):
    logged = [f'"job_id": "{JOB_ID}"'] if lines == "a line" else []
    context.soak = StoppedSoak(logged)
    sent_at = context.soak.began + delay_ms / 1000
    error = ExchangeError("the exchange broke: ", Verdict.MAY_HAVE_RUN)
    context.soak._check_broken_exchange(
        "entry-1", JOB_ID, context.soak.began, [sent_at], error
    )


@then("that is {verdict}")
def check_verdict(context, verdict):
    violations = context.soak.violations
    assert len(violations) == (verdict == "a violation"), violations
