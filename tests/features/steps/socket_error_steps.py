"""Steps for errors of sockets, most of them real."""

import contextlib
import errno
import io
import os
import resource
import socket
from unittest import mock

from behave import given
from behave import then
from behave import when
import trio

from egretcart.connection.accepting import RECOVERY_S
from egretcart.connection.accepting import serve_streams
from egretcart.connection.dialler import DialAll
from egretcart.connection.dialler import Dialler
from egretcart.connection.disconnect_watch import shared_watch
from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.connection.http_listener import HttpListener
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpResponse
from egretcart.connection.peer_link import PeerLink
from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.wire import DIRECT_PROTOCOL
from egretcart.request.verdict import Verdict

HOST = "127.0.0.1"
REFUSED = OSError(errno.ENOPROTOOPT, "refused")
BEAT = Beat(lateness_ms=3)
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
LACK_S = 0.4
TIMEOUT_S = 20


@contextlib.contextmanager
def descriptors_left(count):
    """Let this process open only so many descriptors more."""
    spare = [os.dup(0) for _ in range(count + 1)]
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(spare), limits[1]))
    for descriptor in spare:
        os.close(descriptor)
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


class Server:
    """An HTTP server, and callers that connect without a turn of its loop."""

    def __init__(self):
        self.callers = []
        self.is_answering = trio.Event()
        self.http = HttpListener(handler=self.answer, limits=HttpLimits())

    async def answer(self, request):
        await self.is_answering.wait()
        return HttpResponse(body=b"{}")

    async def start(self, nursery):
        self.listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.address = self.listeners[0].socket.getsockname()
        nursery.start_soon(self.http.serve, self.listeners, nursery)
        await trio.testing.wait_all_tasks_blocked()

    def call(self):
        caller = socket.create_connection(self.address)
        caller.sendall(REQUEST)
        self.callers.append(trio.socket.from_stdlib_socket(caller))

    async def responses(self):
        self.is_answering.set()
        return [await caller.recv(1000) for caller in self.callers]


def run_server(context, scenario):
    async def main():
        server = Server()
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                await server.start(nursery)
                await scenario(server, nursery)
                context.responses = await server.responses()
                nursery.cancel_scope.cancel()

    trio.run(main)


@given("an HTTP server without connections")
@given("an HTTP server with a request in progress")
@given("a server of links")
def named_in_when(context):
    context.forbidden = 0


@given("an HTTP server whose next connections are forbidden")
def forbid(context):
    context.forbidden = 2


@when("a caller connects while one descriptor is left")
def connect_with_few(context):
    async def scenario(server, nursery):
        server.call()
        with descriptors_left(1):
            await trio.sleep(LACK_S)

    run_server(context, scenario)


@when("it stops while two callers connect and no descriptor is left")
def stop_with_few(context):
    async def scenario(server, nursery):
        server.call()
        await trio.testing.wait_all_tasks_blocked()
        server.call()
        server.call()
        nursery.start_soon(server.http.close)
        with descriptors_left(0):
            await trio.sleep(LACK_S)

    run_server(context, scenario)


@when("a caller connects")
def connect_forbidden(context):
    async def scenario(server, nursery):
        forbidden = [errno.EACCES] * context.forbidden
        accept = server.listeners[0].accept

        async def accept_unless_forbidden():
            stream = await accept()
            if forbidden:
                await stream.aclose()
                raise OSError(forbidden.pop(), "forbidden")
            return stream

        server.listeners[0].accept = accept_unless_forbidden
        # The first is accepted by the call that was made before.
        for _ in range(1 + context.forbidden):
            server.call()
            await trio.sleep(LACK_S)
            server.callers.pop(0).close()
        server.call()

    run_server(context, scenario)


@then("each caller is answered")
def check_answered(context):
    assert context.responses, "no caller"
    for response in context.responses:
        assert response.startswith(b"HTTP/1.1 200"), response


@when("links are opened while no descriptor is left")
def open_links(context):
    async def serve_link(stream):
        context.served += 1
        await stream.aclose()

    async def main():
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        address = listeners[0].socket.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: serve_streams(
                    serve_link, listeners, on_change=context.changes.append
                )
            )
            await trio.testing.wait_all_tasks_blocked()
            links = [socket.create_connection(address) for _ in range(3)]
            with descriptors_left(0):
                await trio.sleep(LACK_S)
            await trio.sleep(RECOVERY_S + LACK_S)
            links.append(socket.create_connection(address))
            await trio.sleep(LACK_S)
            nursery.cancel_scope.cancel()
        for link in links:
            link.close()

    context.served, context.changes = 0, []
    context.errors = io.StringIO()
    with contextlib.redirect_stderr(context.errors):
        trio.run(main)


@then("the links are served once there are descriptors")
def check_links(context):
    assert context.served == 4, context.served


@then("both changes are reported, and nothing is written to standard error")
def check_changes(context):
    assert len(context.changes) == 2, context.changes
    assert "Too many open files" in context.changes[0], context.changes
    assert context.changes[1] == "", context.changes
    assert not context.errors.getvalue(), context.errors.getvalue()


@given("a link whose socket refuses all options")
def refusing_link(context):
    async def main():
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        stream = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
        stream.setsockopt = mock.Mock(side_effect=REFUSED)
        link = PeerLink(
            stream=stream, protocol=DIRECT_PROTOCOL, traffic=context.traffic
        )
        peer = PeerLink(
            stream=await listeners[0].accept(), protocol=DIRECT_PROTOCOL
        )

        def receive(message):
            context.received.append(message)
            link.close()
            peer.close()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: link.run(print, first=[BEAT]))
            nursery.start_soon(lambda: peer.run(receive, first=[]))
        await listeners[0].aclose()

    context.traffic, context.received = TrafficCounters(), []
    trio.run(main)


@then("it delivers its messages, and the refusals are counted")
def check_refusing_link(context):
    assert context.received == [BEAT], context.received
    assert context.traffic.options_refused > 0


@given("a host name, and a system that starts no more threads")
def no_threads(context):
    context.endpoint = ("localhost", 1)


@when("it is dialled and an exchange with it is tried")
def dial_name(context):
    policy = mock.Mock(wraps=DialAll())
    host, port = context.endpoint
    client = HttpClient(host=host, port=port, max_connections=1)

    async def main():
        async with trio.open_nursery() as nursery:
            Dialler(
                nursery=nursery,
                seeds=[context.endpoint],
                run_connection=mock.Mock(),
                policy=policy,
            )
            try:
                await client.exchange("GET", "/", time_limit_s=TIMEOUT_S)
            except ExchangeError as error:
                context.error = error
            await trio.sleep(LACK_S)
            nursery.cancel_scope.cancel()

    # trio may have an idle thread left, so that none would have to be started.
    with mock.patch(
        "trio.to_thread.run_sync",
        side_effect=RuntimeError("can't start new thread"),
    ):
        trio.run(main)
    context.unreachable = policy.mark_unreachable.call_count


@then("it is unreachable and nothing was sent")
def check_name(context):
    assert context.error.verdict is Verdict.NOT_RUN, context.error
    assert context.unreachable > 1, context.unreachable


@when("callers connect while the system watches no more descriptors")
def connect_unwatched(context):
    error = OSError(errno.ENOSPC, "no watch left")

    async def scenario(server, nursery):
        server.is_answering.set()
        with mock.patch("trio.lowlevel.wait_readable", side_effect=error):
            server.call()
            await trio.sleep(LACK_S)
        server.callers.pop(0).close()
        watch = shared_watch()
        epoll, watch.epoll = watch.epoll, mock.Mock()
        watch.epoll.register.side_effect = error
        server.call()
        await trio.sleep(LACK_S)
        watch.epoll = epoll
        server.call()

    run_server(context, scenario)


@then("one caller is refused as not run and the next one is answered")
def check_unwatched(context):
    refused, answered = context.responses
    assert refused.startswith(b"HTTP/1.1 503"), refused
    assert b'"verdict":"not_run"' in refused, refused
    assert answered.startswith(b"HTTP/1.1 200"), answered


@given("a client whose sockets refuse all options")
def refusing_client(context):
    context.refuse = mock.patch.object(
        trio.SocketStream, "setsockopt", side_effect=REFUSED
    )


@when("an exchange breaks")
def break_exchange(context):
    async def main():
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        host, port = listeners[0].socket.getsockname()
        context.client = HttpClient(host=host, port=port, max_connections=1)
        with context.refuse:
            await context.client.exchange("GET", "/", time_limit_s=LACK_S)

    try:
        trio.run(main)
    except ExchangeError as error:
        context.error = error


@then("it ends with an exchange error, and the refusal is counted")
def check_refusing_client(context):
    assert context.error.verdict is Verdict.MAY_HAVE_RUN, context.error
    assert context.client.resets_refused == 1
