"""Who an agent is, its bounds, and what it asks its shell to do."""

import dataclasses

from egretcart.connection.messages import AgentMessage
from egretcart.connection.messages import Start
from egretcart.process.cell.limits import LEASE_S
from egretcart.request.verdict import Verdict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgentIdentity:
    """Who an agent is and what its backend server can take.

    Attributes
    ----------
    agent_id : str
        Stays the same over restarts at the same place.
    incarnation : int
        Differs with every start of the process.
    service, failure_domain : str
    slots : int
        Tasks that the backend server runs at a time.
    connections : int
        Connections that the backend server accepts.
    """

    agent_id: str
    incarnation: int
    service: str
    failure_domain: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgentLimits:
    """Bounds of an agent's state and of its promises.

    Attributes
    ----------
    lease_s : float
        How long a proof that a majority promised the leader's term lets
        the agent begin tasks, in seconds.
    window_s : float
        Age up to which a job id may be resubmitted, in seconds.
    max_deadline_s : float
        Longest time from submission to the last start, in seconds.
    clock_skew_s : float
        Largest difference between two machines' wall clocks, in seconds.
    max_queued : int
        Starts kept waiting for a slot.
    max_result_bytes : int
        Result bodies kept for resubmissions.
    """

    lease_s: float = LEASE_S
    window_s: float = 300.0
    max_deadline_s: float = 120.0
    clock_skew_s: float = 1.0
    max_queued: int = 64
    max_result_bytes: int = 64 * 1024 * 1024

    @property
    def record_age_s(self) -> float:
        """Age of a job id up to which its records are kept, in seconds."""
        return self.window_s + self.max_deadline_s + 2 * self.clock_skew_s


TaskKey = tuple[bytes, int]


@dataclasses.dataclass(frozen=True, slots=True)
class SendToEntry:
    """Effect: send a message to an entry."""

    entry_id: str
    message: AgentMessage


@dataclasses.dataclass(frozen=True, slots=True)
class BeginExchange:
    """Effect: begin the exchange with the backend server at once."""

    start: Start
    time_limit_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AbortExchange:
    """Effect: break off a running exchange."""

    key: TaskKey


AgentEffect = SendToEntry | BeginExchange | AbortExchange


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeOutcome:
    """How an exchange with the backend server has ended.

    Attributes
    ----------
    succeeded : bool
        Whether the backend server answered with a 2xx status.
    verdict : Verdict
    body : bytes
    content_type : str
    error : str
    run_time_s : float
    """

    succeeded: bool
    verdict: Verdict
    body: bytes = b""
    content_type: str = ""
    error: str = ""
    run_time_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedStart:
    """An admitted start that waits for a slot."""

    start: Start
    received_at: float
