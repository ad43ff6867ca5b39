"""What the client of the platform's store reports of its calls."""

import enum
from typing import Protocol


class Circuit(enum.Enum):
    """Whether calls pass."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class CallKind(enum.Enum):
    """Kinds of calls.

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
        The store did what was asked, or told that a condition failed.
    REFUSED
        The store answered that it does not do that.
    THROTTLED
        The store refused the attempt for its rate limit.
    FAILED
        There was no usable answer.
    ABANDONED
        The caller did not wait for the end.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    THROTTLED = "throttled"
    FAILED = "failed"
    ABANDONED = "abandoned"


class RejectionCause(enum.Enum):
    """Why a call was not made."""

    CAP = "cap"
    CIRCUIT = "circuit"


class CallObserver(Protocol):
    """Who is told of the calls of one process."""

    def attempt_ended(
        self, kind: CallKind, outcome: CallOutcome, elapsed_s: float
    ) -> None:
        """Take note of the end of one attempt; of a watch, its first line."""

    def watch_interrupted(self) -> None:
        """Take note of a watch that broke off after its first line."""

    def retry_started(self) -> None:
        """Take note of an attempt that is made again."""

    def call_rejected(self, cause: RejectionCause) -> None:
        """Take note of a call that is not made."""

    def circuit_changed(self, before: Circuit, after: Circuit) -> None:
        """Take note of a change of the circuit."""


class NullCallObserver:
    """A `CallObserver` that drops everything."""

    def attempt_ended(
        self, kind: CallKind, outcome: CallOutcome, elapsed_s: float
    ) -> None:
        """Drop it."""

    def watch_interrupted(self) -> None:
        """Drop it."""

    def retry_started(self) -> None:
        """Drop it."""

    def call_rejected(self, cause: RejectionCause) -> None:
        """Drop it."""

    def circuit_changed(self, before: Circuit, after: Circuit) -> None:
        """Drop it."""
