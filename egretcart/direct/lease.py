"""The lease under which everything runs at a backend server."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseLimits:
    """Times of the backend server's lease.

    Attributes
    ----------
    lease_ms : int
        Asked for with each renewal, in milliseconds: long enough for three
        lost renewals, short enough that what runs beside a lost agent ends
        before a caller tries again.
    start_ms : int
        Time in which an order to start may be carried out, in
        milliseconds; an unanswered order is surely over after it.
    clock_drift : float
        How much slower than ours the server's clock may run, as a share.
    margin_s : float
        Time that an end may take at the server, in seconds.
    """

    lease_ms: int = 500
    start_window_ms: int = 350
    clock_drift: float = 0.02
    end_margin_s: float = 0.06

    @property
    def max_duration_s(self) -> float:
        """Time after the last renewal in which a lease has surely lapsed."""
        return (
            self.lease_ms / 1000 / (1 - self.clock_drift) + self.end_margin_s
        )


class BackendLease:
    """Maps the server's clock to ours, and knows when all has ended.

    Parameters
    ----------
    limits : LeaseLimits

    Attributes
    ----------
    clock_ms : int
        The server's clock in its last answer.
    answered_at : float
        When that answer came, on our clock.
    deadline_ms : int
        Latest end of the lease that was ever asked for.
    """

    def __init__(self, *, limits: LeaseLimits) -> None:
        self.limits = limits
        self.clock_ms = 0
        self.answered_at = 0.0
        self.deadline_ms = 0

    def restart(self, clock_ms: int, now: float) -> None:
        """Begin a lifetime of the server: nothing runs there yet."""
        self.clock_ms = clock_ms
        self.answered_at = now
        self.deadline_ms = 0

    def update_clock(self, clock_ms: int, now: float) -> None:
        """Take the server's clock from an answer that has just come."""
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.answered_at = now

    def next_deadline_ms(self, now: float) -> int:
        """Return the end of lease to ask for, and count on it."""
        return self._extend_deadline(now, self.limits.lease_ms)

    def start_deadline_ms(self, now: float) -> int:
        """Return the time by which an order to start is carried out."""
        return self._extend_deadline(now, self.limits.start_window_ms)

    def _extend_deadline(self, now: float, length_ms: int) -> int:
        elapsed_ms = int((now - self.answered_at) * 1000)
        deadline_ms = self.clock_ms + elapsed_ms + length_ms
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return deadline_ms

    @property
    def expires_at(self) -> float:
        """When the lease has surely lapsed if nothing more is asked for."""
        left_ms = max(0, self.deadline_ms - self.clock_ms)
        slowest_s = left_ms / 1000 / (1 - self.limits.clock_drift)
        return self.answered_at + slowest_s + self.limits.end_margin_s
