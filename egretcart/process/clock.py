"""The clock interface of the decision logic and its implementations."""

import time
from typing import Protocol


class Clock(Protocol):
    """Time as the decision logic reads it."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; it never decreases."""

    def unix_ms(self) -> int:
        """Return wall-clock milliseconds since the Unix epoch."""


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; it never decreases."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return wall-clock milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


class BootClock:
    """System clocks; monotonic time includes suspension of the machine."""

    def monotonic(self) -> float:
        """Return seconds since the machine booted; it never decreases."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Return wall-clock milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
