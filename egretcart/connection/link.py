"""A connection between two of egretcart's processes."""

from collections.abc import Callable
from collections.abc import Iterable

import trio

from egretcart.connection.codec import encode_frame
from egretcart.connection.codec import FrameBuffer
from egretcart.connection.codec import FrameError
from egretcart.connection.messages import Message
from egretcart.connection.traffic import Traffic

RECEIVE_BYTES = 256 * 1024
MAX_WAITING_MESSAGES = 100_000


class Link:
    """Sends batches of messages and hands over those received.

    All messages that are sent in one turn of the loop travel in one frame.

    Parameters
    ----------
    stream : trio.abc.Stream
    traffic : Traffic, optional
        Counts of the process.

    Attributes
    ----------
    outbox : list of Message
    """

    def __init__(
        self, *, stream: trio.abc.Stream, traffic: Traffic | None = None
    ) -> None:
        self.stream = stream
        self.traffic = traffic or Traffic()
        self.outbox: list[Message] = []
        self.wake = trio.Event()
        self.scope = trio.CancelScope()

    def send(self, message: Message) -> None:
        """Queue a message; a peer that does not read loses the link."""
        self.outbox.append(message)
        if len(self.outbox) > MAX_WAITING_MESSAGES:
            self.close()
        self.wake.set()

    def close(self) -> None:
        """Break the connection off."""
        self.scope.cancel()

    async def run(
        self, handle: Callable[[Message], None], *, first: Iterable[Message]
    ) -> None:
        """Move messages until the connection ends.

        Parameters
        ----------
        handle : callable
            Called with each received message.
        first : iterable of Message
            Sent before anything else.
        """
        self.outbox[:0] = first
        if self.outbox:
            self.wake.set()
        with self.scope:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read(handle)
                    nursery.cancel_scope.cancel()
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
        await trio.aclose_forcefully(self.stream)

    async def _read(self, handle: Callable[[Message], None]) -> None:
        frames = FrameBuffer()
        while True:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                return
            self.traffic.bytes_received += len(data)
            try:
                received = frames.feed(bytes(data))
            except FrameError:
                return
            for message in received:
                handle(message)

    async def _write(self) -> None:
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            batch, self.outbox = self.outbox, []
            if not batch:
                continue
            frame = encode_frame(batch)
            self.traffic.sent(batch, len(frame))
            await self.stream.send_all(frame)
