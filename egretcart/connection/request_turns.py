"""Bounds the time that requests take in one turn of the event loop."""

from collections import deque
import dataclasses

import trio

# Requests that begin later in a turn wait for another one.
REQUEST_TIME_PER_TURN_S = 0.02
# Wait of the oldest request from which the newest one goes first: callers of
# old ones leave soon, and none would be on time if all waited alike.
NEWEST_FIRST_AFTER_S = 0.1
# Wait after which a request is refused, so that its caller may ask elsewhere.
MAX_WAIT_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _WaitingRequest:
    since: float
    may_begin: trio.Event


class RequestTurns(trio.abc.Instrument):
    """Lets requests begin while a turn has time, and then one in each turn.

    trio runs all tasks that can run before it looks at times and sockets
    again. On a slow machine, many requests at a time would keep the process
    from its heartbeats for so long that others take it for lost.

    Attributes
    ----------
    ends_at : float or None
        Until when requests may begin in this turn, in seconds on the trio
        clock; None before the first one of the turn.
    waiting : deque of _WaitingRequest
        Requests that wait, the oldest first.
    is_releasing : bool
        Whether a task lets them begin.
    """

    def __init__(self) -> None:
        self.ends_at: float | None = None
        self.waiting: deque[_WaitingRequest] = deque()
        self.is_releasing = False

    def after_io_wait(self, timeout: float) -> None:
        """Begin a new turn."""
        self.ends_at = None

    async def enter(self) -> bool:
        """Wait until a request may begin; return False if it never may."""
        if not self.waiting and self._has_time():
            return True
        request = _WaitingRequest(
            since=trio.current_time(), may_begin=trio.Event()
        )
        self.waiting.append(request)
        if not self.is_releasing:
            self.is_releasing = True
            trio.lowlevel.spawn_system_task(self._release)
        try:
            with trio.move_on_after(MAX_WAIT_S):
                await request.may_begin.wait()
        finally:
            if not request.may_begin.is_set():
                self.waiting.remove(request)
        return request.may_begin.is_set()

    def _has_time(self) -> bool:
        now = trio.current_time()
        if self.ends_at is None:
            self.ends_at = now + REQUEST_TIME_PER_TURN_S
        return now < self.ends_at

    async def _release(self) -> None:
        """Let one request begin in each turn while some wait."""
        while self.waiting:
            await trio.lowlevel.checkpoint()
            if self.waiting:
                self._pop_next().may_begin.set()
        self.is_releasing = False

    def _pop_next(self) -> _WaitingRequest:
        waited_s = trio.current_time() - self.waiting[0].since
        if waited_s > NEWEST_FIRST_AFTER_S:
            return self.waiting.pop()
        return self.waiting.popleft()


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
