"""Kinds and outcomes of calls to the platform's store, and their observer."""

import enum
from typing import Protocol


class Circuit(enum.Enum):
    """State of the circuit breaker in front of the store.

    Attributes
    ----------
    CLOSED
        Calls are made.
    OPEN
        No call is made until the next probe is due.
    PROBING
        A probe has been made whose outcome is not known yet.
    """

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class CallKind(enum.Enum):
    """Kinds of calls to the store.

    Attributes
    ----------
    path : str
        Path in the JSON gateway of the etcd v3 API.
    """

    RANGE = "range", "/v3/kv/range"
    TRANSACTION = "transaction", "/v3/kv/txn"
    LEASE_GRANT = "lease_grant", "/v3/lease/grant"
    LEASE_RENEWAL = "lease_renewal", "/v3/lease/keepalive"
    LEASE_REVOCATION = "lease_revocation", "/v3/lease/revoke"
    WATCH = "watch", "/v3/watch"

    path: str

    def __new__(cls, label: str, path: str) -> "CallKind":
        """Return a member whose value is its label."""
        kind = object.__new__(cls)
        kind._value_ = label
        kind.path = path
        return kind


class CallOutcome(enum.Enum):
    """How one attempt at a call ended.

    Attributes
    ----------
    ANSWERED
        The store executed the call, or answered that a condition failed.
    REFUSED
        The store answered that it does not execute the call.
    THROTTLED
        The store refused the attempt because of its rate limit.
    FAILED
        There was no answer, or none that could be used.
    ABANDONED
        The caller cancelled the attempt before it ended.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    THROTTLED = "throttled"
    FAILED = "failed"
    ABANDONED = "abandoned"


class RejectionCause(enum.Enum):
    """Why a call was not made.

    Attributes
    ----------
    CAP
        The process has reached its limit of calls per second.
    CIRCUIT
        The circuit lets no call through.
    """

    CAP = "cap"
    CIRCUIT = "circuit"


class CallObserver(Protocol):
    """Observes the calls of one process to the store."""

    def attempt_ended(
        self, kind: CallKind, outcome: CallOutcome, elapsed_s: float
    ) -> None:
        """Handle the end of one attempt.

        The attempt at a watch ends with the first line of its response.
        """

    def watch_interrupted(self) -> None:
        """Handle the loss of a watch after its first line."""

    def retry_started(self) -> None:
        """Handle the decision to retry a call."""

    def call_rejected(self, cause: RejectionCause) -> None:
        """Handle a call that is not made."""

    def circuit_changed(self, before: Circuit, after: Circuit) -> None:
        """Handle a change of the circuit's state."""


class NullCallObserver:
    """A `CallObserver` that ignores everything."""

    def attempt_ended(
        self, kind: CallKind, outcome: CallOutcome, elapsed_s: float
    ) -> None:
        """Do nothing."""

    def watch_interrupted(self) -> None:
        """Do nothing."""

    def retry_started(self) -> None:
        """Do nothing."""

    def call_rejected(self, cause: RejectionCause) -> None:
        """Do nothing."""

    def circuit_changed(self, before: Circuit, after: Circuit) -> None:
        """Do nothing."""
