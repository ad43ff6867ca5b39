"""HTTP server on h11: limits, requests, responses and connections."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import http
import math

import h11
import msgspec
import trio

from egretcart.connection.disconnect_watch import BROKEN
from egretcart.connection.disconnect_watch import SENDING_ENDED
from egretcart.connection.disconnect_watch import shared_watch
from egretcart.connection.disconnect_watch import WatchFullError
from egretcart.connection.readable import is_readable
from egretcart.connection.request_turns import shared_turns
from egretcart.connection.socket_io import receive_when_readable
from egretcart.connection.socket_io import write_now
from egretcart.request.media_types import JSON_MEDIA_TYPE
from egretcart.request.problem import bad_request
from egretcart.request.problem import Problem
from egretcart.request.problem import PROBLEM_MEDIA_TYPE
from egretcart.request.problem import unavailable
from egretcart.request.verdict import Verdict

RECEIVE_BYTES = 64 * 1024
MAX_HEADER_BYTES = 16 * 1024
REFUSAL_TIMEOUT_S = 2.0
# Heads of responses that are kept, as most responses have the same ones.
MAX_KEPT_HEADS = 64
END_OF_MESSAGE = h11.EndOfMessage()
SHUTDOWN_RETRY_AFTER_S = 0.2
OVERLOAD_RETRY_AFTER_S = 1.0


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of an HTTP server.

    Attributes
    ----------
    max_body_bytes : int
        Largest body of a request; a larger one gets status 413.
    request_timeout_s : float
        Time in seconds from the first byte of a request within which it
        must arrive completely; a later one gets status 408.
    idle_timeout_s : float
        Time in seconds without a request after which a connection is
        closed.
    send_timeout_s : float
        Time in seconds within which the other side must read a response,
        or each chunk of one.
    max_connections : int
        Connections served at a time; more are refused.
    max_header_bytes : int
        Largest header of a request.
    allows_half_close : bool
        Whether a caller that has closed its sending side may still wait for
        its response; if not, its request is cancelled.
    """

    max_body_bytes: int = 16 * 1024 * 1024
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 120.0
    send_timeout_s: float = 30.0
    max_connections: int = 4096
    max_header_bytes: int = MAX_HEADER_BYTES
    allows_half_close: bool = True


class HttpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that has arrived completely.

    Attributes
    ----------
    method, path : str
    headers : dict of str to str
        Values by lower-case names.
    body : bytes
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class HttpResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A response with a body of known length, or in chunks.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : bytes
    content_type : str
    retry_after_s : float or None
        Delay before a retry, in seconds; it is rounded up to at least one
        whole second. None sends no ``Retry-After`` header.
    chunks : async iterator of bytes, optional
        If given, each chunk is sent when it is produced, in place of
        `body`, with chunked transfer encoding.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = JSON_MEDIA_TYPE
    retry_after_s: float | None = None
    chunks: AsyncIterator[bytes] | None = None


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def problem_response(problem: Problem) -> HttpResponse:
    """Return the response with a problem document as its body."""
    return HttpResponse(
        status=problem.status,
        body=problem.to_json(),
        content_type=PROBLEM_MEDIA_TYPE,
        retry_after_s=problem.retry_after_s,
    )


@functools.lru_cache(MAX_KEPT_HEADS)
def _response_head(
    status: int,
    content_type: str,
    body_bytes: int,
    retry_after_s: float | None,
    closes: bool,
) -> h11.Response:
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(body_bytes)),
    ]
    if retry_after_s is not None:
        seconds = str(max(1, math.ceil(retry_after_s)))
        headers.append(("Retry-After", seconds))
    if closes:
        headers.append(("Connection", "close"))
    return h11.Response(status_code=status, headers=headers)


class RequestRefusedError(Exception):
    """A request that is refused before it has arrived completely."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


class HttpConnection:
    """Serves the requests of one connection, one at a time.

    Parameters
    ----------
    stream : trio.SocketStream
    handler : callable
        Async function from an `HttpRequest` to its `HttpResponse`.
    limits : HttpLimits
    is_stopping : callable
        Returns whether the connection is closed after its next response.

    Attributes
    ----------
    receive_scope : trio.CancelScope
        Scope in which a request is awaited and received.
    is_idle : bool
        Whether it waits for the first byte of a request.
    watch : DisconnectWatch
    turns : RequestTurns
    protocol : h11.Connection
    sends_bodies : bool
        Whether responses to the current request have a body; those to HEAD
        have none.
    opened_at : float
        When the connection was accepted, in seconds on the trio clock.
    """

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        handler: Handler,
        limits: HttpLimits,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self.stream = stream
        self.handler = handler
        self.limits = limits
        self.is_stopping = is_stopping
        self.opened_at = trio.current_time()
        self.receive_scope = trio.CancelScope()
        self.is_idle = False
        self.sends_bodies = True
        self.watch = shared_watch()
        self.turns = shared_turns()
        self.protocol = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=limits.max_header_bytes,
        )

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                self.protocol.start_next_cycle()
                self.sends_bodies = True
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(self.stream)

    async def refuse(self, problem: Problem) -> None:
        """Refuse the first request of a connection and close it."""
        with trio.move_on_after(REFUSAL_TIMEOUT_S):
            try:
                await self._send(problem_response(problem), close=True)
                await self._drain_input()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
        await trio.aclose_forcefully(self.stream)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self.is_idle:
            self.receive_scope.cancel()

    def abort_receiving(self) -> None:
        """Refuse a request that has not arrived completely."""
        self.receive_scope.cancel()

    async def _serve_one(self) -> bool:
        """Serve one request and return whether another may follow."""
        try:
            request = await self._receive()
        except h11.RemoteProtocolError as error:
            await self._refuse_and_close(
                bad_request(
                    str(error),
                    status=http.HTTPStatus(error.error_status_hint),
                )
            )
            return False
        except RequestRefusedError as error:
            await self._refuse_and_close(error.problem)
            return False
        if request is None:
            return False
        response = await self._handle(request)
        if response is None:
            return False
        await self._send(response)
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )

    async def _refuse_and_close(self, problem: Problem) -> None:
        await self._send(problem_response(problem), close=True)
        with trio.move_on_after(REFUSAL_TIMEOUT_S):
            await self._drain_input()

    async def _drain_input(self) -> None:
        """Read and discard data until the caller closes the connection.

        Closing with unread data would reset the connection, and the caller
        might lose the response.
        """
        await self.stream.send_eof()
        while await self.stream.receive_some(RECEIVE_BYTES):
            pass

    async def _handle(self, request: HttpRequest) -> HttpResponse | None:
        """Run the handler and return its response.

        Return None if the connection breaks before the handler has returned.
        If the limits allow half-closed connections, the end of the caller's
        data does not count: the caller may still wait for its response.
        """
        event = BROKEN if self.limits.allows_half_close else SENDING_ENDED
        scope = trio.CancelScope()
        try:
            with scope, self.watch.cancelling(scope, self.stream, event):
                return await self.handler(request)
        except WatchFullError as error:
            return problem_response(
                unavailable(
                    str(error),
                    verdict=Verdict.NOT_RUN,
                    retry_after_s=OVERLOAD_RETRY_AFTER_S,
                )
            )
        return None

    async def _receive(self) -> HttpRequest | None:
        """Wait for a request and receive it.

        Return None if the connection ends before its first byte.
        """
        with trio.CancelScope() as self.receive_scope:
            if not await self._has_first_byte():
                return None
            deadline = trio.current_time() + self.limits.request_timeout_s
            self.receive_scope.deadline = deadline
            if not await self.turns.enter():
                raise RequestRefusedError(
                    unavailable(
                        "this entry is behind with its requests",
                        verdict=Verdict.NOT_RUN,
                        retry_after_s=OVERLOAD_RETRY_AFTER_S,
                    )
                )
            return await self._receive_request()
        if self.is_idle:
            # Data may have arrived since the wait was cancelled; the request
            # is then served.
            return await self._receive() if is_readable(self.stream) else None
        # Reached only if the scope was cancelled: before the deadline, by
        # `abort_receiving`.
        if trio.current_time() < deadline:
            raise RequestRefusedError(
                unavailable(
                    "this entry is leaving; others accept the request",
                    verdict=Verdict.NOT_RUN,
                    retry_after_s=SHUTDOWN_RETRY_AFTER_S,
                )
            )
        raise RequestRefusedError(
            bad_request(
                "the request did not arrive whole in "
                f"{self.limits.request_timeout_s} s",
                status=http.HTTPStatus.REQUEST_TIMEOUT,
            )
        )

    async def _has_first_byte(self) -> bool:
        """Wait for the first byte of a request; return whether it arrived."""
        data, has_ended = self.protocol.trailing_data
        if data or has_ended:
            return bool(data)
        self.is_idle = True
        self.receive_scope.deadline = (
            trio.current_time() + self.limits.idle_timeout_s
        )
        received = await receive_when_readable(self.stream, RECEIVE_BYTES)
        self.is_idle = False
        if received:
            self.protocol.receive_data(received)
        return bool(received)

    async def _receive_request(self) -> HttpRequest | None:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        self.sends_bodies = head.method != b"HEAD"
        if head.method == b"CONNECT":
            raise RequestRefusedError(
                bad_request(
                    "CONNECT is not accepted",
                    status=http.HTTPStatus.METHOD_NOT_ALLOWED,
                )
            )
        headers = {
            name.decode(): value.decode("latin-1")
            for name, value in head.headers
        }
        self._check_size(int(headers.get("content-length", 0)))
        body = await self._receive_body()
        return HttpRequest(
            method=head.method.decode("latin-1"),
            path=head.target.decode("latin-1"),
            headers=headers,
            body=body,
        )

    def _check_size(self, size: int) -> None:
        if size <= self.limits.max_body_bytes:
            return
        raise RequestRefusedError(
            bad_request(
                f"a body of {size} bytes or more; at most "
                f"{self.limits.max_body_bytes} bytes are accepted",
                status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )
        )

    async def _receive_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        if self.protocol.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self._send_event(continue_response)
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise trio.BrokenResourceError
            size += len(event.data)
            self._check_size(size)
            parts.append(bytes(event.data))

    async def _next_event(
        self,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.protocol.receive_data(
                await receive_when_readable(self.stream, RECEIVE_BYTES)
            )

    async def _send(
        self, response: HttpResponse, *, close: bool = False
    ) -> None:
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        if response.chunks is not None:
            await self._send_chunks(response, response.chunks)
            return
        head = _response_head(
            response.status,
            response.content_type,
            len(response.body),
            response.retry_after_s,
            close or self.is_stopping(),
        )
        body = response.body if self.sends_bodies else b""
        data = b"".join(
            self.protocol.send(event) or b""
            for event in (head, h11.Data(data=body), END_OF_MESSAGE)
        )
        await self._send_all(data)

    async def _send_chunks(
        self, response: HttpResponse, chunks: AsyncIterator[bytes]
    ) -> None:
        headers = [
            ("Content-Type", response.content_type),
            ("Transfer-Encoding", "chunked"),
        ]
        await self._send_event(
            h11.Response(status_code=response.status, headers=headers)
        )
        if self.sends_bodies:
            async for chunk in chunks:
                await self._send_event(h11.Data(data=chunk))
        await self._send_event(h11.EndOfMessage())

    async def _send_event(self, event: h11.Event) -> None:
        data = self.protocol.send(event)
        if data:
            await self._send_all(data)

    async def _send_all(self, data: bytes) -> None:
        unsent = write_now(self.stream, data)
        if not unsent:
            return
        with trio.move_on_after(self.limits.send_timeout_s):
            await self.stream.send_all(unsent)
            return
        raise trio.BrokenResourceError("the peer does not read")
