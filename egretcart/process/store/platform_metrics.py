"""Metrics and log lines of the calls to the platform's store."""

from egretcart.process.logs import EventLog
from egretcart.process.metric_table import Metric
from egretcart.process.metric_table import PLATFORM_ABANDONED
from egretcart.process.metric_table import PLATFORM_CALL_TIME
from egretcart.process.metric_table import PLATFORM_CALLS
from egretcart.process.metric_table import PLATFORM_CIRCUIT
from egretcart.process.metric_table import PLATFORM_CIRCUIT_CHANGES
from egretcart.process.metric_table import PLATFORM_FAILURES
from egretcart.process.metric_table import PLATFORM_HELD_BACK
from egretcart.process.metric_table import PLATFORM_REFUSALS
from egretcart.process.metric_table import PLATFORM_RETRIES
from egretcart.process.metric_table import PLATFORM_THROTTLED
from egretcart.process.metric_table import PLATFORM_WATCHES_BROKEN
from egretcart.process.metric_table import STATE_CHANGES
from egretcart.process.metrics import Metrics
from egretcart.process.store.platform_calls import CallKind
from egretcart.process.store.platform_calls import CallOutcome
from egretcart.process.store.platform_calls import Circuit
from egretcart.process.store.platform_calls import RejectionCause
from egretcart.process.transitions import StateChange
from egretcart.process.transitions import StateChangeKind

COUNTER_OF_OUTCOME: dict[CallOutcome, Metric] = {
    CallOutcome.FAILED: PLATFORM_FAILURES,
    CallOutcome.THROTTLED: PLATFORM_THROTTLED,
    CallOutcome.REFUSED: PLATFORM_REFUSALS,
    CallOutcome.ABANDONED: PLATFORM_ABANDONED,
}
OUTCOMES_WITH_ANSWER = (
    CallOutcome.ANSWERED,
    CallOutcome.REFUSED,
    CallOutcome.THROTTLED,
)
# Values of the gauge that reports the circuit's state.
CIRCUIT_VALUES = {Circuit.CLOSED: 0, Circuit.PROBING: 1, Circuit.OPEN: 2}


class PlatformMetrics:
    """A `CallObserver` that updates the metrics and log of one process.

    Parameters
    ----------
    process_id : str
        Id of the entry or agent, for the log.
    metrics : Metrics
    log : EventLog

    Attributes
    ----------
    circuit : Circuit
        Last reported state.
    is_store_unavailable : bool
        Whether no call has been answered since the circuit opened.
    """

    def __init__(
        self, *, process_id: str, metrics: Metrics, log: EventLog
    ) -> None:
        self.process_id = process_id
        self.metrics = metrics
        self.log = log
        self.circuit = Circuit.CLOSED
        self.is_store_unavailable = False
        metrics.gauge(PLATFORM_CIRCUIT, lambda: CIRCUIT_VALUES[self.circuit])

    def attempt_ended(
        self, kind: CallKind, outcome: CallOutcome, elapsed_s: float
    ) -> None:
        """Count one attempt at a call."""
        self.metrics.add(PLATFORM_CALLS, label=kind.value)
        counter = COUNTER_OF_OUTCOME.get(outcome)
        if counter is not None:
            self.metrics.add(counter, label=kind.value)
        if outcome in OUTCOMES_WITH_ANSWER:
            self.metrics.observe(PLATFORM_CALL_TIME, elapsed_s)

    def watch_interrupted(self) -> None:
        """Count a watch that was lost after its first line."""
        self.metrics.add(PLATFORM_WATCHES_BROKEN)

    def retry_started(self) -> None:
        """Count a retry of a call."""
        self.metrics.add(PLATFORM_RETRIES)

    def call_rejected(self, cause: RejectionCause) -> None:
        """Count a call that is not made."""
        self.metrics.add(PLATFORM_HELD_BACK, label=cause.value)

    def circuit_changed(self, before: Circuit, after: Circuit) -> None:
        """Count a change of the circuit's state.

        The loss of the store and its return are logged.
        """
        self.circuit = after
        self.metrics.add(PLATFORM_CIRCUIT_CHANGES, label=after.value)
        is_store_unavailable = after is not Circuit.CLOSED
        if is_store_unavailable is self.is_store_unavailable:
            return
        self.is_store_unavailable = is_store_unavailable
        kind = (
            StateChangeKind.STORE_LOST
            if is_store_unavailable
            else StateChangeKind.STORE_BACK
        )
        self.metrics.add(STATE_CHANGES, label=kind.value)
        self.log.record(self.process_id, StateChange(kind, "store"))
