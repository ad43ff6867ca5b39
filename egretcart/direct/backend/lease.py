"""The agent's side of the lease under which a backend server runs tasks."""

import msgspec


class LeaseLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Times of the backend server's lease.

    Attributes
    ----------
    lease_ms : int
        Length requested with each renewal, in milliseconds: long enough for
        three lost renewals, short enough that the runs of a lost agent end
        before a caller tries again.
    max_lease_ms : int
        Longest lease that the server grants, in milliseconds.
    start_window_ms : int
        Time in which a start request may take effect, in milliseconds; an
        unanswered request has certainly expired after it.
    clock_drift : float
        How much slower than the agent's clock the server's may run, as a
        fraction.
    end_margin_s : float
        Time that the server may take to end a run, in seconds.
    """

    lease_ms: int = 500
    max_lease_ms: int = 1000
    start_window_ms: int = 350
    clock_drift: float = 0.02
    end_margin_s: float = 0.06

    @property
    def max_duration_s(self) -> float:
        """Time after its last renewal in which a lease certainly expires."""
        return self._expiry_s(self.lease_ms)

    @property
    def max_server_lease_s(self) -> float:
        """Time after a start in which any lease of the server expires."""
        return self._expiry_s(self.max_lease_ms)

    def _expiry_s(self, lease_ms: int) -> float:
        return lease_ms / 1000 / (1 - self.clock_drift) + self.end_margin_s


class BackendLease:
    """Maps the server's clock to the agent's, and computes the lease's end.

    Parameters
    ----------
    limits : LeaseLimits

    Attributes
    ----------
    clock_ms : int
        The server's clock in its last answer, in milliseconds; 0 before
        the first.
    answered_at : float
        When that answer was received, in seconds on the agent's clock; 0
        before the first.
    deadline_ms : int
        Latest end of the lease that was requested from this incarnation of
        the server, by a poll or a start request, in milliseconds on the
        server's clock; 0 if none was.
    """

    def __init__(self, *, limits: LeaseLimits) -> None:
        self.limits = limits
        self.clock_ms = 0
        self.answered_at = 0.0
        self.deadline_ms = 0

    def restart(self, clock_ms: int, now: float) -> None:
        """Begin with a new incarnation of the server, which runs nothing."""
        self.clock_ms = clock_ms
        self.answered_at = now
        self.deadline_ms = 0

    def update_clock(self, clock_ms: int, now: float) -> None:
        """Update the server's clock from an answer just received.

        A clock lower than the last one is of an older answer and ignored.
        """
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.answered_at = now

    def next_deadline_ms(self, now: float) -> int:
        """Return the end of the lease to request from the server.

        It counts as granted at once, whether or not an answer arrives.
        """
        return self._extend_deadline(now, self.limits.lease_ms)

    def start_deadline_ms(self, now: float) -> int:
        """Return the time after which the server refuses a start request.

        The lease counts as extended to that time at once.
        """
        return self._extend_deadline(now, self.limits.start_window_ms)

    def _extend_deadline(self, now: float, duration_ms: int) -> int:
        elapsed_ms = int((now - self.answered_at) * 1000)
        deadline_ms = self.clock_ms + elapsed_ms + duration_ms
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return deadline_ms

    @property
    def expires_at(self) -> float:
        """When the lease has certainly expired if it is not renewed again."""
        remaining_ms = max(0, self.deadline_ms - self.clock_ms)
        max_remaining_s = remaining_ms / 1000 / (1 - self.limits.clock_drift)
        return self.answered_at + max_remaining_s + self.limits.end_margin_s
