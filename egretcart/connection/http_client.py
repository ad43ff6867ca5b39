"""HTTP client on h11 that gives a verdict for every failed exchange."""

from collections.abc import Callable
import functools
import socket
import struct

import h11
import msgspec
import trio

from egretcart.connection.connecting import open_stream
from egretcart.connection.readable import is_readable
from egretcart.connection.socket_io import receive_when_readable
from egretcart.connection.socket_io import set_option
from egretcart.connection.socket_io import write_now
from egretcart.request.verdict import Verdict

RECEIVE_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Servers that close idle connections do so after two seconds or more. A
# request that is sent while the server closes has an unknown outcome.
MAX_IDLE_S = 1.5
# Heads of requests that are kept, as the same ones are sent again and again.
MAX_KEPT_HEADS = 32
# SO_LINGER with a time of zero: closing the socket resets the connection.
ZERO_LINGER = struct.pack("ii", 1, 0)
END_OF_MESSAGE = h11.EndOfMessage()
BODILESS_STATUSES = (204, 304)


class ExchangeError(Exception):
    """An exchange that has ended without a complete response.

    Attributes
    ----------
    verdict : Verdict
        `NOT_RUN` if no byte of the request was sent.
    refused : bool
        Whether no process listens at the server's address.
    """

    def __init__(
        self, reason: str, verdict: Verdict, *, refused: bool = False
    ) -> None:
        super().__init__(reason)
        self.verdict = verdict
        self.refused = refused


class ClientResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A response that has arrived completely.

    Attributes
    ----------
    status : int
    headers : dict of str to str
        Values by lower-case names.
    body : bytes
    """

    status: int
    headers: dict[str, str]
    body: bytes


class ClientConnection(msgspec.Struct):
    """A persistent connection, which exchanges one request at a time.

    Attributes
    ----------
    stream : trio.SocketStream
    protocol : h11.Connection
    idle_since : float
        Time on the trio clock since which it has been idle, in seconds.
    """

    stream: trio.SocketStream
    protocol: h11.Connection
    idle_since: float = 0.0


def _always_send() -> None:
    """Return None: allow every request to be sent."""


class HttpClient:
    """Exchanges requests with one server over persistent connections.

    Parameters
    ----------
    host : str
    port : int
    max_connections : int
        Connections that may be open at a time, including idle ones.

    Attributes
    ----------
    resets_refused : int
        Broken exchanges whose connection the operating system did not let
        be reset, so that it was closed in order.
    """

    def __init__(self, *, host: str, port: int, max_connections: int) -> None:
        self.host = host
        self.port = port
        self.resets_refused = 0
        self.idle_connections: list[ClientConnection] = []
        self.make_head = functools.lru_cache(MAX_KEPT_HEADS)(self._make_head)
        self.limiter = trio.CapacityLimiter(max_connections)

    async def exchange(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        time_limit_s: float,
        progress_limit_s: float | None = None,
        check_before_send: Callable[[], str | None] = _always_send,
    ) -> ClientResponse:
        """Send one request and return its response.

        Parameters
        ----------
        method, path : str
        body : bytes, optional
        headers : tuple of pairs of str, optional
        time_limit_s : float
            Limit of the whole exchange, in seconds; includes the wait for
            a free connection.
        progress_limit_s : float or None, optional
            If given, a response that has begun is received for as long as
            no pause between its parts exceeds this limit, in seconds, even
            beyond `time_limit_s`.
        check_before_send : callable, optional
            Called once a connection is free, immediately before the first
            byte is written. If it returns a reason, the request is not
            sent and the exchange fails with `NOT_RUN`; None lets it be
            sent.

        Returns
        -------
        ClientResponse

        Raises
        ------
        ExchangeError
            If no complete response arrived; its verdict says whether the
            server may have acted on the request.
        """
        progress = _ExchangeProgress()
        head = self.make_head(method, path, len(body), headers)
        with trio.move_on_after(time_limit_s) as scope:

            def extend_time_limit() -> None:
                if progress_limit_s is not None:
                    scope.deadline = max(
                        scope.deadline, trio.current_time() + progress_limit_s
                    )

            await self._acquire_permit()
            try:
                connection = self._idle_connection() or await self._connect()
                self._raise_if_refused(connection, check_before_send)
                progress.verdict = Verdict.MAY_HAVE_RUN
                return await self._run_connection(
                    connection, head, body, extend_time_limit
                )
            finally:
                self.limiter.release()
        raise ExchangeError(
            f"no response in {time_limit_s:.3f} s", progress.verdict
        )

    async def _acquire_permit(self) -> None:
        """Wait for a permit to use a connection, if none is free."""
        await trio.lowlevel.checkpoint_if_cancelled()
        try:
            self.limiter.acquire_nowait()
        except trio.WouldBlock:
            await self.limiter.acquire()

    def _make_head(
        self,
        method: str,
        path: str,
        body_bytes: int,
        headers: tuple[tuple[str, str], ...],
    ) -> h11.Request:
        return h11.Request(
            method=method,
            target=path,
            headers=[
                ("Host", f"{self.host}:{self.port}"),
                ("Content-Length", str(body_bytes)),
                *headers,
            ],
        )

    async def _connect(self) -> ClientConnection:
        try:
            stream = await open_stream(self.host, self.port)
        except OSError as error:
            raise ExchangeError(
                str(error), Verdict.NOT_RUN, refused=_is_refused(error)
            ) from error
        return ClientConnection(stream, h11.Connection(our_role=h11.CLIENT))

    def _raise_if_refused(
        self,
        connection: ClientConnection,
        check_before_send: Callable[[], str | None],
    ) -> None:
        """Raise if the request may not be sent; keep the unused connection."""
        reason = check_before_send()
        if reason is not None:
            self._return_to_pool(connection)
            raise ExchangeError(reason, Verdict.NOT_RUN)

    async def _run_connection(
        self,
        connection: ClientConnection,
        head: h11.Request,
        body: bytes,
        on_progress: Callable[[], None],
    ) -> ClientResponse:
        """Send a request and receive its response.

        No other task runs between the call and the sending of the first
        byte, so the caller's check still holds.
        """
        response: ClientResponse | None = None
        stream = connection.stream
        try:
            unsent = write_now(stream, _encode(connection, head, body))
            if unsent:
                await stream.send_all(unsent)
            response = await _receive_response(connection, on_progress)
            return response
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ) as error:
            raise ExchangeError(
                f"the exchange broke: {error!r}", Verdict.MAY_HAVE_RUN
            ) from error
        finally:
            if response is None:
                self._reset_connection(stream)
            elif _is_reusable(connection.protocol):
                connection.protocol.start_next_cycle()
                self._return_to_pool(connection)
            else:
                stream.socket.close()

    def _reset_connection(self, stream: trio.SocketStream) -> None:
        """Reset a connection, so that the server need not finish the exchange.

        After an orderly close, the server may assume a half-closed connection
        whose client still waits for the response.
        """
        if not set_option(
            stream, socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER
        ):
            self.resets_refused += 1
        stream.socket.close()

    def _return_to_pool(self, connection: ClientConnection) -> None:
        connection.idle_since = trio.current_time()
        self.idle_connections.append(connection)

    def _idle_connection(self) -> ClientConnection | None:
        """Return an idle connection that the server has not closed.

        Return None if there is none.
        """
        oldest = trio.current_time() - MAX_IDLE_S
        while self.idle_connections:
            kept = self.idle_connections.pop()
            if kept.idle_since >= oldest and not is_readable(kept.stream):
                return kept
            kept.stream.socket.close()
        return None

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self.idle_connections:
            await trio.aclose_forcefully(self.idle_connections.pop().stream)


class _ExchangeProgress(msgspec.Struct):
    """The verdict of an exchange if it ended now without a response."""

    verdict: Verdict = Verdict.NOT_RUN


def _encode(
    connection: ClientConnection, head: h11.Request, body: bytes
) -> bytes:
    events = (head, h11.Data(data=body), END_OF_MESSAGE)
    send = connection.protocol.send
    return b"".join(send(event) or b"" for event in events)


def _is_reusable(protocol: h11.Connection) -> bool:
    """Whether a connection can be used for another request.

    It can't if the server closes it, or has sent more than a response.
    """
    return (
        protocol.our_state is h11.DONE
        and protocol.their_state is h11.DONE
        and not protocol.trailing_data[0]
    )


def _is_refused(error: OSError) -> bool:
    """Return whether every address that was tried refused the connection."""
    causes = error.__cause__
    if not isinstance(causes, ExceptionGroup):
        return isinstance(error, ConnectionRefusedError)
    return all(
        isinstance(cause, ConnectionRefusedError)
        for cause in causes.exceptions
    )


def _check_framing(head: h11.Response) -> None:
    """Reject a body that ends with the connection.

    Its end can't be distinguished from a broken connection.
    """
    if head.status_code in BODILESS_STATUSES:
        return
    names = {name for name, _ in head.headers}
    if names.isdisjoint((b"content-length", b"transfer-encoding")):
        raise h11.RemoteProtocolError(
            "a response without Content-Length or Transfer-Encoding; a body "
            "that ends with the connection is not accepted"
        )


async def _receive_response(
    connection: ClientConnection, on_progress: Callable[[], None]
) -> ClientResponse:
    protocol = connection.protocol
    head: h11.Response | None = None
    parts: list[bytes] = []
    size = 0
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            received = await receive_when_readable(
                connection.stream, RECEIVE_BYTES
            )
            if received:
                on_progress()
            protocol.receive_data(received)
        elif isinstance(event, h11.Response):
            head = event
            _check_framing(head)
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > MAX_RESPONSE_BYTES:
                raise h11.RemoteProtocolError("the response is too large")
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return ClientResponse(
                status=head.status_code,
                headers={
                    name.decode(): value.decode("latin-1")
                    for name, value in head.headers
                },
                body=b"".join(parts),
            )
        elif isinstance(event, h11.ConnectionClosed):
            raise trio.BrokenResourceError
