"""HTTP server side, by h11."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import http
import math

import h11
import trio

from egretcart.request.problem import bad_request
from egretcart.request.problem import MEDIA_TYPE
from egretcart.request.problem import Problem
from egretcart.request.reply import JSON_TYPE

RECEIVE_BYTES = 64 * 1024
MAX_HEADER_BYTES = 16 * 1024
ERROR_STATUS_FROM = 400


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpLimits:
    """Bounds of the HTTP server.

    Attributes
    ----------
    max_body_bytes : int
    request_timeout_s : float
        Time for a request to arrive whole, from its first byte.
    idle_timeout_s : float
        Time without a request after which a connection is closed.
    """

    max_body_bytes: int = 16 * 1024 * 1024
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 120.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A request that has arrived whole."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """A response that is sent whole, with its length.

    Attributes
    ----------
    status : int
    body : bytes
    content_type : str
    retry_after_s : float or None
    chunks : async iterator of bytes, optional
        Sent one by one in place of a body, as they come.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = JSON_TYPE
    retry_after_s: float | None = None
    chunks: AsyncIterator[bytes] | None = None


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def problem_response(problem: Problem) -> HttpResponse:
    """Return the response that carries a problem document."""
    return HttpResponse(
        status=problem.status,
        body=problem.to_json(),
        content_type=MEDIA_TYPE,
        retry_after_s=problem.retry_after_s,
    )


class RefusedRequest(Exception):
    """A request that is refused before it has arrived whole."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


class HttpConnection:
    """Serves the requests of one connection, one after the other.

    Parameters
    ----------
    stream : trio.abc.Stream
    handler : callable
        Takes an `HttpRequest`, returns an `HttpResponse`.
    limits : HttpLimits
    is_stopping : callable
        Returns whether connections should be closed after a response.
    """

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        handler: Handler,
        limits: HttpLimits,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        self.stream = stream
        self.handler = handler
        self.limits = limits
        self.is_stopping = is_stopping
        self.protocol = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=MAX_HEADER_BYTES,
        )

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_one():
                self.protocol.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(self.stream)

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            request = await self._receive()
        except h11.RemoteProtocolError as error:
            problem = bad_request(
                str(error), status=http.HTTPStatus(error.error_status_hint)
            )
            await self._send(problem_response(problem))
            return False
        except RefusedRequest as error:
            await self._send(problem_response(error.problem))
            return False
        if request is None:
            return False
        response = await self.handler(request)
        await self._send(response)
        return (
            self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
        )

    async def _receive(self) -> HttpRequest | None:
        with trio.move_on_after(self.limits.idle_timeout_s) as idle:
            head = await self._next_event()
        if idle.cancelled_caught or not isinstance(head, h11.Request):
            return None
        with trio.move_on_after(self.limits.request_timeout_s) as slow:
            body = await self._receive_body()
        if slow.cancelled_caught:
            raise RefusedRequest(
                bad_request(
                    "the request did not arrive whole in "
                    f"{self.limits.request_timeout_s} s",
                    status=http.HTTPStatus.REQUEST_TIMEOUT,
                )
            )
        return HttpRequest(
            method=head.method.decode(),
            path=head.target.decode(),
            headers={
                name.decode(): value.decode("latin-1")
                for name, value in head.headers
            },
            body=body,
        )

    async def _receive_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        if self.protocol.they_are_waiting_for_100_continue:
            go_ahead = h11.InformationalResponse(status_code=100, headers=[])
            await self._send_event(go_ahead)
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise trio.BrokenResourceError
            size += len(event.data)
            if size > self.limits.max_body_bytes:
                raise RefusedRequest(
                    bad_request(
                        "the body is too large; at most "
                        f"{self.limits.max_body_bytes} bytes are accepted",
                        status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    )
                )
            parts.append(bytes(event.data))

    async def _next_event(
        self,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self.stream.receive_some(RECEIVE_BYTES)
            self.protocol.receive_data(bytes(data))

    async def _send(self, response: HttpResponse) -> None:
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        if response.chunks is not None:
            await self._send_chunks(response, response.chunks)
            return
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        if response.retry_after_s is not None:
            seconds = str(max(1, math.ceil(response.retry_after_s)))
            headers.append(("Retry-After", seconds))
        if self.is_stopping():
            headers.append(("Connection", "close"))
        data = b"".join(
            self.protocol.send(event) or b""
            for event in (
                h11.Response(status_code=response.status, headers=headers),
                h11.Data(data=response.body),
                h11.EndOfMessage(),
            )
        )
        await self.stream.send_all(data)

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
        async for chunk in chunks:
            await self._send_event(h11.Data(data=chunk))
        await self._send_event(h11.EndOfMessage())

    async def _send_event(self, event: h11.Event) -> None:
        data = self.protocol.send(event)
        if data:
            await self.stream.send_all(data)
