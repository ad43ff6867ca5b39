"""Notices that the other side of a connection has left."""

from collections.abc import Iterator
import contextlib
import errno
import select

import trio

# The other side has closed its sending side. This is reported even if data
# that it sent before has not been read.
SENDING_ENDED = select.EPOLLRDHUP
# Of a broken connection alone, which is always reported.
BROKEN = 0
# The user's watched descriptors or the memory for them are used up.
FULL_ERRNOS = (errno.ENOSPC, errno.ENOMEM)


class WatchFullError(Exception):
    """The operating system watches no more connections."""


class DisconnectWatch:
    """Cancels scopes when connections end; one task waits for all of them.

    Attributes
    ----------
    epoll : select.epoll
        Has the sockets of all watched connections registered.
    scopes : dict of int to trio.CancelScope
        Scope to cancel, by the file descriptor of the socket.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.scopes: dict[int, trio.CancelScope] = {}

    async def run(self) -> None:
        """Cancel the scopes of connections that end, until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self.epoll.fileno())
            for descriptor, _ in self.epoll.poll(0):
                self.scopes[descriptor].cancel()

    @contextlib.contextmanager
    def cancelling(
        self, scope: trio.CancelScope, stream: trio.SocketStream, event: int
    ) -> Iterator[None]:
        """Cancel a scope if a connection ends inside a ``with`` block.

        Parameters
        ----------
        scope : trio.CancelScope
        stream : trio.SocketStream
            Must not be closed in the block.
        event : int
            `SENDING_ENDED` or `BROKEN`.

        Raises
        ------
        WatchFullError
            Before the block is entered.
        """
        descriptor = stream.socket.fileno()
        # A scope may take a while to end; it needs no second report.
        try:
            self.epoll.register(descriptor, event | select.EPOLLONESHOT)
        except OSError as error:
            if error.errno not in FULL_ERRNOS:
                raise
            raise WatchFullError(f"no watch: {error}") from error
        self.scopes[descriptor] = scope
        try:
            yield
        finally:
            del self.scopes[descriptor]
            self.epoll.unregister(descriptor)


_WATCH: trio.lowlevel.RunVar[DisconnectWatch] = trio.lowlevel.RunVar(
    "egretcart.DisconnectWatch"
)


def shared_watch() -> DisconnectWatch:
    """Return the watch of the running event loop."""
    try:
        return _WATCH.get()
    except LookupError:
        watch = DisconnectWatch()
        trio.lowlevel.spawn_system_task(watch.run)
        _WATCH.set(watch)
        return watch
