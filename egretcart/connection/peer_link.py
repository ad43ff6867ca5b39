"""A connection between two processes, for the messages of any protocol."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import socket
from typing import Any

import msgspec
import trio

from egretcart.connection.frames import FrameCodec
from egretcart.connection.frames import FrameError
from egretcart.connection.frames import FrameSplitter
from egretcart.connection.socket_io import receive_when_readable
from egretcart.connection.socket_io import set_option
from egretcart.connection.socket_io import write_now
from egretcart.connection.traffic import TrafficCounters

RECEIVE_BYTES = 64 * 1024
MAX_OUTBOX_BYTES = 64 * 1024 * 1024
MAX_BATCH_BYTES = 8 * 1024 * 1024
HELLO_TIMEOUT_S = 5.0
RECEIVE_CHECK_INTERVAL_S = 1.0
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 10_000


class LinkProtocol(msgspec.Struct, frozen=True, kw_only=True):
    """The protocol of a link: its codec, message sizes and checks.

    Attributes
    ----------
    codec : FrameCodec
        Encodes and decodes the messages.
    message_bytes : callable
        Returns roughly how much memory a message takes, in bytes.
    find_violation : callable
        Returns what is invalid in a received message, or None.
    """

    codec: FrameCodec
    message_bytes: Callable[[Any], int]
    find_violation: Callable[[Any], str | None]


def enable_keepalive(
    stream: trio.abc.Stream, traffic: TrafficCounters
) -> None:
    """Let the operating system end the connection if the peer's host is gone.

    Sets TCP keepalive and the limit for unacknowledged data. Options that
    the operating system refuses are counted; without them, heartbeats and
    time limits alone end the connection.
    """
    if not isinstance(stream, trio.SocketStream):
        return
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        if not set_option(stream, level, option, value):
            traffic.options_refused += 1


class PeerLink:
    """Sends messages in batches and passes received ones to a handler.

    All messages that are sent in one turn of the event loop share a frame,
    up to `MAX_BATCH_BYTES`.

    Parameters
    ----------
    stream : trio.abc.Stream
    protocol : LinkProtocol
    traffic : TrafficCounters, optional
        Counters of the process.
    hello_timeout_s : float, optional
        Time in seconds within which the peer must introduce itself.

    Attributes
    ----------
    socket_stream : trio.SocketStream or None
        The stream, unless a test has given one of another kind.
    outbox : list of messages
        Messages that wait to be sent.
    outbox_bytes : int
        Approximate size of the outbox.
    is_sending : bool
        Whether part of a frame, or more, is still being written.
    unsent_data : bytes
        Rest of a frame that the operating system did not accept at once.
    receive_deadline : float
        Time of the event loop's clock by which data must be received;
        otherwise the link is closed. Infinity means no deadline.
    receive_timeout_s : float
        Longest time in seconds between two receptions, once the peer has
        introduced itself.
    hello_received : bool
        Whether the peer has introduced itself.
    deadline_set : trio.Event
        Set once `receive_deadline` is finite.
    send_requested : trio.Event
        Set when the writer has something to send.
    run_scope : trio.CancelScope
        Cancelled when the link is closed.
    violation : str
        What the peer has sent that is invalid, which has ended the link;
        empty if it has not.
    """

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        protocol: LinkProtocol,
        traffic: TrafficCounters | None = None,
        hello_timeout_s: float = HELLO_TIMEOUT_S,
    ) -> None:
        self.stream = stream
        self.socket_stream = (
            stream if isinstance(stream, trio.SocketStream) else None
        )
        self.protocol = protocol
        self.traffic = traffic or TrafficCounters()
        self.hello_timeout_s = hello_timeout_s
        self.outbox: list[Any] = []
        self.outbox_bytes = 0
        self.is_sending = False
        self.unsent_data = b""
        self.receive_deadline = math.inf
        self.receive_timeout_s = math.inf
        self.hello_received = False
        self.deadline_set = trio.Event()
        self.send_requested = trio.Event()
        self.run_scope = trio.CancelScope()
        self.violation = ""

    def send(self, message: Any) -> None:
        """Queue a message and send it soon.

        The link is closed if the peer does not read and the outbox exceeds
        `MAX_OUTBOX_BYTES`.
        """
        self.post(message)
        self.send_requested.set()

    def post(self, message: Any) -> None:
        """Queue a message that is sent with the next `flush` or `send`."""
        if self.run_scope.cancel_called:
            return
        self.outbox.append(message)
        self.outbox_bytes += self.protocol.message_bytes(message)
        if self.outbox_bytes > MAX_OUTBOX_BYTES and self.is_sending:
            self.close()

    def flush(self) -> None:
        """Write queued messages without waiting for a turn of the event loop.

        What the operating system does not accept at once is sent as if by
        `send`.
        """
        if not self.outbox:
            return
        if self.is_sending or self.socket_stream is None:
            self.send_requested.set()
            return
        frame = self._next_frame()
        try:
            self.unsent_data = write_now(self.socket_stream, frame)
        except trio.BrokenResourceError:
            # `_read` gets the same error and ends the link.
            self.close()
            return
        self.is_sending = bool(self.unsent_data)
        if self.outbox or self.unsent_data:
            self.send_requested.set()

    @property
    def is_flushed(self) -> bool:
        """Whether the operating system has accepted all messages."""
        return not self.outbox and not self.is_sending

    def confirm_hello(self, *, receive_timeout_s: float = math.inf) -> None:
        """Record that the peer has introduced itself.

        Parameters
        ----------
        receive_timeout_s : float, optional
            Longest time in seconds between two receptions from now on.
            Infinity means no limit.
        """
        self.hello_received = True
        self.receive_timeout_s = receive_timeout_s
        self._extend_receive_deadline()

    def require_receive_within(self, limit_s: float) -> None:
        """Close the link unless data is received within `limit_s` seconds."""
        limit = trio.current_time() + limit_s
        self._set_receive_deadline(min(self.receive_deadline, limit))

    def _extend_receive_deadline(self) -> None:
        if not self.hello_received:
            return
        if self.receive_timeout_s == math.inf:
            self.receive_deadline = math.inf
        else:
            self._set_receive_deadline(
                trio.current_time() + self.receive_timeout_s
            )

    def _set_receive_deadline(self, deadline: float) -> None:
        self.receive_deadline = deadline
        if deadline < math.inf:
            self.deadline_set.set()

    def close(self) -> None:
        """Close the connection and discard the messages that wait."""
        self.outbox.clear()
        self.outbox_bytes = 0
        self.run_scope.cancel()

    async def run(
        self, handle: Callable[[Any], None], *, first: Iterable[Any]
    ) -> None:
        """Send and receive messages until the connection ends.

        Parameters
        ----------
        handle : callable
            Called with each received message.
        first : iterable of messages
            Sent before all other messages.
        """
        for message in reversed(list(first)):
            self.outbox.insert(0, message)
            self.outbox_bytes += self.protocol.message_bytes(message)
        if self.outbox:
            self.send_requested.set()
        enable_keepalive(self.stream, self.traffic)
        self.require_receive_within(self.hello_timeout_s)
        with self.run_scope:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    nursery.start_soon(self._enforce_receive_deadline)
                    await self._read(handle)
                    nursery.cancel_scope.cancel()
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
        await trio.aclose_forcefully(self.stream)

    async def _read(self, handle: Callable[[Any], None]) -> None:
        frames = FrameSplitter(codec=self.protocol.codec)
        while True:
            data = await self._receive()
            if not data:
                return
            self.traffic.bytes_received += len(data)
            try:
                received = frames.feed(data)
            except FrameError as error:
                self.violation = str(error)
                return
            self._extend_receive_deadline()
            for message in received:
                self.violation = self.protocol.find_violation(message) or ""
                if self.violation:
                    return
                handle(message)

    async def _receive(self) -> bytes:
        if self.socket_stream is None:
            return bytes(await self.stream.receive_some(RECEIVE_BYTES))
        return await receive_when_readable(self.socket_stream, RECEIVE_BYTES)

    async def _enforce_receive_deadline(self) -> None:
        """Close the link if nothing is received by the deadline.

        The link is closed only if two checks in a row find it overdue. If
        this process itself was paused, received data may still wait, and is
        read before the second check.
        """
        overdue = False
        while True:
            if self.receive_deadline == math.inf:
                self.deadline_set = trio.Event()
                await self.deadline_set.wait()
            await trio.sleep(RECEIVE_CHECK_INTERVAL_S)
            was_overdue = overdue
            overdue = trio.current_time() > self.receive_deadline
            if overdue and was_overdue:
                self.close()

    async def _write(self) -> None:
        while True:
            await self.send_requested.wait()
            self.send_requested = trio.Event()
            self.is_sending = True
            unsent_data, self.unsent_data = self.unsent_data, b""
            if unsent_data:
                await self.stream.send_all(unsent_data)
            while self.outbox:
                await self.stream.send_all(self._next_frame())
            self.is_sending = False

    def _pop_batch(self) -> list[Any]:
        if self.outbox_bytes <= MAX_BATCH_BYTES:
            batch, self.outbox = self.outbox, []
            self.outbox_bytes = 0
            return batch
        size = count = 0
        for message in self.outbox:
            size += self.protocol.message_bytes(message)
            count += 1
            if size >= MAX_BATCH_BYTES:
                break
        batch, self.outbox = self.outbox[:count], self.outbox[count:]
        self.outbox_bytes -= size
        return batch

    def _next_frame(self) -> bytes:
        batch = self._pop_batch()
        frame = self.protocol.codec.encode(batch)
        self.traffic.sent(batch, len(frame))
        return frame
