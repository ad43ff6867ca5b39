from behave import given
from behave import then
from behave import when
from configuration_world import answer_through_every_entry
from configuration_world import ConfiguredDeployment
from processes import request


@given("a configured deployment of {entries:d} entries and {agents:d} agents")
def configured_deployment(context, entries, agents):
    context.deployment = ConfiguredDeployment(entries, agents)
    context.add_cleanup(context.deployment.close)


def starts_at(deployment, agent_id):
    names = [agent.name for agent in deployment.agents]
    backend = deployment.backends[names.index(agent_id)]
    report = request(backend.ready["port"], "GET", "/starts")[2]
    return len(report["starts"])


@when("an agent is drained by the command")
def drain(context):
    deployment = context.deployment
    status, output = deployment.command("drain", "agent-1", "--yes")
    assert status == 0, output
    assert "accepted: version 2" in output, output


@then("every process names the same version")
def check_versions(context):
    context.deployment.wait_for_version(2)
    status, output = context.deployment.command("status")
    assert status == 0, output
    assert output.count("version 2") >= 5, output


@then("jobs start no tasks on the drained agent")
def check_drained(context):
    deployment = context.deployment
    before = starts_at(deployment, "agent-1")
    answer_through_every_entry(deployment)
    assert starts_at(deployment, "agent-1") == before


@then("jobs start tasks on it again once the drain is undone")
def check_undrained(context):
    deployment = context.deployment
    entry = deployment.entries[0]
    command = ("drain", "agent-1", "--undo", "--yes")
    status, output = deployment.command(*command, entry=entry)
    assert status == 0, output
    deployment.wait_for_version(3)
    before = starts_at(deployment, "agent-1")
    answer_through_every_entry(deployment)
    assert starts_at(deployment, "agent-1") > before
