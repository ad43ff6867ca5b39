"""HTTP listener with a limit of connections and an orderly shutdown."""

import trio

from egretcart.connection.http_server import Handler
from egretcart.connection.http_server import HttpConnection
from egretcart.connection.http_server import HttpLimits
from egretcart.request.problem import unavailable
from egretcart.request.verdict import Verdict

MAX_REFUSALS = 256
OVERLOAD_RETRY_AFTER_S = 1.0
CLOSE_POLL_INTERVAL_S = 0.02


class HttpListener:
    """Accepts HTTP connections and serves them, up to a limit.

    A connection over the limit gets a response with status 503; while
    `MAX_REFUSALS` such responses are in progress, it is closed without one.

    Parameters
    ----------
    handler : callable
        Async function from an `HttpRequest` to its `HttpResponse`.
    limits : HttpLimits

    Attributes
    ----------
    connections : set of HttpConnection
        Connections that are served.
    refused : int
        Connections that are being refused.
    stopping : bool
        Whether each connection is closed after its next response.
    """

    def __init__(self, *, handler: Handler, limits: HttpLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[HttpConnection] = set()
        self.refused = 0
        self.stopping = False
        self.accept_scope = trio.CancelScope()

    async def serve(
        self, listeners: list[trio.SocketListener], nursery: trio.Nursery
    ) -> None:
        """Accept connections until `close` and serve them in `nursery`."""
        with self.accept_scope:
            await trio.serve_listeners(
                self._serve, listeners, handler_nursery=nursery
            )
        for listener in listeners:
            await listener.aclose()

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = HttpConnection(
            stream=stream,
            handler=self.handler,
            limits=self.limits,
            is_stopping=lambda: self.stopping,
        )
        if len(self.connections) >= self.limits.max_connections:
            await self._refuse(connection)
            return
        self.connections.add(connection)
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
        while self.connections:
            for connection in list(self.connections):
                connection.close_if_idle()
            await trio.sleep(CLOSE_POLL_INTERVAL_S)

    def abort_receiving(self) -> None:
        """Refuse the requests that have not arrived completely."""
        for connection in list(self.connections):
            connection.abort_receiving()
