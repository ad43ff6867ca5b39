import dataclasses
import json
import pathlib

from behave import then
from config_machine import ConfigMachine
from hypothesis import given as each
from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import run_state_machine_as_test
import msgspec
from restore_machine import RestoreMachine

from egretcart.connection.cell_types import Term
from egretcart.connection.entry_messages import AgentConfig
from egretcart.connection.leader_messages import Fence
from egretcart.connection.leader_messages import Heartbeat
from egretcart.connection.leader_messages import Start
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.agent.agent_types import BeginExchange
from egretcart.process.operators.check_command import schema_text
from egretcart.request.identity import new_job_id
from egretcart.testing.clock import ManualClock
from egretcart.version.check import parse_document
from egretcart.version.difference import find_differences
from egretcart.version.document import Configuration
from egretcart.version.document import Kind
from egretcart.version.document import Service
from egretcart.version.document import Team

SCHEMA_PAGE = (
    pathlib.Path(__file__).resolve().parents[3]
    / "docs/operators/configuration.schema.json"
)


@then("concurrent changes and failing processes match a list of versions")
def run_machine(context):
    run_state_machine_as_test(
        ConfigMachine,
        settings=settings(max_examples=150, stateful_step_count=60),
    )


@then("a loss of versions is reported, not adopted by processes, and repaired")
def run_restore_machine(context):
    run_state_machine_as_test(
        RestoreMachine,
        settings=settings(max_examples=150, stateful_step_count=40),
    )


@then("each invalid value is found with path, value and accepted values")
def check_findings(context):
    kind = {"name": "diff", "run_time_ms": 90, "attempt_limit_ms": 50}
    cases = [
        ({"services": [{"name": "A"}]}, "$.services[0].name", '"A"'),
        ({"services": [{"name": "a", "cels": 1}]}, "$.services[0]", "cels"),
        (
            {"services": [{"name": "a"}, {"name": "a"}]},
            "$.services[1]",
            '"a"',
        ),
        (
            {"services": [{"name": "a", "kinds": [kind]}]},
            "$.services[0].kinds[0].run_time_ms",
            "90.0",
        ),
        ({"teams": [{"name": "a", "slots": 0}]}, "$.teams[0].slots", "0"),
        ({"drained": ["x"]}, "$.drained[0]", '"x"'),
    ]
    for document, path, value in cases:
        findings = parse_document(json.dumps(document).encode()).unwrap_err()
        line = findings[0].to_line()
        assert line.startswith(f"{path}: "), line
        assert value in line, line
        assert findings[0].accepted


def patch(value, steps, after):
    """Return a value with the part at a path replaced; None removes it."""
    if not steps:
        return after
    step, *rest = steps
    if isinstance(value, list):
        value = {item["name"]: item for item in value}
        changed = patch(value, steps, after)
        return [changed[name] for name in sorted(changed)]
    changed = {**value, step: patch(value.get(step), rest, after)}
    return {key: part for key, part in changed.items() if part is not None}


def in_order(values):
    """Sort the named parts of a document in place and return it."""
    for part in ("services", "teams"):
        values[part] = sorted(values[part], key=lambda item: item["name"])
    for service in values["services"]:
        service["kinds"] = sorted(service["kinds"], key=lambda k: k["name"])
    return values


@then("applying the differences of any two documents to one gives the other")
def check_differences(context):
    names = strategies.sampled_from(["a", "b", "c"])

    def named(part):
        return strategies.lists(
            part, max_size=3, unique_by=lambda item: item.name
        ).map(tuple)

    kinds = strategies.builds(Kind, name=names, hedge=strategies.booleans())
    services = strategies.builds(
        Service,
        name=names,
        cells=strategies.integers(1, 3),
        kinds=named(kinds),
    )
    teams = strategies.builds(
        Team, name=names, slots=strategies.integers(1, 3)
    )
    documents = strategies.builds(
        Configuration, services=named(services), teams=named(teams)
    )

    @each(documents, documents)
    def run(one, other):
        patched = in_order(msgspec.to_builtins(one))
        for difference in find_differences(one, other):
            path = difference.path.replace("[", ".").replace("]", "")
            patched = patch(patched, path.split("."), difference.after)
        wanted = in_order(msgspec.to_builtins(other))
        assert in_order(patched) == wanted, (patched, wanted)

    run()


@then("an agent with a configuration that drains it refuses new starts")
def check_drained_agent(context):
    clock = ManualClock()
    agent = Agent(
        identity=AgentIdentity(
            agent_id="a",
            incarnation=1,
            service="s",
            failure_domain="d",
            slots=1,
            connections=1,
        ),
        limits=AgentLimits(),
        clock=clock,
    )
    term = Term(1, 1)
    agent.receive("leader", Fence(term=term))
    agent.receive("leader", Heartbeat(term=term, proven_stamp_us=1))

    def accepts_start():
        job_id = dataclasses.replace(new_job_id()).value
        start = Start(term=term, job_id=job_id, time_left_ms=1000)
        effects = agent.receive("leader", start)
        exchanges = [e for e in effects if isinstance(e, BeginExchange)]
        if not exchanges:
            assert effects[0].message.verdict == "not_run"
        agent.running.clear()
        return bool(exchanges)

    clock.epoch_ms = new_job_id().created_ms
    assert accepts_start()
    agent.configure(AgentConfig(version=2, drained=True))
    assert not accepts_start()
    agent.configure(AgentConfig(version=1, drained=False))
    assert not accepts_start()
    agent.configure(AgentConfig(version=3, drained=False))
    assert accepts_start()


@then("the schema page equals the schema generated from the types")
def check_schema(context):
    assert SCHEMA_PAGE.read_text() == schema_text() + "\n"
