"""Accepts connections, through errors that leave the listener usable."""

from collections.abc import Awaitable
from collections.abc import Callable
import errno

import trio

# The process or the machine has no descriptor, watch or memory left, or a
# security module forbids a connection. trio's listeners retry after errors
# that only one connection had.
RETRY_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOMEM,
    errno.ENOBUFS,
    errno.ENOSPC,
    errno.EACCES,
)
RETRY_INTERVAL_S = 0.1
# Time without an error after which connections count as accepted again.
RECOVERY_S = 1.0


class AcceptState:
    """Whether a listener's connections can be accepted.

    Parameters
    ----------
    on_change : callable, optional
        Called with the error when connections can't be accepted any more,
        and with an empty string once they are accepted again.

    Attributes
    ----------
    errors : int
        Errors so far.
    is_failing : bool
        Whether there was an error in the last `RECOVERY_S` seconds before
        the last connection, or since.
    last_error_at : float
        When the last error came, in seconds on the trio clock.
    """

    def __init__(
        self, *, on_change: Callable[[str], None] | None = None
    ) -> None:
        self.on_change = on_change
        self.errors = 0
        self.is_failing = False
        self.last_error_at = 0.0

    async def accept(
        self, listener: trio.SocketListener
    ) -> trio.SocketStream | None:
        """Return a connection, or None after a wait if none can be opened.

        Raises
        ------
        OSError
            If the listener is not usable.
        """
        try:
            stream = await listener.accept()
        except OSError as error:
            if error.errno not in RETRY_ERRNOS:
                raise
            self.errors += 1
            self.last_error_at = trio.current_time()
            self._change(is_failing=True, cause=str(error))
            await trio.sleep(RETRY_INTERVAL_S)
            return None
        if trio.current_time() > self.last_error_at + RECOVERY_S:
            self._change(is_failing=False, cause="")
        return stream

    def _change(self, *, is_failing: bool, cause: str) -> None:
        is_change = is_failing != self.is_failing
        self.is_failing = is_failing
        if is_change and self.on_change is not None:
            self.on_change(cause)


async def serve_streams(
    handler: Callable[[trio.SocketStream], Awaitable[None]],
    listeners: list[trio.SocketListener],
    *,
    on_change: Callable[[str], None],
) -> None:
    """Run a handler for each connection until cancelled.

    `trio.serve_listeners` writes to standard error whenever it can't accept
    one, which blocks the process if nothing reads that.

    Parameters
    ----------
    handler : callable
        Async function that closes the stream that it is given.
    listeners : list of trio.SocketListener
    on_change : callable
        See `AcceptState`; each listener has a state of its own.
    """
    async with trio.open_nursery() as nursery:

        async def serve(listener: trio.SocketListener) -> None:
            state = AcceptState(on_change=on_change)
            async with listener:
                while True:
                    stream = await state.accept(listener)
                    if stream is not None:
                        nursery.start_soon(handler, stream)

        for listener in listeners:
            nursery.start_soon(serve, listener)
