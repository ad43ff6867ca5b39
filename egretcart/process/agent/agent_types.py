"""Identity and limits of an agent, and the effects its logic returns."""

import dataclasses

from egretcart.connection.agent_messages import AgentMessage
from egretcart.connection.leader_messages import Start
from egretcart.process.cell.limits import LEASE_S
from egretcart.request.verdict import Verdict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgentIdentity:
    """Identity of an agent and capacity of its backend server.

    Attributes
    ----------
    agent_id : str
        Stays the same when the agent is restarted in the same place.
    incarnation : int
        Differs with every start of the process.
    service : str
        Name of the service whose tasks the agent runs.
    failure_domain : str
        Name of the failure domain that the agent belongs to.
    slots : int
        Number of tasks that the backend server runs at a time.
    connections : int
        Number of connections that the backend server accepts.
    """

    agent_id: str
    incarnation: int
    service: str
    failure_domain: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgentLimits:
    """Time limits and size bounds of an agent.

    Attributes
    ----------
    lease_s : float
        Time after a proven stamp during which the agent may begin tasks, in
        seconds. A stamp is a reading of the agent's monotonic clock; it is
        proven once a majority has confirmed the leader's term since.
    window_s : float
        Age up to which a job id may be resubmitted, in seconds.
    max_deadline_s : float
        Longest time from submission to the last start, in seconds.
    clock_skew_s : float
        Largest difference between two machines' wall clocks, in seconds.
    max_queued : int
        Largest number of starts that wait for a slot.
    max_result_bytes : int
        Largest total size of the result bodies kept for resubmissions, in
        bytes.
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


# Job id and task index.
TaskKey = tuple[bytes, int]


@dataclasses.dataclass(frozen=True, slots=True)
class SendToEntry:
    """Effect: send a message to an entry."""

    entry_id: str
    message: AgentMessage


@dataclasses.dataclass(frozen=True, slots=True)
class BeginExchange:
    """Effect: begin the exchange with the backend server at once.

    Attributes
    ----------
    start : Start
    time_limit_s : float
        Time limit of the exchange, in seconds.
    """

    start: Start
    time_limit_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AbortExchange:
    """Effect: abort the running exchange of the task `key`."""

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
        Whether the task ran, did not run, or may have run.
    body : bytes
        Body of the answer; empty unless the exchange succeeded.
    content_type : str
        Media type of the body; empty if there is none.
    error : str
        Why the exchange failed; empty if it succeeded.
    run_time_s : float
        Duration of the exchange, in seconds; 0 if it was aborted.
    """

    succeeded: bool
    verdict: Verdict
    body: bytes = b""
    content_type: str = ""
    error: str = ""
    run_time_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedStart:
    """An admitted start that waits for a slot.

    Attributes
    ----------
    start : Start
    received_at : float
        Monotonic time at which the start arrived, in seconds.
    """

    start: Start
    received_at: float
