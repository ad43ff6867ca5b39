"""Rate limit, retry budget and circuit breaker of calls to the store.

This module does no I/O. Consecutive failures open the circuit. While it is
open, only a probe is let through after each backoff. An answer of the store
closes the circuit.
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
    """Limits of one process's client of the store.

    Attributes
    ----------
    call_timeout_s : float
        Time limit of one attempt at a call, in seconds.
    max_attempts : int
        Highest number of attempts at one call, the first included.
    calls_per_s : float
        Highest rate of calls of one process, in calls per second, averaged
        over a burst.
    burst : float
        Calls that may be made at once after a time without calls.
    max_rate_limit_wait_s : float
        Longest wait for the rate limit, in seconds; a call that would have
        to wait longer is not made.
    retry_tokens_per_success : float
        Retry tokens credited for each success; a retry consumes one token.
    max_retry_tokens : float
        Highest number of retry tokens that can be accumulated, and their
        number at the start.
    backoff_s, max_backoff_s : float
        Initial and longest backoff before a retry, in seconds. It doubles
        with each attempt; jitter reduces it by half at most.
    failure_threshold : int
        Consecutive failures that open the circuit.
    probe_backoff_s, max_probe_backoff_s : float
        Initial and longest time between probes while the circuit is open,
        in seconds. It doubles with each failed probe; jitter reduces it by
        half at most.
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
    """Decides whether each call of one process to the store may be made.

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
        State of the circuit breaker.
    calls : int
        Calls that were admitted since the start, retries included.
    failures : int
        Calls without a usable answer since the start.
    retries : int
        Retries that were granted since the start.
    refused : int
        Calls that were not admitted since the start.
    consecutive_failures : int
        Calls without a usable answer since the last answer.
    probe_at : float
        Monotonic time, in seconds, of the next probe while the circuit is
        not closed.
    current_probe_backoff_s : float
        Backoff after the next failed probe, in seconds, before jitter.
    tokens : float
        Tokens of the rate limit; a call consumes one, and waits if that
        leaves a negative number.
    tokens_updated_at : float
        Monotonic time, in seconds, up to which `tokens` is refilled.
    retry_tokens : float
        Tokens of the retry budget; a retry consumes one.
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
        self.current_probe_backoff_s = limits.probe_backoff_s
        self.tokens = limits.burst
        self.tokens_updated_at = clock.monotonic()
        self.retry_tokens = limits.max_retry_tokens

    def admit(self) -> float | None:
        """Request permission to make a call.

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
        """Refill the tokens; return the wait for one, in seconds."""
        refilled = (now - self.tokens_updated_at) * self.limits.calls_per_s
        self.tokens = min(self.limits.burst, self.tokens + refilled)
        self.tokens_updated_at = now
        return max(0.0, 1 - self.tokens) / self.limits.calls_per_s

    def _circuit_admits(self, now: float) -> bool:
        """Return whether the circuit lets a call, or a probe, through."""
        if self.circuit is Circuit.CLOSED:
            return True
        if now < self.probe_at:
            return False
        self._set_circuit(Circuit.PROBING)
        # A probe whose outcome is never recorded must not block the next one.
        self.probe_at = (
            now + self.limits.call_timeout_s + self.current_probe_backoff_s
        )
        return True

    def _set_circuit(self, circuit: Circuit) -> None:
        before, self.circuit = self.circuit, circuit
        if circuit is not before:
            self.observer.circuit_changed(before, circuit)

    def succeeded(self) -> None:
        """Record an answer of the store, which closes the circuit."""
        self.consecutive_failures = 0
        self._set_circuit(Circuit.CLOSED)
        self.current_probe_backoff_s = self.limits.probe_backoff_s
        self.retry_tokens = min(
            self.limits.max_retry_tokens,
            self.retry_tokens + self.limits.retry_tokens_per_success,
        )

    def failed(self) -> None:
        """Record a call without a usable answer; it may open the circuit."""
        self.failures += 1
        self.consecutive_failures += 1
        probing = self.circuit is not Circuit.CLOSED
        if (
            self.consecutive_failures < self.limits.failure_threshold
            and not probing
        ):
            return
        self._set_circuit(Circuit.OPEN)
        delay_s = self._jittered(self.current_probe_backoff_s)
        self.probe_at = self.clock.monotonic() + delay_s
        self.current_probe_backoff_s = min(
            self.limits.max_probe_backoff_s, self.current_probe_backoff_s * 2
        )

    def retry_after_s(self, attempt: int) -> float | None:
        """Request permission to retry a failed call.

        Parameters
        ----------
        attempt : int
            Attempts made so far.

        Returns
        -------
        float or None
            Seconds to wait; None if the call must not be retried.
        """
        if attempt >= self.limits.max_attempts or self.retry_tokens < 1:
            return None
        if self.circuit is not Circuit.CLOSED:
            return None
        self.retry_tokens -= 1
        self.retries += 1
        self.observer.retry_started()
        delay_s = self.limits.backoff_s * 2 ** (attempt - 1)
        return self._jittered(min(self.limits.max_backoff_s, delay_s))

    def _jittered(self, delay_s: float) -> float:
        return delay_s * self.source.uniform(0.5, 1.0)
