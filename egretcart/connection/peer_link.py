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
from egretcart.connection.traffic import Traffic

RECEIVE_BYTES = 256 * 1024
MAX_WAITING_BYTES = 64 * 1024 * 1024
BATCH_BYTES = 8 * 1024 * 1024
HELLO_LIMIT_S = 5.0
WATCH_INTERVAL_S = 1.0
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_LIMIT_MS = 10_000


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
    find_fault: Callable[[Any], str | None]


def detect_dead_peer(stream: trio.abc.Stream) -> None:
    """Let the system end the connection if the other host is gone."""
    if not isinstance(stream, trio.SocketStream):
        return
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
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
        traffic: Traffic | None = None,
        hello_limit_s: float = HELLO_LIMIT_S,
    ) -> None:
        self.stream = stream
        self.protocol = protocol
        self.traffic = traffic or Traffic()
        self.hello_limit_s = hello_limit_s
        self.outbox: list[Any] = []
        self.waiting_bytes = 0
        self.is_sending = False
        self.unsent = b""
        self.expected_by = float("inf")
        self.silence_limit_s = float("inf")
        self.introduced = False
        self.wake = trio.Event()
        self.scope = trio.CancelScope()

    def send(self, message: Any) -> None:
        """Queue a message; a peer that does not read loses the link."""
        self.post(message)
        self.wake.set()

    def post(self, message: Any) -> None:
        """Queue a message that is sent with the next flush."""
        if self.scope.cancel_called:
            return
        self.outbox.append(message)
        self.waiting_bytes += self.protocol.message_bytes(message)
        if self.waiting_bytes > MAX_WAITING_BYTES and self.is_sending:
            self.close()

    def flush(self) -> None:
        """Hand queued messages to the system without a turn of the loop.

        What the system does not take at once is sent as by `send`.
        """
        if not self.outbox:
            return
        if self.is_sending or not isinstance(self.stream, trio.SocketStream):
            self.wake.set()
            return
        frame = self._next_frame()
        try:
            taken = os.write(self.stream.socket.fileno(), frame)
        except BlockingIOError:
            taken = 0
        except OSError:
            # The reader meets the same error and ends the link.
            self.close()
            return
        self.unsent = frame[taken:]
        self.is_sending = bool(self.unsent)
        if self.outbox or self.unsent:
            self.wake.set()

    @property
    def is_flushed(self) -> bool:
        """Whether all messages were handed to the system."""
        return not self.outbox and not self.is_sending

    def introduce(self, *, silence_limit_s: float = float("inf")) -> None:
        """Note the peer's introduction.

        Parameters
        ----------
        silence_limit_s : float, optional
            Longest time between two receptions from now on.
        """
        self.introduced = True
        self.silence_limit_s = silence_limit_s
        self._note_reception()

    def expect_reply(self, limit_s: float) -> None:
        """Close the link unless something is received in time."""
        limit = trio.current_time() + limit_s
        self.expected_by = min(self.expected_by, limit)

    def _note_reception(self) -> None:
        if self.introduced:
            self.expected_by = trio.current_time() + self.silence_limit_s

    def close(self) -> None:
        """Break the connection off; what waits is dropped."""
        self.outbox.clear()
        self.waiting_bytes = 0
        self.scope.cancel()

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
            self.waiting_bytes += self.protocol.message_bytes(message)
        if self.outbox:
            self.wake.set()
        detect_dead_peer(self.stream)
        self.expect_reply(self.hello_limit_s)
        with self.scope:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    nursery.start_soon(self._watch)
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
            self._note_reception()
            for message in received:
                if self.protocol.find_fault(message) is not None:
                    return
                handle(message)

    async def _watch(self) -> None:
        """Close the link to a peer that is silent for too long.

        The second look spares a peer whose data waits because this process
        itself was paused.
        """
        overdue = False
        while True:
            await trio.sleep(WATCH_INTERVAL_S)
            was_overdue = overdue
            overdue = trio.current_time() > self.expected_by
            if overdue and was_overdue:
                self.close()

    async def _write(self) -> None:
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            self.is_sending = True
            unsent, self.unsent = self.unsent, b""
            if unsent:
                await self.stream.send_all(unsent)
            while self.outbox:
                await self.stream.send_all(self._next_frame())
            self.is_sending = False

    def _take_batch(self) -> list[Any]:
        if self.waiting_bytes <= BATCH_BYTES:
            batch, self.outbox = self.outbox, []
            self.waiting_bytes = 0
            return batch
        size = count = 0
        for message in self.outbox:
            size += self.protocol.message_bytes(message)
            count += 1
            if size >= BATCH_BYTES:
                break
        batch, self.outbox = self.outbox[:count], self.outbox[count:]
        self.waiting_bytes -= size
        return batch

    def _next_frame(self) -> bytes:
        batch = self._take_batch()
        frame = self.protocol.codec.encode(batch)
        self.traffic.sent(batch, len(frame))
        return frame
