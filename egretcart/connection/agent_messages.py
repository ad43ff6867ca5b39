"""Messages of agents to the leader of their cell."""

import msgspec

from egretcart.connection.cell_types import NO_TERM
from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import Term
from egretcart.connection.cell_types import UNKNOWN_MS


class AgentHello(msgspec.Struct, frozen=True, kw_only=True):
    """An agent introduces its backend server to an entry.

    Attributes
    ----------
    agent_id : str
    incarnation : int
        Identifies one run of the agent's process: it differs with every
        start.
    service_name : str
        Name of the service whose tasks the backend server runs.
    failure_domain : str
    slots : int
        Number of tasks that the backend server runs at a time.
    connections : int
        Number of connections that the backend server accepts.
    draining : bool
        Whether the agent accepts no new starts.
    started_ms : int
        Unix time of the agent's start, in milliseconds.
    """

    agent_id: str = ""
    incarnation: int = 0
    service_name: str = ""
    failure_domain: str = ""
    slots: int = 0
    connections: int = 0
    draining: bool = False
    started_ms: int = 0


class TaskRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A ledger's record of one task.

    Attributes
    ----------
    index : int
        Index of the task within its job.
    attempt : int
        Number of the attempt.
    state : int
        Value of a `RecordState`.
    """

    index: int = 0
    attempt: int = 0
    state: int = 0


class JobRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A ledger's record of one job.

    Attributes
    ----------
    job_id : bytes
    digest : bytes
        Digest of the job's body.
    tasks : tuple of TaskRecord
    """

    job_id: bytes = b""
    digest: bytes = b""
    tasks: tuple[TaskRecord, ...] = ()


class FenceReply(msgspec.Struct, frozen=True, kw_only=True):
    """An agent's answer to a fence.

    Attributes
    ----------
    term : Term
        The highest term that the agent has promised, after the fence.
    accepted : bool
        Whether the agent has promised the term of the fence.
    stamp_us : int
        Time of the answer on the agent's monotonic clock, in microseconds.
    roster : Roster
        The newest roster that the agent knows.
    records : tuple of JobRecord
        The agent's whole ledger, or only the tasks that it runs if
        `by_query` is true; empty if the fence was not accepted.
    incarnation : int
        Incarnation of the agent.
    by_query : bool
        Whether the rest of the ledger must be requested with a
        `LedgerQuery`.
    newest_job_ms : int
        Unix time in milliseconds of the newest job that the agent has ever
        begun; 0 if it has begun none, `UNKNOWN_MS` from an earlier release.
    """

    term: Term = NO_TERM
    accepted: bool = False
    stamp_us: int = 0
    roster: Roster = Roster()
    records: tuple[JobRecord, ...] = ()
    incarnation: int = 0
    by_query: bool = False
    newest_job_ms: int = UNKNOWN_MS


class LedgerReply(msgspec.Struct, frozen=True, kw_only=True):
    """An agent's answer to a ledger query.

    Attributes
    ----------
    number : int
        Number of the query.
    records : tuple of JobRecord
        The requested jobs, without those of which no task was started.
    """

    number: int = 0
    records: tuple[JobRecord, ...] = ()


class HeartbeatReply(msgspec.Struct, frozen=True, kw_only=True):
    """An agent confirms the term that it has promised.

    Attributes
    ----------
    term : Term
        The term that the agent has promised.
    round : int
        Number of the round that is confirmed, see `Heartbeat`; 0 confirms
        none.
    stamp_us : int
        Time of the reply on the agent's monotonic clock, in microseconds.
    roster_version : int
        Version of the newest roster that the agent knows; 0 means none.
    running, queued : int
        Number of tasks that run, and that wait, at the agent.
    draining : bool
        Whether the agent accepts no new starts.
    config_version : int
        Configuration version that the agent knows.
    """

    term: Term = NO_TERM
    round: int = 0
    stamp_us: int = 0
    roster_version: int = 0
    running: int = 0
    queued: int = 0
    draining: bool = False
    config_version: int = 0


class TaskResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one attempt at a task.

    Attributes
    ----------
    job_id : bytes
    task : int
        Index of the task within its job.
    attempt : int
        Number of the attempt.
    term : Term
        The term of the `Start` that this answers.
    verdict : str
        Value of a `Verdict`.
    succeeded : bool
        Whether the backend server answered with a status for success.
    body : bytes
        Body of the backend server's answer.
    content_type : str
        Media type of the body.
    error : str
        Reason why the attempt failed; empty if it succeeded.
    run_time_us : int
        Duration of the exchange with the backend server, in microseconds.
    retained : bool
        False if the agent no longer stores the body of the answer.
    round : int
        Round of the term that this confirms, as a `HeartbeatReply` would; 0
        confirms none.
    stamp_us : int
        Time of this message on the agent's monotonic clock, in
        microseconds; 0 if it confirms no round.
    """

    job_id: bytes = b""
    task: int = 0
    attempt: int = 0
    term: Term = NO_TERM
    verdict: str = "may_have_run"
    succeeded: bool = False
    body: bytes = b""
    content_type: str = ""
    error: str = ""
    run_time_us: int = 0
    retained: bool = True
    round: int = 0
    stamp_us: int = 0


AgentMessage = (
    AgentHello | FenceReply | HeartbeatReply | TaskResult | LedgerReply
)
