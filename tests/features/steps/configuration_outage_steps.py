import json
import signal

from behave import then
from behave import when
from configuration_world import answer_through_every_entry
from processes import eventually
from processes import request

from egretcart.request.identity import new_job_id


@when("the platform is killed and another entry is started")
def kill_platform(context):
    deployment = context.deployment
    status, output = deployment.apply_file(max_tasks_per_job=99)
    assert status == 0, output
    deployment.wait_for_version(2)
    deployment.platform.kill()
    # One seed is enough: the new entry discovers the others through it.
    seeds = deployment.peer_seeds()[:1]
    deployment.peer_seeds = lambda: seeds
    deployment.entries.append(deployment.start_entry("entry-late"))


@then("the new entry serves the active version without the platform")
def check_late_entry(context):
    deployment = context.deployment
    deployment.wait_for_version(2)
    late = deployment.entries[-1]
    eventually(lambda: len(deployment.status(late)["peers"]) == 2)
    eventually(lambda: len(deployment.status(late)["agents"]) == 3)
    answer_through_every_entry(deployment)


@then("an apply ends as not accepted with nothing written")
def check_apply_without_platform(context):
    deployment = context.deployment
    late = deployment.entries[-1]
    status, output = deployment.apply_file(max_tasks_per_job=98, entry=late)
    assert status == 1, output
    assert "not accepted, nothing was written" in output, output


@then("after the platform's return the next version is active everywhere")
def check_return(context):
    deployment = context.deployment
    deployment.restart_platform()
    status, output = deployment.apply_file(max_tasks_per_job=97)
    assert status == 0, output
    deployment.wait_for_version(3)


@when("the platform is frozen during an apply")
def freeze_platform(context):
    deployment = context.deployment
    context.change_id = str(new_job_id())
    context.path = deployment.write_file(max_tasks_per_job=96)
    deployment.platform.signal(signal.SIGSTOP)
    options = ("--reason", "test", "--yes", "--change", context.change_id)
    status, output = deployment.command("apply", context.path, *options)
    assert status == 3, output
    assert f"--base 1 --change {context.change_id}" in output, output


@then("jobs are answered through every entry")
def check_jobs(context):
    answer_through_every_entry(context.deployment)


@then("the change is resolved by its id once the platform resumes")
def resolve_change(context):
    deployment = context.deployment
    deployment.platform.signal(signal.SIGCONT)
    options = ("--reason", "test", "--yes", "--change", context.change_id)
    status, output = deployment.command("apply", context.path, *options)
    assert status == 0, output
    assert "accepted: version 2" in output, output
    deployment.wait_for_version(2)


@then("a slow platform still accepts a change")
def check_slow(context):
    deployment = context.deployment
    faults = json.dumps({"delay_ms": 400})
    port = deployment.platform.ready["port"]
    request(port, "POST", "/control/faults", faults)
    status, output = deployment.apply_file(max_tasks_per_job=95)
    assert status == 0, output
    deployment.wait_for_version(3)
