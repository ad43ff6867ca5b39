import contextlib
import socket
import time

from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from processes import HOST
from raw_http import connect
from raw_http import LIMIT_S

from egretcart.connection.agent_messages import AgentHello
from egretcart.connection.agent_messages import FenceReply
from egretcart.connection.agent_messages import HeartbeatReply
from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import Term
from egretcart.connection.codec import encode_frame
from egretcart.connection.codec import FrameBuffer
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import EntryBeat
from egretcart.connection.entry_messages import EntryHello
from egretcart.connection.entry_messages import Forward
from egretcart.connection.entry_messages import ForwardReply
from egretcart.connection.leader_messages import Start
from egretcart.process.entry.entry_process import PEER_RECEIVE_TIMEOUT_S


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


def invalid_messages(name):
    address = EntryAddress(entry_id="e", host=HOST, port=0, weight=1)
    verdict = TaskResult(job_id=bytes(16), verdict="perhaps")
    return {
        "an agent without slots": [agent_hello(slots=0)],
        "an agent without a name": [agent_hello(agent_id="")],
        "an entry without a port": [EntryHello(address=address)],
        "an unknown verdict": [agent_hello(service_name="x"), verdict],
        "an agent of another service": [agent_hello(service_name="x")],
    }[name]


@when("a peer announces {name}")
def announce(context, name):
    context.peer = connect(context.peer_port)
    context.add_cleanup(context.peer.close)
    context.peer.sendall(encode_frame(invalid_messages(name)))


@then("the entry closes the peer's connection")
def check_closed(context):
    with contextlib.suppress(ConnectionResetError):
        while context.peer.recv(65536):
            pass


@then("the peer received no start message")
def check_no_start(context):
    context.peer.setblocking(False)
    messages = FrameBuffer().feed(context.peer.recv(1 << 20))
    assert not any(isinstance(m, Start) for m in messages), messages


@when("another entry sends heartbeats on the link that it dialled")
def send_heartbeats(context):
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


@when("the other entry stops sending")
def stop_sending(context):
    context.peer.settimeout(PEER_RECEIVE_TIMEOUT_S + 4)
