"""Steps for connections and requests that a running process is sent."""

import contextlib
import json
import resource
import socket
import subprocess
import time

from behave import given
from behave import then
from behave import when
from platform_deployment import wait_until

DESCRIPTORS = 48
CONNECTIONS = 80
LIMIT_S = 30
# Long enough for standard error to fill, if a line is written for each try to
# accept a connection.
LACK_S = 8.0
STATUS_LINE = b"HTTP/1.1 "
METHODS = (
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "DELETE",
    "OPTIONS",
    "TRACE",
    "PATCH",
    "CONNECT",
    "BREW",
)


@given("it has started with few descriptors and an output that nobody reads")
def start_with_few_descriptors(context):
    limits = (DESCRIPTORS, DESCRIPTORS)
    context.process.start(
        lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits),
        error_output=subprocess.PIPE,
    )
    context.process.wait_started()


@when(
    "more connections than that are open for a while at its {address} address"
)
def open_connections(context, address):
    context.address = address
    endpoint = context.process.addresses[address]
    with contextlib.ExitStack() as stack:
        for _ in range(CONNECTIONS):
            client = stack.enter_context(socket.socket())
            client.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                client.connect(endpoint)
        time.sleep(LACK_S)


@then("it accepts connections again, and has said so once")
def check_accepts_again(context):
    process = context.process
    name = f"{context.address} listener"

    def changes():
        process.accepts()
        return [
            line["state"]
            for line in process.lines("DependencyChanged")
            if line["name"] == name
        ]

    wait_until(
        lambda: changes() == ["lost", "back"], LIMIT_S, f"{name} is back"
    )
    assert process.runs()


@when("it is sent requests of each method at its {address} address")
def send_requests(context, address):
    context.answers = {}
    for method in METHODS:
        with socket.create_connection(
            context.process.addresses[address], timeout=LIMIT_S
        ) as client:
            client.sendall(
                f"{method} /ready HTTP/1.1\r\nHost: host.example\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            context.answers[method] = client.recv(len(STATUS_LINE))


@then("each is answered, and it accepts connections")
def check_answered(context):
    assert set(context.answers.values()) == {STATUS_LINE}, context.answers
    assert context.process.accepts()
    assert context.process.runs()


@when("a HEAD request and then nonsense are sent on one connection")
def send_nonsense(context):
    address = context.process.addresses["callers"]
    with socket.create_connection(address, timeout=LIMIT_S) as client:
        client.sendall(b"HEAD / HTTP/1.1\r\nHost: host.example\r\n\r\n")
        client.recv(len(STATUS_LINE))
        client.sendall(b"nonsense\r\n\r\n")
        context.answer = b""
        while data := client.recv(4096):
            context.answer += data


@then("the nonsense is refused with status {status:d} and a body")
def check_refused(context, status):
    _, _, refusal = context.answer.partition(STATUS_LINE)
    assert refusal.startswith(str(status).encode()), context.answer
    _, _, body = refusal.partition(b"\r\n\r\n")
    assert json.loads(body), context.answer
