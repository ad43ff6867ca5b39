"""Messages of a cell's leader to agents."""

import msgspec

from egretcart.connection.cell_types import ALL_TASKS
from egretcart.connection.cell_types import NO_TERM
from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import Term


class Fence(msgspec.Struct, frozen=True, kw_only=True):
    """A leader asks an agent to promise its term.

    An agent that has promised a term no longer obeys leaders of lower terms.

    Attributes
    ----------
    term : Term
        Term of the leader.
    cell : int
        Index of the cell within its service.
    by_query : bool
        Whether the leader requests the records that it needs with a
        `LedgerQuery`, so that the reply may omit tasks that no longer run.
    """

    term: Term = NO_TERM
    cell: int = 0
    by_query: bool = False


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """A leader asks an agent to confirm its term, and renews its lease.

    The leader numbers these requests; all requests with one number are a
    round. A `stamp_us` that the agent has sent is proven once a majority of
    the roster has confirmed a round that was opened after the stamp arrived;
    see `egretcart.process.cell.quorum`.

    Attributes
    ----------
    term : Term
        Term of the leader.
    round : int
        Number of the round, to be confirmed by a `HeartbeatReply`; 0 asks
        for no confirmation.
    proven_stamp_us : int
        Newest proven `stamp_us` of the receiving agent, in microseconds of
        its monotonic clock; the agent's lease is counted from it. 0 if none
        is proven yet.
    roster : Roster or None
        Newest roster, while the agent has an older one; otherwise None.
    config_version : int
        Configuration version that the leader uses.
    """

    term: Term = NO_TERM
    round: int = 0
    proven_stamp_us: int = 0
    roster: Roster | None = None
    config_version: int = 0


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """A leader asks an agent to start one attempt at a task.

    Attributes
    ----------
    term : Term
        Term of the leader.
    job_id : bytes
    digest : bytes
        Digest of the job's body.
    task : int
        Index of the task within its job.
    attempt : int
        Number of the attempt.
    kind : str
        Kind of the task.
    payload : bytes
        Payload of the task.
    idempotent : bool
        Whether the job is idempotent.
    time_left_ms : int
        Time limit of the attempt from the receipt of this message, in
        milliseconds.
    round : int
        Round to be confirmed by the agent's next `TaskResult`; 0 asks for
        no confirmation.
    proven_stamp_us : int
        Newest proven `stamp_us` of the receiving agent, as in a `Heartbeat`,
        in microseconds; 0 if there is no newer one.
    """

    term: Term = NO_TERM
    job_id: bytes = b""
    digest: bytes = b""
    task: int = 0
    attempt: int = 0
    kind: str = ""
    payload: bytes = b""
    idempotent: bool = False
    time_left_ms: int = 0
    round: int = 0
    proven_stamp_us: int = 0


class CancelledTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task to be cancelled, or a whole job.

    Attributes
    ----------
    job_id : bytes
    task : int
        Index of the task within its job; `ALL_TASKS` means all of them.
    """

    job_id: bytes = b""
    task: int = ALL_TASKS


class CancelTasks(msgspec.Struct, frozen=True, kw_only=True):
    """A leader asks an agent to cancel tasks, possibly of many jobs.

    Attributes
    ----------
    term : Term
        Term of the leader.
    tasks : tuple of CancelledTask
    """

    term: Term = NO_TERM
    tasks: tuple[CancelledTask, ...] = ()


class FetchJob(msgspec.Struct, frozen=True, kw_only=True):
    """A leader asks an agent for the results of a job's finished tasks.

    Attributes
    ----------
    term : Term
        Term of the leader.
    job_id : bytes
    """

    term: Term = NO_TERM
    job_id: bytes = b""


class LedgerQuery(msgspec.Struct, frozen=True, kw_only=True):
    """A leader asks an agent for its ledger's records of some jobs.

    Attributes
    ----------
    term : Term
        Term of the leader.
    number : int
        Number of the query, which the reply repeats.
    job_ids : tuple of bytes
        Jobs whose records are requested.
    made_before_ms : int
        Unix time in milliseconds. The records of all jobs that were created
        before it are requested as well; 0 requests no others.
    """

    term: Term = NO_TERM
    number: int = 0
    job_ids: tuple[bytes, ...] = ()
    made_before_ms: int = 0


LeaderMessage = (
    Fence | Heartbeat | Start | CancelTasks | FetchJob | LedgerQuery
)
