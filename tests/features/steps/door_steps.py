import contextlib
import http.client
import json
import socket
import struct
import time

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from processes import Deployment
from processes import eventually
from processes import HOST
from processes import request

from egretcart.connection.codec import encode_frame
from egretcart.connection.codec import FrameBuffer
from egretcart.connection.messages import AgentHello
from egretcart.connection.messages import EntryAddress
from egretcart.connection.messages import EntryBeat
from egretcart.connection.messages import EntryHello
from egretcart.connection.messages import FenceReply
from egretcart.connection.messages import Forward
from egretcart.connection.messages import ForwardReply
from egretcart.connection.messages import HeartbeatReply
from egretcart.connection.messages import Start
from egretcart.connection.messages import TaskResult
from egretcart.connection.messages import Term
from egretcart.process.entry_process import PEER_SILENCE_LIMIT_S
from egretcart.request.identity import new_job_id

LIMIT_S = 10
SERVICE_PATH = "/v1/services/snapcheck/jobs"


@given("an entry with open doors")
def open_doors(context):
    if "doors" not in context:
        deployment = Deployment(1, 1)
        context._set_root_attribute("doors", deployment)
        context.add_cleanup(deployment.close, layer="testrun")
    context.deployment = context.doors
    ready = context.deployment.entries[0].ready
    context.http_port = ready["http_port"]
    context.peer_port = ready["peer_port"]


def connect(port):
    return socket.create_connection((HOST, port), LIMIT_S)


def read_response(connection):
    response = http.client.HTTPResponse(connection)
    response.begin()
    return response.status, json.loads(response.read())


def exchange(port, data, *, half_close=False):
    """Send bytes; return status and document, or None at a bare close."""
    with connect(port) as connection:
        with contextlib.suppress(OSError):
            connection.sendall(data)
            if half_close:
                connection.shutdown(socket.SHUT_WR)
        try:
            return read_response(connection)
        except (http.client.HTTPException, OSError):
            return None


def put(body, *, path=None, headers=()):
    path = path or f"{SERVICE_PATH}/{new_job_id()}"
    lines = [f"PUT {path} HTTP/1.1", "Host: x", *headers]
    if not any(header.startswith("Transfer") for header in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def job(**extra):
    payload = {"run_ms": extra.pop("run_ms", 1), "echo": "x"}
    return json.dumps({"tasks": [{"payload": payload}], **extra}).encode()


def chunked(body):
    return put(body, headers=["Transfer-Encoding: chunked"])


def bad_inputs():
    many = json.dumps({"tasks": [{"payload": 1}] * 10_001}).encode()
    chunk = b"100000\r\n" + b" " * 0x100000 + b"\r\n"
    unknown = f"/v1/services/none/jobs/{new_job_id()}"
    return {
        "a malformed request line": b"NONSENSE\r\n\r\n",
        "an oversized header": put(b"", headers=["X: " + "y" * 70_000]),
        "an oversized body": put(b" " * (17 << 20)),
        "an endless chunked body": chunked(chunk * 17),
        "a broken chunk": chunked(b"zz\r\n"),
        "half a body and its end": put(job())[:-5],
        "a path that is not text": b"GET /\xff HTTP/1.1\r\nHost: x\r\n\r\n",
        "an unknown method": put(job()).replace(b"PUT", b"POST", 1),
        "a job id that is none": put(job(), path=f"{SERVICE_PATH}/x"),
        "a body that is not JSON": put(b"\xff{"),
        "a body nested too deeply": put(
            b'{"tasks": [{"payload": ' + b"[" * 9999 + b"]" * 9999 + b"}]}"
        ),
        "an unknown field": put(job(colour="red")),
        "more tasks than are allowed": put(many),
        "no tasks": put(b'{"tasks": []}'),
        "a service that is unknown": put(job(), path=unknown),
    }


@when("a connection sends {name}")
def send_bad(context, name):
    context.reply = exchange(
        context.http_port,
        bad_inputs()[name],
        half_close=name.startswith("half"),
    )


@then("it gets status {status:d} with verdict not_run")
def check_refusal(context, status):
    assert context.reply is not None, "closed without an answer"
    found, document = context.reply
    assert found == status, context.reply
    assert document["verdict"] == "not_run"
    assert document["detail"]


@then("a good job is still answered")
def check_good_job(context):
    status, answer = exchange(context.http_port, put(job()))
    assert status == 200, answer
    assert answer["results"] == [{"echo": "x"}]


@when("connections send bytes that Hypothesis makes up")
def fuzz_bytes(context):
    good = put(job(), path=f"{SERVICE_PATH}/{new_job_id()}")

    @settings(max_examples=60)
    @for_all(
        st.binary(max_size=200),
        st.integers(0, len(good)),
        st.integers(0, len(good)),
    )
    def send(noise, start, end):
        data = good[:start] + noise + good[end:]
        exchange(context.http_port, data, half_close=True)

    send()


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(codec=None))
    | st.sampled_from([10**400, "\ud800", ""]),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=5), values, max_size=3)
    ),
    max_leaves=5,
)
OPTIONS = ("team", "urgency", "idempotent", "deadline_ms", "x")
DOCUMENTS = st.fixed_dictionaries(
    {"tasks": st.lists(st.fixed_dictionaries({"payload": JSON_VALUES}))},
    optional=dict.fromkeys(OPTIONS, JSON_VALUES),
)


@when("callers send documents that Hypothesis makes up")
def fuzz_documents(context):
    @settings(max_examples=80)
    @for_all(DOCUMENTS | JSON_VALUES)
    def send(document):
        body = json.dumps(document).encode()
        reply = exchange(context.http_port, put(body))
        assert reply is not None, body
        status, answer = reply
        assert status == 200 or answer["verdict"], reply

    send()


def integers():
    return st.integers(-(2**31), 2**31 - 1) | st.integers(-1, 3)


TERMS = st.builds(Term, integers(), integers())
FRAMES = st.lists(
    st.one_of(
        st.builds(
            AgentHello,
            agent_id=st.text(max_size=4),
            service_name=st.sampled_from(["", "snapcheck", "x"]),
            slots=integers(),
            connections=integers(),
            incarnation=integers(),
        ),
        st.builds(FenceReply, term=TERMS, accepted=st.booleans()),
        st.builds(
            HeartbeatReply,
            term=TERMS,
            round=integers(),
            stamp_us=integers(),
            roster_version=integers(),
        ),
        st.builds(
            TaskResult,
            job_id=st.binary(max_size=17),
            task=integers(),
            verdict=st.sampled_from(["", "ran", "x"]),
        ),
        st.builds(
            Forward,
            request_id=integers(),
            action=st.sampled_from(["submit", "read", "x"]),
            service_name=st.sampled_from(["snapcheck", "x"]),
            job_id=st.binary(min_size=15, max_size=16),
            body=st.binary(max_size=20),
        ),
        st.builds(
            ForwardReply,
            request_id=integers(),
            outcome=st.sampled_from(["answered", "x"]),
            status=integers(),
        ),
    ),
    max_size=4,
)


@when("peers send frames that Hypothesis makes up")
def fuzz_frames(context):
    @settings(max_examples=60)
    @for_all(FRAMES, st.booleans(), st.binary(max_size=30))
    def send(batch, as_entry, noise):
        address = EntryAddress(entry_id="fuzz", host=HOST, port=1, weight=1)
        hello = EntryHello(address=address, incarnation=1)
        first = [hello] if as_entry else []
        connection = connect(context.peer_port)
        with connection, contextlib.suppress(OSError):
            connection.sendall(encode_frame(first + batch) + noise)
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(65536):
                pass

    send()


def agent_hello(**changes):
    fields = {
        "agent_id": "nonsense",
        "service_name": "snapcheck",
        "slots": 8,
        "connections": 8,
        "incarnation": 1,
    }
    return AgentHello(**(fields | changes))


def nonsense(name):
    address = EntryAddress(entry_id="e", host=HOST, port=0, weight=1)
    verdict = TaskResult(job_id=bytes(16), verdict="perhaps")
    return {
        "an agent without slots": [agent_hello(slots=0)],
        "an agent without a name": [agent_hello(agent_id="")],
        "an entry without a port": [EntryHello(address=address)],
        "a verdict that is none": [agent_hello(service_name="x"), verdict],
        "an agent of another service": [agent_hello(service_name="x")],
    }[name]


@when("a peer announces {name}")
def announce(context, name):
    context.peer = connect(context.peer_port)
    context.add_cleanup(context.peer.close)
    context.peer.sendall(encode_frame(nonsense(name)))


@then("the entry closes the peer's connection")
def check_closed(context):
    with contextlib.suppress(ConnectionResetError):
        while context.peer.recv(65536):
            pass


@then("the peer got no start")
def check_no_start(context):
    context.peer.setblocking(False)
    messages = FrameBuffer().feed(context.peer.recv(1 << 20))
    assert not any(isinstance(m, Start) for m in messages), messages


@when("another entry sends heartbeats on the link that it dialled")
def send_beats(context):
    listener = socket.create_server((HOST, 0))
    listener.settimeout(LIMIT_S)
    address = EntryAddress(
        entry_id="other", host=HOST, port=listener.getsockname()[1]
    )
    hello = encode_frame([EntryHello(address=address, incarnation=1)])
    context.peer = connect(context.peer_port)
    context.peer.sendall(hello)
    with listener:
        context.own_link, _ = listener.accept()
    context.own_link.sendall(hello)
    context.add_cleanup(context.peer.close)
    context.add_cleanup(context.own_link.close)


@then("the entry keeps its own link to it for {seconds:d} s")
def check_kept(context, seconds):
    end = time.monotonic() + seconds
    context.own_link.settimeout(0.5)
    while time.monotonic() < end:
        context.peer.sendall(encode_frame([EntryBeat()]))
        with contextlib.suppress(TimeoutError):
            assert context.own_link.recv(65536), "the link was closed"


@when("the other entry falls silent")
def fall_silent(context):
    context.peer.settimeout(PEER_SILENCE_LIMIT_S + 4)


def start_long_job(context):
    context.job_path = f"{SERVICE_PATH}/{new_job_id()}"
    connection = connect(context.http_port)
    connection.sendall(put(job(run_ms=700), path=context.job_path))
    return connection


def waiting_callers(context):
    entry = context.deployment.entries[0]
    return context.deployment.status(entry)["waiting_callers"]


@when("a caller resets its connection while its job runs")
def reset_early(context):
    connection = start_long_job(context)
    eventually(lambda: waiting_callers(context) == 1)
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


@then("the entry holds no caller")
def check_no_caller(context):
    eventually(lambda: waiting_callers(context) == 0, 5)
    status, _, _ = request(context.http_port, "GET", context.job_path)
    assert status == 202, "the job had ended, so nothing was shown"


@then("the job's answer can be read later")
def check_read_later(context):
    def answer():
        status, _, document = request(
            context.http_port, "GET", context.job_path
        )
        return document if status == 200 else None

    assert eventually(answer, 10)["results"] == [{"echo": "x"}]


@when("a job's kind holds line breaks and other scripts")
def send_odd_kind(context):
    task = {"payload": {"echo": "x"}, "kind": "a\r\nb: \u0436"}
    context.connection = connect(context.http_port)
    context.connection.sendall(put(json.dumps({"tasks": [task]}).encode()))


@when("a caller half-closes its connection after its job")
def half_close(context):
    context.connection = start_long_job(context)
    context.connection.shutdown(socket.SHUT_WR)


@then("it gets its whole answer")
def check_half_closed(context):
    with context.connection as connection:
        status, answer = read_response(connection)
    assert (status, answer["results"]) == (200, [{"echo": "x"}])


@when("a caller sends two jobs at once on one connection")
def pipeline(context):
    context.paths = [f"{SERVICE_PATH}/{new_job_id()}" for _ in range(2)]
    context.connection = connect(context.http_port)
    context.connection.sendall(
        b"".join(put(job(run_ms=100), path=path) for path in context.paths)
    )


@then("it gets both answers in order")
def check_pipelined(context):
    with context.connection as connection:
        reader = connection.makefile("rb")
        for path in context.paths:
            assert reader.readline().split()[1] == b"200"
            length = 0
            while (line := reader.readline()) != b"\r\n":
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            assert path.endswith(json.loads(reader.read(length))["id"])
