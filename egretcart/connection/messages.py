"""Messages between egretcart's processes, as data classes.

Each class mirrors the struct of the same name in ``wire.thrift``. A field
that is absent on the wire has the default that is given here. A default must
never change, because other releases omit a field that has this value.
"""

import msgspec

from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_address import NO_ADDRESS


class Term(msgspec.Struct, frozen=True, order=True):
    """The term of a cell's leader; serves as its fencing token.

    Attributes
    ----------
    counter : int
        Increased by every takeover.
    holder : int
        Incarnation of the entry that leads in this term; orders terms with
        equal counters.
    """

    counter: int = 0
    holder: int = 0


NO_TERM = Term()
# `CancelledTask.task` that stands for all tasks of the job.
ALL_TASKS = -1
# `FenceReply.newest_job_ms` of a release that does not report it.
UNKNOWN_MS = -1


class RosterMember(msgspec.Struct, frozen=True, kw_only=True):
    """An agent of a cell.

    Attributes
    ----------
    agent_id : str
    incarnation : int
        Incarnation that the agent had when it was added to the roster; see
        `AgentHello`.
    """

    agent_id: str = ""
    incarnation: int = 0


class Roster(msgspec.Struct, frozen=True, kw_only=True):
    """The agents of a cell, as agreed through the platform's store.

    Attributes
    ----------
    version : int
        Increased by one with every change; 0 means that no roster is known.
    members : tuple of RosterMember
    lost_before_ms : int
        Unix time in milliseconds. A job that was created before it and is
        in no member's ledger may have run on a member that has been removed.
    """

    version: int = 0
    members: tuple[RosterMember, ...] = ()
    lost_before_ms: int = 0

    @property
    def agent_ids(self) -> frozenset[str]:
        """The identifiers of all members."""
        return frozenset(member.agent_id for member in self.members)


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


class EntryList(msgspec.Struct, frozen=True, kw_only=True):
    """The entries that the sender knows to be live."""

    entries: tuple[EntryAddress, ...] = ()


class EntryHello(msgspec.Struct, frozen=True, kw_only=True):
    """An entry introduces itself to another process.

    Attributes
    ----------
    address : EntryAddress
    incarnation : int
        Differs with every start of the entry's process.
    """

    address: EntryAddress = NO_ADDRESS
    incarnation: int = 0


class CellLeader(msgspec.Struct, frozen=True, kw_only=True):
    """A cell that the sender leads.

    Attributes
    ----------
    service_name : str
    cell : int
        Index of the cell within its service.
    term : Term
        The sender's term in this cell.
    """

    service_name: str = ""
    cell: int = 0
    term: Term = NO_TERM


class EntryBeat(msgspec.Struct, frozen=True, kw_only=True):
    """A heartbeat from one entry to another.

    Attributes
    ----------
    config_version : int
        Configuration version that the sender uses.
    leading : tuple of CellLeader
        All cells that the sender leads.
    leaving : bool
        Whether the sender is shutting down.
    interval_ms : int
        Longest time until the next heartbeat to this receiver, in
        milliseconds.
    """

    config_version: int = 0
    leading: tuple[CellLeader, ...] = ()
    leaving: bool = False
    interval_ms: int = 250


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """An entry forwards a caller's request to the leader of the job's cell.

    Attributes
    ----------
    request_id : int
        Number of the request, which the reply repeats.
    action : str
        ``submit``, ``read`` or ``cancel``.
    service_name : str
    job_id : bytes
    body : bytes
        Body of the caller's request.
    time_left_ms : int
        Unused: neither set nor read by this release.
    """

    request_id: int = 0
    action: str = ""
    service_name: str = ""
    job_id: bytes = b""
    body: bytes = b""
    time_left_ms: int = 0


class ForwardReply(msgspec.Struct, frozen=True, kw_only=True):
    """The leader's answer to a forwarded request.

    Attributes
    ----------
    request_id : int
        Number of the forwarded request.
    outcome : str
        Value of a `ReplyOutcome`.
    body : bytes
        JSON document for the caller.
    status : int
        HTTP status code for the caller.
    retry_after_ms : int
        Delay after which the caller may retry, in milliseconds; 0 if a
        retry is of no use.
    """

    request_id: int = 0
    outcome: str = ""
    body: bytes = b""
    status: int = 0
    retry_after_ms: int = 0


class ConfigRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the receiver's configuration if it is newer.

    Attributes
    ----------
    version : int
        Configuration version that the sender knows.
    """

    version: int = 0


class CellRoster(msgspec.Struct, frozen=True, kw_only=True):
    """The newest roster of a cell that the sender knows.

    Attributes
    ----------
    service_name : str
    cell : int
        Index of the cell within its service.
    roster : Roster or None
    """

    service_name: str = ""
    cell: int = 0
    roster: Roster | None = None


class ConfigDocument(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted configuration version, as JSON.

    Attributes
    ----------
    version : int
    document : bytes
        The configuration as JSON.
    rosters : tuple of CellRoster
        Rosters for a process that can't read them from the platform's
        store.
    """

    version: int = 0
    document: bytes = b""
    rosters: tuple[CellRoster, ...] = ()


class AgentConfig(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a configuration version that an agent needs.

    Attributes
    ----------
    version : int
    drained : bool
        Whether the receiving agent is drained: it gets no new work.
    """

    version: int = 0
    drained: bool = False


AgentMessage = (
    AgentHello | FenceReply | HeartbeatReply | TaskResult | LedgerReply
)
LeaderMessage = (
    Fence | Heartbeat | Start | CancelTasks | FetchJob | LedgerQuery
)
EntryMessage = (
    EntryList
    | EntryHello
    | EntryBeat
    | Forward
    | ForwardReply
    | ConfigRequest
    | ConfigDocument
    | AgentConfig
)
Message = AgentMessage | LeaderMessage | EntryMessage
