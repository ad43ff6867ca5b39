"""Clocks behind an interface."""

import time
from typing import Protocol


class Clock(Protocol):
    """What decision logic may ask about time."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""

    def unix_ms(self) -> int:
        """Return wall-clock milliseconds since the Unix epoch."""


class SystemClock:
    """The machine's clocks."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return wall-clock milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
