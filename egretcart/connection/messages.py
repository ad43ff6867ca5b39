"""Typed messages between egretcart's processes.

Each class mirrors the struct of the same name in ``wire.thrift``; a field
that is left out takes the default given here. A default never changes, as
other releases leave the field out when it has that value.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Term:
    """A fencing token: a leader's reign over a cell.

    Attributes
    ----------
    counter : int
        Raised by every takeover.
    holder : int
        Incarnation of the entry that holds the term; breaks ties.
    """

    counter: int = 0
    holder: int = 0


NO_TERM = Term()
ALL_TASKS = -1
UNKNOWN_MS = -1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RosterMember:
    """An agent of a cell and the incarnation in which it was added."""

    agent_id: str = ""
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Roster:
    """The agents of a cell, agreed through the platform's store.

    Attributes
    ----------
    version : int
        Raised by one with every change; 0 means that none is known.
    members : tuple of RosterMember
    lost_before_ms : int
        Unknown jobs made before this Unix time may have run on a member
        that has been removed.
    """

    version: int = 0
    members: tuple[RosterMember, ...] = ()
    lost_before_ms: int = 0

    @property
    def agent_ids(self) -> frozenset[str]:
        """The identifiers of all members."""
        return frozenset(member.agent_id for member in self.members)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryAddress:
    """Where other processes reach an entry."""

    entry_id: str = ""
    host: str = ""
    port: int = 0
    weight: int = 1
    failure_domain: str = ""
    http_host: str = ""
    http_port: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgentHello:
    """An agent announces its backend server to an entry."""

    agent_id: str = ""
    incarnation: int = 0
    service_name: str = ""
    failure_domain: str = ""
    slots: int = 0
    connections: int = 0
    draining: bool = False
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskRecord:
    """What a ledger knows of one task; `state` is a `RecordState`."""

    index: int = 0
    attempt: int = 0
    state: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobRecord:
    """What a ledger knows of one job."""

    job_id: bytes = b""
    digest: bytes = b""
    tasks: tuple[TaskRecord, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FenceReply:
    """An agent's answer to a fence.

    Attributes
    ----------
    term : Term
        The highest term that the agent has promised, after the fence.
    accepted : bool
    stamp_us : int
        The agent's monotonic clock in microseconds.
    roster : Roster
        The newest roster that the agent knows.
    records : tuple of JobRecord
        What the agent runs if `by_query`, else its whole ledger; empty if
        not accepted.
    incarnation : int
    by_query : bool
        Whether the rest of the ledger has to be asked for.
    newest_job_ms : int
        Unix time of the newest job that the agent has ever begun; 0 if it
        has begun none, `UNKNOWN_MS` from an earlier release.
    """

    term: Term = NO_TERM
    accepted: bool = False
    stamp_us: int = 0
    roster: Roster = Roster()
    records: tuple[JobRecord, ...] = ()
    incarnation: int = 0
    by_query: bool = False
    newest_job_ms: int = UNKNOWN_MS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LedgerReply:
    """An agent's answer to a ledger query.

    Attributes
    ----------
    number : int
        Number of the query.
    records : tuple of JobRecord
        The named jobs, but for those of which nothing was started.
    """

    number: int = 0
    records: tuple[JobRecord, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatReply:
    """An agent confirms the term that it has promised."""

    term: Term = NO_TERM
    round: int = 0
    stamp_us: int = 0
    roster_version: int = 0
    running: int = 0
    queued: int = 0
    draining: bool = False
    config_version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskResult:
    """How one attempt at a task has ended.

    Attributes
    ----------
    job_id : bytes
    task, attempt : int
    term : Term
        The term of the start that this answers.
    verdict : str
        Value of a `Verdict`.
    succeeded : bool
    body : bytes
        The backend server's answer.
    content_type : str
    error : str
        Why the attempt failed; empty if it succeeded.
    run_time_us : int
        Duration of the exchange in microseconds.
    retained : bool
        False if the answer's body is no longer kept.
    round : int
        Round of the term that this confirms as a heartbeat's reply would;
        0 for none.
    stamp_us : int
        The agent's monotonic clock in microseconds, with a round.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fence:
    """A leader asks an agent to promise its term.

    Attributes
    ----------
    term : Term
    cell : int
    by_query : bool
        Whether the leader asks for the records that it needs, so that the
        reply can leave out what no longer runs.
    """

    term: Term = NO_TERM
    cell: int = 0
    by_query: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """A leader's round, and the newest stamp that a majority has proven.

    Attributes
    ----------
    term : Term
    round : int
        To be confirmed by a `HeartbeatReply`; 0 asks for none.
    proven_stamp_us : int
        A stamp of the receiving agent; 0 if none is proven yet.
    roster : Roster or None
        Sent while the agent has an older one.
    config_version : int
    """

    term: Term = NO_TERM
    round: int = 0
    proven_stamp_us: int = 0
    roster: Roster | None = None
    config_version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Start:
    """A leader asks an agent to start one attempt at a task.

    Attributes
    ----------
    term : Term
    job_id, digest : bytes
    task, attempt : int
    kind : str
    payload : bytes
    idempotent : bool
    time_left_ms : int
    round : int
        To be confirmed by the agent's next result; 0 asks for nothing.
    proven_stamp_us : int
        As in a `Heartbeat`; 0 if there is nothing new.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelledTask:
    """One task of a cancel; the task `WHOLE_JOB` stands for all."""

    job_id: bytes = b""
    task: int = ALL_TASKS


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelTasks:
    """A leader asks an agent to end work, of many jobs at a time."""

    term: Term = NO_TERM
    tasks: tuple[CancelledTask, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FetchJob:
    """A leader asks an agent for the results of a job it has finished."""

    term: Term = NO_TERM
    job_id: bytes = b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LedgerQuery:
    """A leader asks an agent what it knows of some jobs.

    Attributes
    ----------
    term : Term
    number : int
        Named by the reply.
    job_ids : tuple of bytes
    made_before_ms : int
        Jobs made before this Unix time are asked for as well.
    """

    term: Term = NO_TERM
    number: int = 0
    job_ids: tuple[bytes, ...] = ()
    made_before_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryList:
    """The entries that the sender knows to be live."""

    entries: tuple[EntryAddress, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryHello:
    """An entry introduces itself to another process."""

    address: EntryAddress = EntryAddress()
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CellLeader:
    """A cell that the sender leads."""

    service_name: str = ""
    cell: int = 0
    term: Term = NO_TERM


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryBeat:
    """Heartbeat between entries.

    Attributes
    ----------
    config_version : int
    leading : tuple of CellLeader
        All cells that the sender leads.
    leaving : bool
    interval_ms : int
        When the next heartbeat to this receiver follows at the latest.
    """

    config_version: int = 0
    leading: tuple[CellLeader, ...] = ()
    leaving: bool = False
    interval_ms: int = 250


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Forward:
    """An entry passes a caller's request to the leader of its cell."""

    request_id: int = 0
    action: str = ""
    service_name: str = ""
    job_id: bytes = b""
    body: bytes = b""
    time_left_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardReply:
    """The leader's answer to a forwarded request.

    Attributes
    ----------
    request_id : int
    outcome : str
        Value of a `ReplyOutcome`.
    body : bytes
        JSON for the caller.
    status : int
        HTTP status code for the caller.
    retry_after_ms : int
        When the caller may come back; 0 if that is of no use.
    """

    request_id: int = 0
    outcome: str = ""
    body: bytes = b""
    status: int = 0
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigRequest:
    """Asks for the configuration if the receiver's is newer."""

    version: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CellRoster:
    """The newest roster of a cell that the sender knows."""

    service_name: str = ""
    cell: int = 0
    roster: Roster | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigDocument:
    """An accepted configuration version, as JSON.

    Attributes
    ----------
    version : int
    document : bytes
    rosters : tuple of CellRoster
        For a process that can't read them from the platform's store.
    """

    version: int = 0
    document: bytes = b""
    rosters: tuple[CellRoster, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgentConfig:
    """What an agent needs to know of a configuration version.

    Attributes
    ----------
    version : int
    drained : bool
        Whether the receiving agent gets no new work.
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
