import http.client
import json
import math
import pathlib
import random
import re
import socket
import sys
import tempfile
import typing

from bad_values import bad_jobs
from bad_values import bad_reports
from bad_values import NESTED
from bad_values import REPORT
from bad_values import STEP
from bad_values import unbounded_frame
from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
from platform_deployment import desired_state
from platform_deployment import ROOT
from raised_errors import raised_error
from settings_documents import SETTINGS
import trio

from egretcart.connection import codec
from egretcart.connection.frames import HEADER_BYTES
from egretcart.connection.http_server import HttpResponse
from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.backend.backend import BackendCallError
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import PollRequest
from egretcart.direct.backend.backend_report_store import decode_stored_report
from egretcart.direct.connection import messages
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.offer_messages import TasksWaiting
from egretcart.direct.connection.wire import DIRECT_PROTOCOL
from egretcart.direct.connection.wire import find_violation
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_links import EntryLinks
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.pending_claims import PendingClaims
from egretcart.direct.log.decisions import PeerChanged
from egretcart.direct.policy.capacity_offers import CapacityOffers
from egretcart.direct.policy.capacity_offers import OfferLimits
from egretcart.direct.process.settings import DirectEntrySettings
from egretcart.direct.process.settings import load_direct_settings
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.request.ordering import TaskOrder
from egretcart.direct.version.configuration import decode_routing
from egretcart.direct.version.configuration import encode_routing
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.process.clock import SystemClock
from egretcart.process.store.registration import decode_address
from egretcart.testing.direct_world import CallerRequest
from egretcart.testing.direct_world import DEFAULT_ROUTE
from egretcart.testing.direct_world import SERVICE
from egretcart.testing.direct_world import SimulatedDeployment
from egretcart.testing.fake_backend import TaskSize
from egretcart.version.change import ProposedChange
from egretcart.version.check import decode_checked

sys.path.insert(0, str(ROOT / "platform"))

from adapter.client_handlers import parse_wait_limit_s
from adapter.configuration import decode_configuration
from adapter.jobs import decode_job
from adapter.runner import decode_report
from adapter.runner import Runner

ANY_INTEGER = st.integers(-(10**30), 10**30) | st.integers(-3, 3)
SIZE = TaskSize(room=Room(1600, 64), work_ms=100)
FURTHEST = {2**31 - 1, -(2**31), 2**63 - 1, -(2**63)}
NO_BOUNDS = msgspec.Meta()
ANSWER_S = 3.0
ROUTE = {
    "name": "route",
    "host": "host",
    "prefix": "/jobs/",
    "service": SERVICE,
    "stretch": 1.6,
    "sloMs": 60,
    "attempts": 4,
}


class EncodedDeployment(SimulatedDeployment):
    """A simulated deployment whose messages are encoded and decoded."""

    def _send_to_agent(self, name, agent_id, message):
        super()._send_to_agent(name, agent_id, transmitted(message))

    def _send_to_entry(self, name, entry_id, message):
        super()._send_to_entry(name, entry_id, transmitted(message))

    def _send_to_peer(self, name, entry_id, message):
        super()._send_to_peer(name, entry_id, transmitted(message))


def transmitted(message):
    """Return a message as its receiver decodes it."""
    frame = DIRECT_PROTOCOL.codec.encode([message])
    received = DIRECT_PROTOCOL.codec.decode(frame[HEADER_BYTES:])[0]
    assert find_violation(received) is None, received
    return received


def integer_messages(types):
    """Return messages whose integers have any size."""
    return st.one_of(
        st.builds(
            message_type,
            **{
                name: ANY_INTEGER
                for name, hint in typing.get_type_hints(message_type).items()
                if hint is int
            },
        )
        for message_type in types
    )


def check_nearest(used_codec, message):
    """Check that each integer arrives as the nearest one that fits."""
    frame = used_codec.encode([message])
    received = used_codec.decode(frame[HEADER_BYTES:])[0]
    hints = typing.get_type_hints(type(message), include_extras=True)
    for field in msgspec.structs.fields(message):
        sent = getattr(message, field.name)
        got = getattr(received, field.name)
        if sent != got:
            hint = hints[field.name]
            (bounds,) = getattr(hint, "__metadata__", (NO_BOUNDS,))
            allowed = FURTHEST | {bounds.ge, bounds.le}
            assert got in allowed, (field.name, sent, got)
            is_upper = got in {bounds.le, 2**31 - 1, 2**63 - 1}
            assert (sent > got) == is_upper, (field.name, sent, got)


@then("a message with integers of any size is sent with the nearest ones")
def check_integers(context):
    @settings(max_examples=200)
    @for_all(integer_messages(typing.get_args(messages.Message)))
    def check_direct(message):
        check_nearest(DIRECT_PROTOCOL.codec, message)

    @settings(max_examples=200)
    @for_all(integer_messages(codec.MESSAGE_TYPES))
    def check_own(message):
        check_nearest(codec.CODEC, message)

    check_direct()
    check_own()


@given("a simulated deployment whose messages are encoded")
def start_encoded(context):
    context.world = EncodedDeployment(entries=2, agents=3, seed=1)
    context.world.run(2.0)


def submit_body(world, body):
    """Submit a job's body; return its request, or why it is no job."""
    job_id = f"{len(world.requests):016x}"
    try:
        job = decode_job(job_id, body)
    except msgspec.DecodeError as error:
        return str(error)
    world.task_behaviours[job_id] = SIZE
    request = CallerRequest(
        job=job,
        route=world.configuration.routes[0],
        sent_at=world.now,
        wait_limit_s=ANSWER_S,
    )
    world.requests.append(request)
    world.submit_to_live_entry(request)
    world.schedule(
        ANSWER_S, lambda: request.answer or world.disconnect_caller(request)
    )
    return request


def submit_steps(world, steps):
    document = {"spec": "s", "steps": steps, "bestEffort": True}
    return submit_body(world, json.dumps(document).encode())


@when("a caller submits a job with {values}")
def submit_values(context, values):
    fields = values[1:-1]
    step = json.dumps(STEP)[1:-1]
    body = f'{{"spec":"s","steps":[{{{step},{fields}}}],"bestEffort":true}}'
    context.request = submit_body(context.world, body.encode())


@when("a caller submits a job of {steps:d} steps with {count:d} tasks each")
def submit_many(context, steps, count):
    step = {**STEP, "count": count}
    context.request = submit_steps(context.world, [step] * steps)


@then("the job is completed")
def check_completed(context):
    context.world.run(ANSWER_S)
    answer = context.request.answer
    assert answer is not None, "no answer"
    assert answer.state is JobState.COMPLETED, answer
    assert not context.world.violations, context.world.violations


@then("the job is refused with a reason that names {field}")
def check_refused_job(context, field):
    reason = context.request
    if not isinstance(reason, str):
        assert reason.answer.invalid, reason.answer
        reason = reason.answer.cause
    assert field in reason, reason


ANY_STEP = st.fixed_dictionaries(
    {"count": st.integers(1, 3)},
    optional={
        name: st.integers(0, 2000) | ANY_INTEGER
        for name in ("cpu", "memMb", "gpu", "antiAffinity")
    }
    | {
        "estMs": st.floats(allow_nan=False, allow_infinity=False),
        "requires": st.sampled_from(["", "x" * 300]),
        "dataRack": st.text(max_size=3),
        "after": st.lists(st.integers(-1, 2), max_size=2),
    },
)


@then("no job that Hypothesis makes up ends a process")
def check_any_jobs(context):
    world = context.world

    @settings(max_examples=40)
    @for_all(st.lists(ANY_STEP, min_size=1, max_size=3))
    def check(steps):
        request = submit_steps(world, steps)
        world.run(0.5)
        assert isinstance(request, str) or request.submission_count == 1
        assert not world.violations, world.violations

    check()


def decode_nested_change(data):
    return decode_checked(data, ProposedChange).unwrap_err()


def decode_nested_settings(data):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        path.write_bytes(data)
        return load_direct_settings(path, DirectEntrySettings).unwrap_err()


# Decoders that raise an error, or return what is wrong.
DECODERS = {
    "a job": lambda data: decode_job("0" * 16, data),
    "a report": lambda data: decode_report("i-1", data),
    "a stored report": decode_stored_report,
    "a desired state": decode_configuration,
    "settings": decode_nested_settings,
    "an operator's change": decode_nested_change,
    "a registered address": decode_address,
}


@then("a document nested too deeply is refused as {kind}")
def check_nested(context, kind):
    # A wrong value before it makes a finding describe the whole document.
    for data in (NESTED, b'{"services":7,"x":' + NESTED + b"}"):
        try:
            found = DECODERS[kind](data)
        except msgspec.DecodeError as error:
            found = error
        assert found is None or str(found), found


@then("each of these documents is refused with a finding")
def check_cut_off(context):
    for row in context.table:
        finding = decode_checked(row["document"].encode(), ProposedChange)
        assert finding.unwrap_err().accepted == "JSON", finding


@then(
    "a caller that waits for {digits:d} digits of {digit} ms waits "
    "{wait_s:g} s"
)
def check_wait_limit(context, digits, digit, wait_s):
    assert parse_wait_limit_s(digits * digit) == wait_s


@then('a report of "{instance}" with {fields} is refused')
@then('a report of "" with {fields} is refused')
def check_impossible_report(context, fields, instance=""):
    body = json.dumps(REPORT)[:-1] + "," + fields[1:]
    data = body.replace(",}", "}").encode()
    assert str(raised_error(ValueError, decode_report, instance, data))


@then("a poll that is answered {listing} has no usable answer")
def check_listing(context, listing):
    async def answer(request):
        return HttpResponse(body=listing.encode())

    port = context.stand_ins.serve(answer)
    client = Runner(
        host="127.0.0.1", port=port, start_timeout_s=0.3, stop_timeout_s=0.3
    )
    request = PollRequest(
        lifetime=BackendIncarnation("i-1", 1),
        fencing_token=1,
        acknowledged=0,
        deadline_ms=None,
        wait_ms=0,
    )

    async def poll():
        return await client.poll(request, time_limit_s=0.5)

    error = raised_error(BackendCallError, context.stand_ins.call, poll)
    assert "no listing" in str(error), error


@when("a backend server refuses {count:d} polls for their fencing token")
def refuse_tokens(context, count):
    agent = context.agent = context.world.agents["agent-0"]
    for _ in range(count):
        request = agent.poll_request(context.world.now, wait_ms=0)
        agent.poll_refused(request, 1, context.world.now)


@then("the agent's next requests can be sent")
def check_requests(context):
    request = context.agent.poll_request(context.world.now, wait_ms=0)
    assert json.loads(msgspec.json.encode(request))["fencing_token"] < 2**53


@when("operators apply a desired state with {fields}")
def apply_state(context, fields):
    route = json.dumps(ROUTE)[:-1] + "," + fields[1:]
    data = f'{{"version":2,"routes":[{route}]}}'
    world = context.world
    # Other entries get it as it is encoded for them.
    world.configuration = decode_routing(
        encode_routing(decode_configuration(data.encode()))
    )
    for entry in world.entries.values():
        entry.configure(world.configuration, "store")


@then("no desired state with {fields} is accepted")
def check_state(context, fields):
    data = f'{{"version":2,"routes":[],{fields[1:]}'
    assert str(raised_error(ValueError, decode_configuration, data.encode()))


@then(
    "another entry's configuration with a priority of {priority:d} is refused"
)
def check_peer_configuration(context, priority):
    route = msgspec.structs.replace(DEFAULT_ROUTE, priority=priority)
    data = encode_routing(RoutingConfiguration(version=1, routes=(route,)))
    assert "priority" in str(raised_error(ValueError, decode_routing, data))


@when("an entry has left the rotation and objectives lose their slack")
def lose_slack(context):
    world = context.world
    rotation = world.entries["entry-0"].rotation
    rotation.is_out = True
    rotation.may_change_at = math.inf
    configuration = RoutingConfiguration(
        version=2,
        routes=(msgspec.structs.replace(DEFAULT_ROUTE, slack_ms=0.0),),
    )
    for entry in world.entries.values():
        entry.configure(configuration, "store")


@then("all entries know each other's lateness after {seconds:g} s")
def check_lateness(context, seconds):
    context.world.run(seconds)
    for entry in context.world.entries.values():
        assert entry.rotation.others_s, entry.entry_id


class ListedLog:
    def __init__(self):
        self.decisions = []

    def write(self, decision):
        self.decisions.append(decision)


@given("a link to an entry")
def make_link(context):
    context.log = ListedLog()
    context.links = EntryLinks(
        entry=DirectEntry(
            entry_id="entry-1",
            limits=DirectEntryLimits(),
            log=context.log,
            source=random.Random(1),
        ),
        clock=SystemClock(),
        log=context.log,
        traffic=TrafficCounters(),
        address=PeerAddress(host="127.0.0.1", port=1),
        incarnation=1,
        on_answer=print,
        on_agent_message=print,
        on_configuration=print,
    )


@when("its peer sends {message}")
def send_message(context, message):
    names = vars(messages) | {"TasksWaiting": TasksWaiting}
    frame = unbounded_frame(eval(message, names))

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        async with await trio.open_tcp_stream("127.0.0.1", port) as peer:
            stream = await listeners[0].accept()
            await peer.send_all(frame)
            with trio.fail_after(5):
                await context.links.serve_accepted(stream)

    trio.run(main)


@then("the link ends and the entry logs {cause}")
def check_logged(context, cause):
    (line,) = [
        decision
        for decision in context.log.decisions
        if isinstance(decision, PeerChanged)
    ]
    assert line.state == "invalid message", line
    assert re.search(f"{cause} (is|has) ", line.cause), line


@then("the number after {count:d} offers is 1")
def check_offers(context, count):
    offers = CapacityOffers(limits=OfferLimits())
    offers.last_number = count
    order = TaskOrder(
        priority=0, due_at=1.0, latest_start_at=1.0, objective_s=1.0
    )
    offers.record_notice("entry-1", order, Room(1, 1), 1, 0.0)
    (offer,) = offers.make(Room(1, 1), lambda _: True, 0.0)
    assert offer.number == 1, offer


@then("the number after {count:d} claims is 1")
def check_claims(context, count):
    claims = PendingClaims(
        effects=[], log=ListedLog(), source=random.Random(1)
    )
    claims.number = count
    step = Step(count=1, room=Room(1, 1), estimate_ms=1.0)
    claims.start_claim(
        1,
        Job(job_id="job", payload="", steps=(step,)),
        DEFAULT_ROUTE,
        holders={"entry-2"},
        peers=(),
        agents=(),
        lost_agents={},
        former_expires_at=0.0,
        wait_deadline_at=1.0,
        wait_limit_s=1.0,
    )
    assert claims.by_job["job"].number == 1


@then("a registered address with {fields} is refused")
def check_registered(context, fields):
    assert str(raised_error(ValueError, decode_address, fields.encode()))


@then("settings with {fields} are refused")
def check_settings(context, fields):
    data = json.dumps(SETTINGS)[:-1] + "," + fields[1:]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        path.write_text(json.dumps(SETTINGS))
        assert load_direct_settings(path, DirectEntrySettings).is_ok()
        path.write_text(data)
        assert load_direct_settings(path, DirectEntrySettings).is_err()


def send(deployment, name, part, request):
    """Send one request to a process; return the status, or None."""
    method, path, body, headers = request
    connection = http.client.HTTPConnection(
        deployment.hosts[name], deployment.ports[name][part], timeout=10
    )
    try:
        connection.request(method, path, body=body, headers=headers)
        return connection.getresponse().status
    except (http.client.HTTPException, OSError):
        return None
    finally:
        connection.close()


@when("callers, servers, operators and peers send values out of bounds")
def send_out_of_bounds(context):
    deployment = context.deployment
    context.pids = {n: p.pid for n, p in deployment.processes.items()}
    for name in ("entry-1", "entry-2"):
        for request in bad_jobs("host.example"):
            status = send(deployment, name, "front", request)
            assert status is not None, request
    for name in ("agent-1", "agent-2"):
        for request in bad_reports():
            status = send(deployment, name, "control", request)
            assert status is not None, request
    put = deployment.store.put
    put("op/config", NESTED)
    put("op/config", desired_state(10**25))
    put("egretcart/entries/bad", b'{"host":"a..b","port":70000}')
    frame = unbounded_frame(
        messages.EntryPeers(entries=(PeerAddress(host="a..b", port=70000),))
    )
    for name in ("entry-1", "entry-2"):
        address = (deployment.hosts[name], deployment.peer_port)
        with socket.create_connection(address, 10) as peer:
            peer.sendall(frame)


@then("each process is the one that was started, and jobs are completed")
def check_processes(context):
    deployment = context.deployment
    body = {"spec": "s", "steps": [STEP], "bestEffort": True}
    for number in range(4):
        name = f"entry-{1 + number % 2}"
        path = f"/queue/{number + 100:016x}"
        answer = deployment.ask(name, "POST", path, body)
        assert answer == (200, {"state": "completed"}), answer
    for name, process in deployment.processes.items():
        assert process.poll() is None, name
        assert process.pid == context.pids[name]
