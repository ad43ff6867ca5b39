"""Waits for many sockets in one task."""

from collections.abc import Callable
import select

import trio

READABLE = select.EPOLLIN
# Also reported if data waits that nobody has read.
ENDED = select.EPOLLRDHUP


def _do_nothing() -> None:
    """Return."""


class SocketWatch:
    """Calls a function whenever a socket is ready.

    A task that waits with trio for one socket registers it anew for each
    wait, and each wait wakes a task. Here all sockets that are ready at a
    time are served in one turn of the event loop, and each is registered
    once. It is used for the many small messages of other processes.

    Parameters
    ----------
    after_turn : callable, optional
        Called after the functions of all sockets that were ready at a time.

    Attributes
    ----------
    epoll : select.epoll
        Has all sockets registered.
    functions : dict of int to callable
        Called when a socket is ready, by its file descriptor.
    """

    def __init__(
        self, *, after_turn: Callable[[], None] = _do_nothing
    ) -> None:
        self.after_turn = after_turn
        self.epoll = select.epoll()
        self.functions: dict[int, Callable[[], None]] = {}

    async def run(self) -> None:
        """Call the functions of ready sockets until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self.epoll.fileno())
            for descriptor, _ in self.epoll.poll(0):
                # An earlier function may have removed this socket.
                function = self.functions.get(descriptor)
                if function is not None:
                    function()
            self.after_turn()

    def add(
        self,
        stream: trio.SocketStream,
        events: int,
        function: Callable[[], None],
    ) -> int:
        """Call a function whenever a socket is ready; return its descriptor.

        Parameters
        ----------
        stream : trio.SocketStream
        events : int
            `READABLE` or `ENDED`; broken connections are always reported.
        function : callable
            Called again in each turn until the socket is no longer ready or
            `remove` is called.
        """
        descriptor = stream.socket.fileno()
        self.epoll.register(descriptor, events)
        self.functions[descriptor] = function
        return descriptor

    def remove(self, descriptor: int) -> None:
        """Wait no longer for a socket, which must not be closed before."""
        del self.functions[descriptor]
        self.epoll.unregister(descriptor)
