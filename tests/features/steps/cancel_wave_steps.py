"""Steps that cancel jobs in waves, in separate processes under load."""

from concurrent.futures import ThreadPoolExecutor
import itertools
import time

from behave import then
from behave import when
from callers import Callers
from fault_steps import figure
from processes import eventually
from processes import request

CANCELLED = "Cancelled"
WAVE_INTERVAL_S = 0.25
CANCEL_TIMEOUT_S = 20


def cancel(context, job_ids):
    """Cancel jobs in parallel, through the entries in turn."""
    deployment = context.deployment
    ports = itertools.cycle(
        e.ready["http_port"] for e in deployment.running_entries()
    )
    path = f"/v1/services/{deployment.service}/jobs"

    def delete(job_id, port):
        request(port, "DELETE", f"{path}/{job_id}", limit_s=CANCEL_TIMEOUT_S)

    with ThreadPoolExecutor() as pool:
        for done in [
            pool.submit(delete, job_id, port)
            for job_id, port in zip(job_ids, ports, strict=False)
        ]:
            done.result()


@when("every other job is cancelled in {count:d} waves")
def cancel_in_waves(context, count):
    callers = context.callers
    for _ in range(count):
        cancel(context, sorted(callers.open_ids)[::2])
        time.sleep(WAVE_INTERVAL_S)


@then("some jobs were cancelled and some were not")
def check_some_cancelled(context):
    outcomes = context.callers.outcomes
    cancelled = [o for o in outcomes if o.answer.get("title") == CANCELLED]
    whole = [o for o in outcomes if o.is_whole]
    figure(f"{len(cancelled)} jobs cancelled, {len(whole)} whole")
    assert cancelled
    assert whole


@when("jobs of {tasks:d} tasks that take {ms:d} ms use every slot")
def use_every_slot(context, tasks, ms):
    deployment = context.deployment
    context.faulted_at = []
    context.callers = Callers(
        deployment,
        deployment.entries,
        jobs=len(deployment.backends),
        tasks=tasks,
        run_ms=ms,
        resubmits=False,
    )
    expected = tasks * len(deployment.backends)
    eventually(lambda: len(deployment.recorded_starts()) >= expected, 10)


@when("all of them are cancelled")
def cancel_all(context):
    cancel(context, sorted(context.callers.open_ids))
    context.callers.finish()


@then("each of them was cancelled")
def check_all_cancelled(context):
    outcomes = context.callers.outcomes
    assert len(outcomes) == context.callers.jobs
    for outcome in outcomes:
        assert outcome.answer["title"] == CANCELLED, outcome
        assert outcome.answer["verdict"] == "may_have_run", outcome


@then("a job of {tasks:d} tasks gets a complete answer within {ms:d} ms")
def check_slots_free(context, tasks, ms):
    deployment = context.deployment
    payloads = [{"payload": {"run_ms": 5}}] * tasks
    status, answer = deployment.submit(
        deployment.entries[0], payloads, deadline_ms=ms
    )
    assert status == 200, answer
