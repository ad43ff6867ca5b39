"""HTTP client for a response that streams lines without a fixed end."""

from collections.abc import Callable

import h11
import trio

from egretcart.connection.connecting import open_stream
from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import RECEIVE_BYTES
from egretcart.request.verdict import Verdict

HTTP_OK = 200
MAX_LINE_BYTES = 4 * 1024 * 1024


async def stream_lines(
    *,
    host: str,
    port: int,
    path: str,
    body: bytes,
    head_timeout_s: float,
    handle: Callable[[bytes], None],
) -> None:
    """Post a request and call a function with each line of the response.

    Returns when the server ends the response; cancel it to stop earlier.

    Parameters
    ----------
    host : str
    port : int
    path : str
    body : bytes
    head_timeout_s : float
        Time in seconds within which the head of the response must arrive.
    handle : callable
        Called with each line that is not empty, without its line feed.

    Raises
    ------
    ExchangeError
        If the response does not begin in time, has another status than 200
        or ends before it is complete.
    """
    protocol = h11.Connection(our_role=h11.CLIENT)
    stream: trio.SocketStream | None = None
    try:
        with trio.move_on_after(head_timeout_s) as head_scope:
            stream = await open_stream(host, port)
            await stream.send_all(_request(protocol, host, port, path, body))
            head = await _next_event(stream, protocol)
        if head_scope.cancelled_caught:
            raise ExchangeError(
                f"no response in {head_timeout_s:.3f} s", Verdict.MAY_HAVE_RUN
            )
        if not isinstance(head, h11.Response) or head.status_code != HTTP_OK:
            raise ExchangeError(f"answered {head!r}", Verdict.NOT_RUN)
        assert stream is not None
        await _deliver_lines(stream, protocol, handle)
    except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
        raise ExchangeError(
            f"the stream broke: {error!r}", Verdict.MAY_HAVE_RUN
        ) from error
    finally:
        if stream is not None:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


def _request(
    protocol: h11.Connection, host: str, port: int, path: str, body: bytes
) -> bytes:
    request = h11.Request(
        method="POST",
        target=path,
        headers=[
            ("Host", f"{host}:{port}"),
            ("Content-Length", str(len(body))),
        ],
    )
    events = (request, h11.Data(data=body), h11.EndOfMessage())
    return b"".join(protocol.send(event) or b"" for event in events)


async def _next_event(
    stream: trio.SocketStream, protocol: h11.Connection
) -> h11.Event | type[h11.PAUSED]:
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event  # type: ignore[return-value]
        protocol.receive_data(bytes(await stream.receive_some(RECEIVE_BYTES)))


async def _deliver_lines(
    stream: trio.SocketStream,
    protocol: h11.Connection,
    handle: Callable[[bytes], None],
) -> None:
    pending = b""
    while True:
        event = await _next_event(stream, protocol)
        if isinstance(event, h11.EndOfMessage):
            return
        if not isinstance(event, h11.Data):
            raise trio.BrokenResourceError(f"unexpected {event!r}")
        *lines, pending = (pending + bytes(event.data)).split(b"\n")
        if len(pending) > MAX_LINE_BYTES:
            raise trio.BrokenResourceError("a line is too long")
        for line in lines:
            if line:
                handle(line)
