"""Steps that send made-up HTTP between real sockets."""

import socket
import struct

from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
import trio

from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.connection.http_listener import HttpListener
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpResponse

HOST = "127.0.0.1"
VALID_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
LIMITS = HttpLimits(
    request_timeout_s=0.05, idle_timeout_s=0.05, max_body_bytes=1000
)
TIMEOUT_S = 20
EXCHANGE_LIMIT_S = 0.2
EXAMPLES = 200
RESET = struct.pack("ii", 1, 0)

VERSIONS = st.sampled_from(
    [b"HTTP/1.1", b"HTTP/1.1", b"HTTP/1.0", b"HTTP/2.0", b""]
)
HEADERS = st.lists(
    st.sampled_from(
        [
            b"Host: x",
            b"Host: x",
            b"Host: \xff",
            b"Upgrade: h2c",
            b"Connection: Upgrade",
            b"Connection: close",
            b"Expect: 100-continue",
            b"Transfer-Encoding: chunked",
            b"Transfer-Encoding: gzip, chunked",
            b"Content-Length: 3",
            b"Content-Length: 3, 4",
            b"Content-Length: +3",
            b"Content-Length: \xd9\xa3",
            b"Content-Length: " + b"9" * 5000,
            b"\x00: x",
            b" folded",
            b"A: " + b"y" * 9000,
        ]
    )
    | st.binary(max_size=20),
    max_size=5,
)
BODIES = st.sampled_from(
    [b"", b"abc", b"0\r\n\r\n", b"3\r\nabc\r\n0\r\nT: x\r\n\r\n", b"f" * 30]
) | st.binary(max_size=30)
METHODS = st.sampled_from(
    b"GET HEAD POST PUT DELETE CONNECT OPTIONS TRACE PRI get".split()
)
TARGETS = st.sampled_from([b"/", b"*", b"x:1", b"http://x/", b"/\xe2\x82\xac"])
STATUSES = st.sampled_from(
    b"100 101 102 199 200 204 205 304 404 503 999 000 -1 2000 x".split()
)
MANNERS = st.sampled_from(["read", "end", "reset", "close"])


def message(first_line, headers, body):
    lines = [b" ".join(first_line), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


MESSAGES = {
    "request": st.lists(
        st.builds(
            message, st.tuples(METHODS, TARGETS, VERSIONS), HEADERS, BODIES
        ),
        min_size=1,
        max_size=3,
    ).map(b"".join),
    "response": st.lists(
        st.builds(message, st.tuples(VERSIONS, STATUSES), HEADERS, BODIES),
        max_size=3,
    ).map(b"".join),
}


def reset(stream):
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    stream.socket.close()


async def receive_all(stream):
    data = b""
    while chunk := await stream.receive_some(65536):
        data += chunk
    return data


async def answer(request):
    return HttpResponse(body=b"{}")


async def send_to_server(data, manner):
    """Send data and return the answer to a valid request after it."""
    server = HttpListener(handler=answer, limits=LIMITS)
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    address = listeners[0].socket.getsockname()
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, listeners, nursery)
            stream = await trio.open_tcp_stream(*address)
            try:
                await stream.send_all(data)
                if manner == "end":
                    await stream.send_eof()
                if manner in ("read", "end"):
                    await receive_all(stream)
            except trio.BrokenResourceError:
                pass
            if manner == "reset":
                reset(stream)
            await stream.aclose()
            valid = await trio.open_tcp_stream(*address)
            await valid.send_all(VALID_REQUEST)
            response = await receive_all(valid)
            await valid.aclose()
            # What else the first connection causes comes before this.
            await server.close()
    return response


@when("connections send requests that Hypothesis makes up")
def send_requests(context):
    context.answered = 0

    @settings(max_examples=EXAMPLES, deadline=None)
    @for_all(MESSAGES["request"], MANNERS)
    def check(data, manner):
        response = trio.run(send_to_server, data, manner)
        assert response.startswith(b"HTTP/1.1 200"), (data, response)
        context.answered += 1

    check()


@then("the server has answered a valid request after each")
def check_requests(context):
    assert context.answered >= EXAMPLES, context.answered


async def exchange_with(data, manner):
    """Return whether an exchange with a server that sends data succeeds."""

    async def serve(stream):
        try:
            await stream.receive_some(65536)
            await stream.send_all(data)
            if manner == "reset":
                reset(stream)
            elif manner == "read":
                await receive_all(stream)
        except trio.BrokenResourceError:
            pass

    listeners = await trio.open_tcp_listeners(0, host=HOST)
    host, port = listeners[0].socket.getsockname()
    client = HttpClient(host=host, port=port, max_connections=1)
    succeeded = 0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        for _ in range(2):
            try:
                await client.exchange(
                    "POST", "/", body=b"{}", time_limit_s=EXCHANGE_LIMIT_S
                )
                succeeded += 1
            except ExchangeError:
                pass
        nursery.cancel_scope.cancel()
    await client.aclose()
    return succeeded


@when("a server sends responses that Hypothesis makes up")
def send_responses(context):
    context.exchanges = 0

    @settings(max_examples=EXAMPLES, deadline=None)
    @for_all(MESSAGES["response"], MANNERS)
    def check(data, manner):
        trio.run(exchange_with, data, manner)
        context.exchanges += 1

    check()


@then("each exchange has ended with a response or an exchange error")
def check_responses(context):
    assert context.exchanges >= EXAMPLES, context.exchanges
