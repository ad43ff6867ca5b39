"""A connection between two processes, whatever messages they exchange."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import os
import socket
from typing import Any

import trio

from egretcart.connection.frames import FrameCodec
from egretcart.connection.frames import FrameError
from egretcart.connection.frames import FrameSplitter
from egretcart.connection.traffic import TrafficCounters

RECEIVE_BYTES = 256 * 1024
MAX_OUTBOX_BYTES = 64 * 1024 * 1024
MAX_BATCH_BYTES = 8 * 1024 * 1024
HELLO_TIMEOUT_S = 5.0
RECEIVE_CHECK_INTERVAL_S = 1.0
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LinkProtocol:
    """What a link has to know of the messages that it moves.

    Attributes
    ----------
    codec : FrameCodec
    message_bytes : callable
        Returns about how much memory a message takes.
    find_fault : callable
        Returns what is wrong with a received message, or None.
    """

    codec: FrameCodec
    message_bytes: Callable[[Any], int]
    find_violation: Callable[[Any], str | None]


def enable_keepalive(stream: trio.abc.Stream) -> None:
    """Let the system end the connection if the other host is gone."""
    if not isinstance(stream, trio.SocketStream):
        return
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        stream.setsockopt(socket.IPPROTO_TCP, option, value)


class PeerLink:
    """Sends batches of messages and hands over those received.

    All messages that are sent in one turn of the loop travel in one frame.

    Parameters
    ----------
    stream : trio.abc.Stream
    protocol : LinkProtocol
    traffic : Traffic, optional
        Counts of the process.
    hello_limit_s : float, optional
        Time for the peer to introduce itself.

    Attributes
    ----------
    outbox : list of messages
    unsent : bytes
        Rest of a frame that the system did not take at once.
    waiting_bytes : int
        About the size of the outbox.
    expected_by : float
        Time of the loop's clock by which something must be received; a
        peer that stays silent loses the link.
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
        self.protocol = protocol
        self.traffic = traffic or TrafficCounters()
        self.hello_timeout_s = hello_timeout_s
        self.outbox: list[Any] = []
        self.outbox_bytes = 0
        self.is_sending = False
        self.unsent_data = b""
        self.receive_deadline = float("inf")
        self.receive_timeout_s = float("inf")
        self.hello_received = False
        self.send_requested = trio.Event()
        self.run_scope = trio.CancelScope()

    def send(self, message: Any) -> None:
        """Queue a message; a peer that does not read loses the link."""
        self.post(message)
        self.send_requested.set()

    def post(self, message: Any) -> None:
        """Queue a message that is sent with the next flush."""
        if self.run_scope.cancel_called:
            return
        self.outbox.append(message)
        self.outbox_bytes += self.protocol.message_bytes(message)
        if self.outbox_bytes > MAX_OUTBOX_BYTES and self.is_sending:
            self.close()

    def flush(self) -> None:
        """Hand queued messages to the system without a turn of the loop.

        What the system does not take at once is sent as by `send`.
        """
        if not self.outbox:
            return
        if self.is_sending or not isinstance(self.stream, trio.SocketStream):
            self.send_requested.set()
            return
        frame = self._next_frame()
        try:
            written_bytes = os.write(self.stream.socket.fileno(), frame)
        except BlockingIOError:
            written_bytes = 0
        except OSError:
            # The reader meets the same error and ends the link.
            self.close()
            return
        self.unsent_data = frame[written_bytes:]
        self.is_sending = bool(self.unsent_data)
        if self.outbox or self.unsent_data:
            self.send_requested.set()

    @property
    def is_flushed(self) -> bool:
        """Whether all messages were handed to the system."""
        return not self.outbox and not self.is_sending

    def confirm_hello(
        self, *, receive_timeout_s: float = float("inf")
    ) -> None:
        """Note the peer's introduction.

        Parameters
        ----------
        silence_limit_s : float, optional
            Longest time between two receptions from now on.
        """
        self.hello_received = True
        self.receive_timeout_s = receive_timeout_s
        self._extend_receive_deadline()

    def require_receive_within(self, limit_s: float) -> None:
        """Close the link unless something is received in time."""
        limit = trio.current_time() + limit_s
        self.receive_deadline = min(self.receive_deadline, limit)

    def _extend_receive_deadline(self) -> None:
        if self.hello_received:
            self.receive_deadline = (
                trio.current_time() + self.receive_timeout_s
            )

    def close(self) -> None:
        """Break the connection off; what waits is dropped."""
        self.outbox.clear()
        self.outbox_bytes = 0
        self.run_scope.cancel()

    async def run(
        self, handle: Callable[[Any], None], *, first: Iterable[Any]
    ) -> None:
        """Move messages until the connection ends.

        Parameters
        ----------
        handle : callable
            Called with each received message.
        first : iterable of messages
            Sent before anything else.
        """
        for message in reversed(list(first)):
            self.outbox.insert(0, message)
            self.outbox_bytes += self.protocol.message_bytes(message)
        if self.outbox:
            self.send_requested.set()
        enable_keepalive(self.stream)
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
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                return
            self.traffic.bytes_received += len(data)
            try:
                received = frames.feed(bytes(data))
            except FrameError:
                return
            self._extend_receive_deadline()
            for message in received:
                if self.protocol.find_violation(message) is not None:
                    return
                handle(message)

    async def _enforce_receive_deadline(self) -> None:
        """Close the link to a peer that is silent for too long.

        The second look spares a peer whose data waits because this process
        itself was paused.
        """
        overdue = False
        while True:
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
