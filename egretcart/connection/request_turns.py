"""Bounds the time that requests take in one turn of the event loop."""

import trio

# Requests that begin later in a turn wait for the next one: a fraction of the
# time without heartbeats after which others take the process for lost.
REQUEST_TIME_PER_TURN_S = 0.1
# Requests that are woken for a turn; those that it has no time for wait on.
MAX_WOKEN_PER_TURN = 16
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
    waiting : dict of object to trio.Event
        Requests that wait, the oldest first, each with what wakes it.
    is_waking : bool
        Whether a task wakes them.
    """

    def __init__(self) -> None:
        self.ends_at: float | None = None
        self.waiting: dict[object, trio.Event] = {}
        self.is_waking = False

    def after_io_wait(self, timeout: float) -> None:
        """Begin a new turn."""
        self.ends_at = None

    async def enter(self) -> bool:
        """Wait until a request may begin; at once if the turn has time.

        Return False if the request waits for too long; it must not begin.
        """
        if not self.waiting and self._has_time():
            return True
        request = object()
        self.waiting[request] = trio.Event()
        if not self.is_waking:
            self.is_waking = True
            trio.lowlevel.spawn_system_task(self._wake)
        try:
            with trio.move_on_after(MAX_WAIT_S):
                while True:
                    await self.waiting[request].wait()
                    if self._has_time():
                        return True
                    self.waiting[request] = trio.Event()
        finally:
            del self.waiting[request]
        return False

    async def _wake(self) -> None:
        """Wake the oldest requests in each turn while some wait."""
        while self.waiting:
            for event in list(self.waiting.values())[:MAX_WOKEN_PER_TURN]:
                event.set()
            await trio.lowlevel.checkpoint()
        self.is_waking = False

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
