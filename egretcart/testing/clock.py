"""Manual clock for tests."""


class ManualClock:
    """A `Clock` whose time passes only in `advance`.

    Parameters
    ----------
    unix_ms : int, optional
        Wall-clock time at the start, in milliseconds since the Unix epoch.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(1.5)
    >>> clock.monotonic()
    1.5
    """

    def __init__(self, *, unix_ms: int = 1_700_000_000_000) -> None:
        self.elapsed_s = 0.0
        self.epoch_ms = unix_ms

    def monotonic(self) -> float:
        """Return seconds since the clock was created."""
        return self.elapsed_s

    def unix_ms(self) -> int:
        """Return wall-clock milliseconds since the Unix epoch."""
        return self.epoch_ms + int(self.elapsed_s * 1000)

    def advance(self, seconds: float) -> None:
        """Move the clock forward by some seconds."""
        self.elapsed_s += seconds
