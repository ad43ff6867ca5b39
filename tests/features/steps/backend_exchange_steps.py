import socket
import struct

from behave import given
from behave import then
from behave import when
import trio
import trio.lowlevel
from trio.testing import MockClock

from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import Term
from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.connection.http_client import MAX_IDLE_S
from egretcart.connection.http_client import MAX_RESPONSE_BYTES
from egretcart.connection.leader_messages import Fence
from egretcart.connection.leader_messages import Heartbeat
from egretcart.connection.leader_messages import Start
from egretcart.process.agent.agent_process import AgentProcess
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.cell.limits import LEASE_S
from egretcart.process.planned_stop import poll_until
from egretcart.process.settings import Address
from egretcart.process.settings import AgentSettings
from egretcart.request.identity import job_id_at
from egretcart.testing.clock import ManualClock

HOST = "127.0.0.1"
TIMEOUT_S = 1.0
US_PER_S = 1_000_000
TERM = Term(1, 1)
OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
COMPLETE_RESPONSE = OK_STATUS_LINE + b"Content-Length: 4\r\n\r\ndone"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
RESPONSE_BY_FAULT = {
    "resets before the first byte": b"",
    "closes before the first byte": b"",
    "resets within the status line": b"HTTP/1.1 2",
    "resets within the body": COMPLETE_RESPONSE[:-1],
    "answers with garbage": b"\x00\xffnonsense\r\n\r\n",
    "truncates a body of known length": COMPLETE_RESPONSE[:-1],
    "truncates a chunked body": OK_STATUS_LINE
    + b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
    "sends a body without a length": OK_STATUS_LINE
    + b"Connection: close\r\n\r\ndone",
    "sends a response over the limit": OK_STATUS_LINE
    + f"Content-Length: {MAX_RESPONSE_BYTES + 1}\r\n\r\n".encode()
    + bytes(MAX_RESPONSE_BYTES + 1),
    "closes after its answer": COMPLETE_RESPONSE,
    "closes at its second request": COMPLETE_RESPONSE,
}


class FaultyBackend:
    """Backend server with the fault that a scenario names."""

    def __init__(self, fault):
        self.fault = fault
        self.connections = 0
        self.requests = 0
        self.resumed = trio.Event()
        self.was_reset = trio.Event()

    async def serve(self, stream):
        self.connections += 1
        try:
            await self.run_connection(stream)
        except trio.BrokenResourceError:
            self.was_reset.set()
        finally:
            if self.fault.startswith("resets"):
                linger = struct.pack("ii", 1, 0)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()

    async def run_connection(self, stream):
        received = b""
        while b"\r\n\r\ntask" not in received:
            data = await stream.receive_some(65536)
            if not data:
                return
            received += data
        self.requests += 1
        if self.fault == "answers too late":
            await trio.sleep(TIMEOUT_S * 2)
            await stream.send_all(COMPLETE_RESPONSE)
        elif self.fault == "answers after a pause":
            await self.resumed.wait()
            await stream.send_all(COMPLETE_RESPONSE)
        elif self.fault == "waits for more data":
            await stream.receive_some(1)
        elif self.fault == "never ends its answer":
            await stream.send_all(
                OK_STATUS_LINE + b"Content-Length: 1000000\r\n\r\n"
            )
            while True:
                await stream.send_all(b".")
                await trio.sleep(TIMEOUT_S / 10)
        elif self.fault == "sends its answer byte by byte":
            for byte in CONTINUE_RESPONSE + COMPLETE_RESPONSE:
                await stream.send_all(bytes([byte]))
                await trio.lowlevel.checkpoint()
        else:
            await stream.send_all(RESPONSE_BY_FAULT[self.fault])
        if self.fault == "closes at its second request":
            data = await stream.receive_some(65536)
            self.requests += bool(data)


def run(context, scenario, *, clock=None):
    """Run posts against the backend; store the last response or error."""

    async def main():
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        if context.backend.fault == "refuses connections":
            await listeners[0].aclose()
        client = HttpClient(host=HOST, port=port, max_connections=1)
        async with trio.open_nursery() as nursery:
            if context.backend.fault != "refuses connections":
                nursery.start_soon(
                    trio.serve_listeners, context.backend.serve, listeners
                )
            await scenario(client)
            await client.aclose()
            nursery.cancel_scope.cancel()

    context.response = context.error = None
    trio.run(main, clock=clock)


async def post(context, client):
    context.response = context.error = None
    try:
        context.response = await client.exchange(
            "POST", "/", body=b"task", time_limit_s=TIMEOUT_S
        )
    except ExchangeError as error:
        context.error = error


@given("a backend server that {fault}")
def faulty_backend(context, fault):
    context.backend = FaultyBackend(fault)


@when("a task is posted to it")
def post_once(context):
    run(context, lambda client: post(context, client))


@when("a task is posted to it twice")
def post_twice(context):
    async def scenario(client):
        await post(context, client)
        assert context.response
        await trio.sleep(0.05)
        await post(context, client)

    run(context, scenario)


@when("a task is posted to it, and again much later")
def post_later(context):
    async def scenario(client):
        await post(context, client)
        assert context.response
        await trio.sleep(MAX_IDLE_S * 1.1)
        await post(context, client)

    run(context, scenario, clock=MockClock(rate=20))


@when("two tasks are posted over its only connection")
def post_both(context):
    async def scenario(client):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(post, context, client)
            await trio.sleep(0.01)
            with trio.fail_after(TIMEOUT_S):
                try:
                    await client.exchange(
                        "POST", "/", body=b"task", time_limit_s=TIMEOUT_S / 4
                    )
                except ExchangeError as error:
                    context.second_error = error

    run(context, scenario)


@when("a task is posted to it and cancelled")
def post_and_cancel(context):
    async def scenario(client):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(post, context, client)
            with trio.fail_after(TIMEOUT_S):
                await poll_until(lambda: context.backend.requests == 1)
            nursery.cancel_scope.cancel()
        with trio.move_on_after(TIMEOUT_S):
            await context.backend.was_reset.wait()

    run(context, scenario)


@then("the backend server sees a reset")
def check_reset(context):
    assert context.backend.was_reset.is_set()


@when("a task is posted that its check before sending refuses")
def post_refused(context):
    async def scenario(client):
        try:
            await client.exchange(
                "POST",
                "/",
                body=b"task",
                time_limit_s=TIMEOUT_S,
                check_before_send=lambda: "the lease has lapsed",
            )
        except ExchangeError as error:
            context.error = error
        assert len(client.idle_connections) == 1

    run(context, scenario)


class RecordingLink:
    """Replaces the connection to the leader; records task results."""

    def __init__(self):
        self.results = []

    def send(self, message):
        if isinstance(message, TaskResult):
            self.results.append(message)


def agent_process(port, clock):
    """Return an agent with one connection, and its link to the leader."""
    settings = AgentSettings(
        agent_id="a",
        failure_domain="d",
        service="s",
        slots=2,
        connections=1,
        backend=Address(host=HOST, port=port),
        seeds=(Address(host=HOST, port=port),),
    )
    process = AgentProcess(
        settings=settings, limits=AgentLimits(), clock=clock
    )
    link = process.links["entry"] = RecordingLink()
    return process, link


def lease(clock):
    """Return the messages that give an agent a lease from now on."""
    stamp_us = int(clock.monotonic() * US_PER_S)
    return [
        Fence(term=TERM, cell=0, by_query=True),
        Heartbeat(term=TERM, proven_stamp_us=stamp_us),
    ]


def task_start(clock, number):
    return Start(
        term=TERM,
        job_id=job_id_at(clock.unix_ms(), 1).value,
        digest=b"digest",
        task=number,
        attempt=1,
        kind="",
        payload=b"task",
        idempotent=False,
        time_left_ms=60_000,
    )


@when("an agent with one connection is given two tasks")
def give_two_tasks(context):
    context.clock = ManualClock()
    context.clock.advance(1)


@when("its lease expires before one is answered")
def expire_lease(context):
    backend, clock = context.backend, context.clock

    async def scenario(client):
        process, context.link = agent_process(client.port, clock)
        async with trio.open_nursery() as process.nursery:
            messages = lease(clock)
            messages += [task_start(clock, number) for number in (0, 1)]
            for message in messages:
                process._apply_effects(process.agent.receive("entry", message))
            with trio.fail_after(TIMEOUT_S):
                await poll_until(lambda: backend.requests == 1)
            assert len(process.exchanges) == 2
            clock.advance(LEASE_S * 2)
            backend.resumed.set()
            with trio.fail_after(TIMEOUT_S):
                await poll_until(lambda: not process.exchanges)

    run(context, scenario)


@then("the backend server saw one task only")
def check_one_only(context):
    assert context.backend.requests == 1, context.backend.requests


@then("the leader receives the result that the other was not run")
def check_results(context):
    results_by_task = {
        result.task: (result.succeeded, result.verdict)
        for result in context.link.results
    }
    # The agent may begin tasks that arrive together in any order.
    assert set(results_by_task) == {0, 1}, results_by_task
    ends = sorted(results_by_task.values())
    assert ends == [(False, "not_run"), (True, "ran")], results_by_task


@then("the backend server saw a connection and no request")
def check_no_request(context):
    assert context.backend.connections == 1
    assert context.backend.requests == 0


@then("the exchange fails as {verdict}")
def check_verdict(context, verdict):
    assert context.error is not None, context.response
    assert context.error.verdict.value == verdict, context.error


@then("the second exchange fails as {verdict}")
def check_second(context, verdict):
    assert context.second_error.verdict.value == verdict


@then("the backend server saw at most one request")
def check_requests(context):
    assert context.backend.requests <= 1


@then("the backend server saw two requests")
def check_one_more(context):
    assert context.backend.requests == 2, context.backend.requests


@then("the backend server saw two connections")
def check_connections(context):
    assert context.backend.connections == 2


@then("the response is complete")
def check_complete_response(context):
    assert context.response is not None, context.error
    assert context.response.status == 200
    assert context.response.body == b"done"
