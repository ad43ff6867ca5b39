"""Measures the turns of the event loop for an entry's `OwnLoad`."""

import trio

from egretcart.direct.policy.own_load import OwnLoad
from egretcart.process.clock import Clock


class LoopTurns(trio.abc.Instrument):
    """Reports each turn of trio's loop.

    Parameters
    ----------
    own_load : OwnLoad
    clock : Clock
    """

    def __init__(self, *, own_load: OwnLoad, clock: Clock) -> None:
        self.own_load = own_load
        self.clock = clock

    def before_io_wait(self, timeout: float) -> None:
        """Report the end of a turn."""
        self.own_load.end_turn(self.clock.monotonic(), timeout)

    def after_io_wait(self, timeout: float) -> None:
        """Report the beginning of a turn."""
        del timeout
        self.own_load.begin_turn(self.clock.monotonic())
