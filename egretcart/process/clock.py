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


class BootClock:
    """The machine's clocks; the steady one counts suspensions too."""

    def monotonic(self) -> float:
        """Return seconds since the machine's start; never goes back."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Return wall-clock milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
