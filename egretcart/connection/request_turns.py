"""Bounds the time that requests take in one turn of the event loop."""

import trio

# Requests that begin later in a turn wait for the next one.
REQUEST_TIME_PER_TURN_S = 0.02
# Wait after which a request is refused, so that its caller may ask elsewhere.
MAX_WAIT_S = 1.0


class RequestTurns(trio.abc.Instrument):
    """Lets requests begin, the oldest first, while a turn has time left.

    trio runs all tasks that can run before it looks at times and sockets
    again. On a slow machine, many requests at a time would keep the process
    from its heartbeats for so long that others take it for lost.

    Attributes
    ----------
    ends_at : float or None
        Until when requests may begin in this turn, in seconds on the trio
        clock; None before the first one of the turn.
    first : trio.Lock
        Held by the oldest request that waits.
    """

    def __init__(self) -> None:
        self.ends_at: float | None = None
        self.first = trio.Lock()

    def after_io_wait(self, timeout: float) -> None:
        """Begin a new turn."""
        self.ends_at = None

    async def enter(self) -> bool:
        """Wait until a request may begin; at once if the turn has time.

        Return False if the request waits for too long; it must not begin.
        """
        try:
            self.first.acquire_nowait()
        except trio.WouldBlock:
            with trio.move_on_after(MAX_WAIT_S) as scope:
                await self.first.acquire()
            if scope.cancelled_caught:
                return False
        try:
            while not self._has_time():
                await trio.lowlevel.checkpoint()
        finally:
            self.first.release()
        return True

    def _has_time(self) -> bool:
        now = trio.current_time()
        if self.ends_at is None:
            self.ends_at = now + REQUEST_TIME_PER_TURN_S
        return now < self.ends_at


_TURNS: trio.lowlevel.RunVar[RequestTurns] = trio.lowlevel.RunVar(
    "egretcart.RequestTurns"
)


def shared_turns() -> RequestTurns:
    """Return the bounds of the running event loop."""
    try:
        return _TURNS.get()
    except LookupError:
        turns = RequestTurns()
        trio.lowlevel.add_instrument(turns)
        _TURNS.set(turns)
        return turns
