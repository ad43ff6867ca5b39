"""HTTP listener with a limit of connections and an orderly shutdown."""

from collections.abc import Callable
import socket

import trio

from egretcart.connection.accepting import AcceptState
from egretcart.connection.disconnect_watch import shared_watch
from egretcart.connection.http_server import Handler
from egretcart.connection.http_server import HttpConnection
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import OVERLOAD_RETRY_AFTER_S
from egretcart.connection.readable import is_readable
from egretcart.request.problem import unavailable
from egretcart.request.verdict import Verdict

MAX_REFUSALS = 256
CLOSE_POLL_INTERVAL_S = 0.02
# Time for which a new connection is kept open at a stop: the request that it
# was opened for may be under way.
FIRST_REQUEST_GRACE_S = 0.2
# Limit of the wait for a connection that was to be accepted and has ended.
ACCEPT_TIMEOUT_S = 0.1
MAX_ACCEPTED_PER_TURN = 64


class _Acceptor:
    """Accepts connections together that wait together, the oldest first.

    trio accepts one connection in a turn of its loop, so that under load the
    others would wait for as many turns, unseen by this process.

    Parameters
    ----------
    listener : trio.SocketListener
    state : AcceptState
    """

    def __init__(
        self, *, listener: trio.SocketListener, state: AcceptState
    ) -> None:
        self.listener = listener
        self.state = state
        self.socket = socket.fromfd(
            listener.socket.fileno(),
            listener.socket.family,
            listener.socket.type,
        )
        self.socket.setblocking(False)

    async def accept(self) -> list[trio.SocketStream]:
        """Wait for a connection and accept all that wait, up to a bound.

        The list is empty if the process could not open any.
        """
        first = await self.state.accept(self.listener)
        if first is None:
            return []
        streams = [first]
        while len(streams) < MAX_ACCEPTED_PER_TURN:
            try:
                accepted, _address = self.socket.accept()
            except OSError:
                break
            streams.append(
                trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
            )
        return streams


class HttpListener:
    """Accepts HTTP connections and serves them, up to a limit.

    A connection over the limit gets a response with status 503; while
    `MAX_REFUSALS` such responses are in progress, it is closed without one.

    Parameters
    ----------
    handler : callable
        Async function from an `HttpRequest` to its `HttpResponse`.
    limits : HttpLimits
    on_accept_change : callable, optional
        See `AcceptState`.

    Attributes
    ----------
    connections : set of HttpConnection
        Connections that are served.
    refused : int
        Connections that are being refused.
    stopping : bool
        Whether each connection is closed after its next response.
    is_serving : bool
        Whether connections are accepted.
    accept_state : AcceptState
        Counts the errors of accepting connections.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: HttpLimits,
        on_accept_change: Callable[[str], None] | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[HttpConnection] = set()
        self.refused = 0
        self.stopping = False
        self.accept_scope = trio.CancelScope()
        self.is_serving = False
        self.accept_state = AcceptState(on_change=on_accept_change)

    async def serve(
        self, listeners: list[trio.SocketListener], nursery: trio.Nursery
    ) -> None:
        """Accept connections until `close` and serve them in `nursery`."""
        # Created before connections can take up all descriptors.
        shared_watch()
        self.is_serving = True
        with self.accept_scope:
            async with trio.open_nursery() as acceptors:
                for listener in listeners:
                    acceptors.start_soon(self._accept, listener, nursery)
        for listener in listeners:
            await self._accept_waiting(listener, nursery)
            await listener.aclose()
        self.is_serving = False

    async def _accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        acceptor = _Acceptor(listener=listener, state=self.accept_state)
        with acceptor.socket:
            while True:
                for stream in await acceptor.accept():
                    self._start(stream, nursery)

    async def _accept_waiting(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Serve the connections that would be reset with the listener."""
        while is_readable(listener):
            with trio.move_on_after(ACCEPT_TIMEOUT_S):
                stream = await self.accept_state.accept(listener)
                if stream is not None:
                    self._start(stream, nursery)

    def _start(self, stream: trio.SocketStream, nursery: trio.Nursery) -> None:
        """Serve a connection in the nursery, or refuse it there."""
        connection = HttpConnection(
            stream=stream,
            handler=self.handler,
            limits=self.limits,
            is_stopping=lambda: self.stopping,
        )
        if len(self.connections) >= self.limits.max_connections:
            nursery.start_soon(self._refuse, connection)
            return
        self.connections.add(connection)
        nursery.start_soon(self._serve, connection)

    async def _serve(self, connection: HttpConnection) -> None:
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)

    async def _refuse(self, connection: HttpConnection) -> None:
        if self.refused >= MAX_REFUSALS:
            await trio.aclose_forcefully(connection.stream)
            return
        self.refused += 1
        try:
            await connection.refuse(
                unavailable(
                    f"{len(self.connections)} connections are open; at most "
                    f"{self.limits.max_connections} are accepted",
                    verdict=Verdict.NOT_RUN,
                    retry_after_s=OVERLOAD_RETRY_AFTER_S,
                )
            )
        finally:
            self.refused -= 1

    async def close(self) -> None:
        """Stop accepting and wait until all requests are answered.

        Idle connections are closed.
        """
        self.accept_scope.cancel()
        while self.connections or self.is_serving:
            newest = trio.current_time() - FIRST_REQUEST_GRACE_S
            for connection in list(self.connections):
                if connection.opened_at < newest:
                    connection.close_if_idle()
            await trio.sleep(CLOSE_POLL_INTERVAL_S)

    def abort_receiving(self) -> None:
        """Refuse the requests that have not arrived completely."""
        for connection in list(self.connections):
            connection.abort_receiving()
