import json
import pathlib
import shutil
import signal

from behave import then
from behave import when
from processes import eventually
from processes import read_counters
from processes import request


def platform_data_path(deployment):
    return pathlib.Path(deployment.folder.name) / "platform-data.json"


def count_lines(entry, change):
    """Return the number of log lines that report a state change."""
    message_type = f"egretcart:{change}"
    lines = entry.log_path.read_text().splitlines()
    return sum(json.loads(x)["message_type"] == message_type for x in lines)


def versions_behind(entry):
    counters = read_counters(entry.ready["http_port"])
    return counters.total("egretcart_platform_versions_behind")


def active_configuration(entry):
    path = "/v1/configuration/in-force"
    return request(entry.ready["http_port"], "GET", path)[2]


@when("the platform is restored from a backup that is 2 versions old")
def restore(context):
    deployment = context.deployment
    backup = platform_data_path(deployment).with_suffix(".backup")
    for limit in (90, 91, 92):
        status, output = deployment.apply_file(max_tasks_per_job=limit)
        assert status == 0, output
        if limit == 90:
            shutil.copy(platform_data_path(deployment), backup)
    deployment.wait_for_version(4)
    deployment.platform.kill()
    shutil.copy(backup, platform_data_path(deployment))
    deployment.restart_platform()


@then("each entry reports the loss once and serves the newest version")
def check_loss(context):
    deployment = context.deployment
    for entry in deployment.entries:
        eventually(lambda entry=entry: versions_behind(entry) == 2)
        eventually(lambda entry=entry: count_lines(entry, "store_behind"))
        assert count_lines(entry, "store_behind") == 1
        assert count_lines(entry, "store_repaired") == 0
        status, answer = deployment.submit(entry, [{"payload": {"echo": 1}}])
        assert status == 200, answer
    assert set(deployment.versions().values()) == {4}
    status, output = deployment.command("show", "--in-force")
    assert status == 0, output
    assert json.loads(output) == active_configuration(deployment.entries[0])
    assert json.loads(output)["max_tasks_per_job"] == 92


@then("an apply and a drain through the store or an entry are refused")
def check_refused(context):
    deployment = context.deployment
    reason = "the store has version 2, but processes hold version 4"
    for entry in (None, deployment.entries[0]):
        status, output = deployment.apply_file(
            max_tasks_per_job=93, entry=entry
        )
        assert status == 1, output
        assert reason in output, output
        assert "egretcart repair" in output, output
        status, output = deployment.command(
            "drain", "agent-0", "--yes", entry=entry
        )
        assert status == 1, output
        assert reason in output, output
    change = {
        "change_id": "c",
        "base": 2,
        "document": active_configuration(deployment.entries[0]),
        "who": "x",
        "why": "y",
        "when": "z",
    }
    answer = request(
        deployment.entries[0].ready["http_port"],
        "POST",
        "/v1/configuration",
        json.dumps(change),
    )[2]
    assert answer == {"type": "StoreBehind", "version": 2, "held": 4}, answer


@then("the status command fails and reports the loss")
def check_status(context):
    status, output = context.deployment.command("status")
    assert status == 1, output
    assert "THE STORE HAS LOST VERSIONS: it has 2" in output, output
    assert "LAGS" not in output, output


@then("a repair is refused while an entry does not answer")
def check_unanswered(context):
    deployment = context.deployment
    frozen = deployment.entries[1]
    frozen.signal(signal.SIGSTOP)
    try:
        status, output = deployment.command(
            "repair", "--reason=test", "--yes", entry=deployment.entries[0]
        )
    finally:
        frozen.signal(signal.SIGCONT)
    assert status == 1, output
    assert "no answer" in output, output


@when("the store is repaired with the entries' active configuration")
def repair(context):
    deployment = context.deployment
    context.former = active_configuration(deployment.entries[0])

    def repaired():
        status, output = deployment.command(
            "repair", "--reason=restored", "--yes"
        )
        return status == 0 and "accepted: version 5" in output

    eventually(repaired)


@then("every process has the document with a version above the lost ones")
def check_repaired(context):
    deployment = context.deployment
    deployment.wait_for_version(5)
    for entry in deployment.entries:
        assert active_configuration(entry) == {**context.former, "version": 5}
    status, output = deployment.command("repair", "--reason=test", "--yes")
    assert status == 0, output
    assert "nothing to repair: the store has version 5" in output, output


@then("each entry reports the repair once")
def check_repair_reported(context):
    for entry in context.deployment.entries:
        eventually(lambda entry=entry: versions_behind(entry) == 0)
        eventually(lambda entry=entry: count_lines(entry, "store_repaired"))
        assert count_lines(entry, "store_behind") == 1
        assert count_lines(entry, "store_repaired") == 1


@then("the history names the lost versions and accepts the next change")
def check_history(context):
    deployment = context.deployment
    status, output = deployment.apply_file(max_tasks_per_job=94)
    assert status == 0, output
    assert "accepted: version 6" in output, output
    deployment.wait_for_version(6)
    status, output = deployment.command("history")
    assert status == 0, output
    assert "the store lost versions 3 to 4; version 5 repaired" in output
    # The deployment's version 1 was written without an audit entry.
    assert "before version 2 have been pruned" in output, output
    assert output.count("pruned") == 1, output
    status, output = deployment.command("status")
    assert status == 0, output
