"""When calls to the platform's store may be made and made again.

Free of I/O: a cap on calls a second, a budget of retries and a circuit
that probes a store which does not answer.
"""

import dataclasses
import random

from egretcart.process.clock import Clock
from egretcart.process.store.platform_calls import CallObserver
from egretcart.process.store.platform_calls import Circuit
from egretcart.process.store.platform_calls import NullCallObserver
from egretcart.process.store.platform_calls import RejectionCause


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformLimits:
    """Times and bounds of the platform's client.

    Attributes
    ----------
    call_limit_s : float
        Time limit of one attempt at a call.
    max_attempts : int
        Attempts at one call.
    calls_per_s : float
        Calls that one process makes at most, averaged over a burst.
    burst : float
        Calls that may be made at once after a quiet time.
    max_pacing_s : float
        Wait for the cap on calls after which a call is refused.
    retry_share : float
        Retries earned by each call that succeeded.
    max_retries_saved : float
    backoff_s, max_backoff_s : float
        First and longest pause before a retry; jitter halves it at most.
    open_after : int
        Consecutive failures that open the circuit.
    probe_s, max_probe_s : float
        First and longest pause between probes while it is open.
    """

    call_timeout_s: float = 1.5
    max_attempts: int = 3
    calls_per_s: float = 20.0
    burst: float = 40.0
    max_rate_limit_wait_s: float = 2.0
    retry_tokens_per_success: float = 0.2
    max_retry_tokens: float = 10.0
    backoff_s: float = 0.05
    max_backoff_s: float = 1.0
    failure_threshold: int = 4
    probe_backoff_s: float = 0.5
    max_probe_backoff_s: float = 5.0


class CallGuard:
    """Decides on each call of one process to the store.

    Parameters
    ----------
    limits : PlatformLimits
    clock : Clock
    source : random.Random
        Source of jitter.
    observer : CallObserver, optional

    Attributes
    ----------
    circuit : Circuit
    calls, failures, retries, refused : int
        Counters since the start.
    """

    def __init__(
        self,
        *,
        limits: PlatformLimits,
        clock: Clock,
        source: random.Random,
        observer: CallObserver | None = None,
    ) -> None:
        self.limits = limits
        self.clock = clock
        self.source = source
        self.observer = observer or NullCallObserver()
        self.circuit = Circuit.CLOSED
        self.calls = 0
        self.failures = 0
        self.retries = 0
        self.refused = 0
        self.consecutive_failures = 0
        self.probe_at = float("-inf")
        self.probe_pause_s = limits.probe_backoff_s
        self.tokens = limits.burst
        self.tokens_updated_at = clock.monotonic()
        self.retry_tokens = limits.max_retry_tokens

    def admit(self) -> float | None:
        """Ask to make a call.

        Returns
        -------
        float or None
            Seconds to wait before the call; None if it must not be made.
        """
        now = self.clock.monotonic()
        wait_s = self._rate_limit_wait_s(now)
        if wait_s > self.limits.max_rate_limit_wait_s:
            self._reject(RejectionCause.CAP)
            return None
        if not self._circuit_admits(now):
            self._reject(RejectionCause.CIRCUIT)
            return None
        self.tokens -= 1
        self.calls += 1
        return wait_s

    def _reject(self, cause: RejectionCause) -> None:
        self.refused += 1
        self.observer.call_rejected(cause)

    def _rate_limit_wait_s(self, now: float) -> float:
        refilled = (now - self.tokens_updated_at) * self.limits.calls_per_s
        self.tokens = min(self.limits.burst, self.tokens + refilled)
        self.tokens_updated_at = now
        return max(0.0, 1 - self.tokens) / self.limits.calls_per_s

    def _circuit_admits(self, now: float) -> bool:
        if self.circuit is Circuit.CLOSED:
            return True
        if now < self.probe_at:
            return False
        self._set_circuit(Circuit.PROBING)
        # A probe that never reports back must not block the next one.
        self.probe_at = now + self.limits.call_timeout_s + self.probe_pause_s
        return True

    def _set_circuit(self, circuit: Circuit) -> None:
        before, self.circuit = self.circuit, circuit
        if circuit is not before:
            self.observer.circuit_changed(before, circuit)

    def succeeded(self) -> None:
        """Record an answer of the store."""
        self.consecutive_failures = 0
        self._set_circuit(Circuit.CLOSED)
        self.probe_pause_s = self.limits.probe_backoff_s
        self.retry_tokens = min(
            self.limits.max_retry_tokens,
            self.retry_tokens + self.limits.retry_tokens_per_success,
        )

    def failed(self) -> None:
        """Record a call without a usable answer."""
        self.failures += 1
        self.consecutive_failures += 1
        probing = self.circuit is not Circuit.CLOSED
        if (
            self.consecutive_failures < self.limits.failure_threshold
            and not probing
        ):
            return
        self._set_circuit(Circuit.OPEN)
        pause_s = self._jittered(self.probe_pause_s)
        self.probe_at = self.clock.monotonic() + pause_s
        self.probe_pause_s = min(
            self.limits.max_probe_backoff_s, self.probe_pause_s * 2
        )

    def retry_after_s(self, attempt: int) -> float | None:
        """Ask to make a failed call again.

        Parameters
        ----------
        attempt : int
            Attempts made so far.

        Returns
        -------
        float or None
            Seconds to wait; None if the call is given up.
        """
        if attempt >= self.limits.max_attempts or self.retry_tokens < 1:
            return None
        if self.circuit is not Circuit.CLOSED:
            return None
        self.retry_tokens -= 1
        self.retries += 1
        self.observer.retry_started()
        pause_s = self.limits.backoff_s * 2 ** (attempt - 1)
        return self._jittered(min(self.limits.max_backoff_s, pause_s))

    def _jittered(self, pause_s: float) -> float:
        return pause_s * self.source.uniform(0.5, 1.0)
