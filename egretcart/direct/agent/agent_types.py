"""Limits, records and effects of an agent of direct dispatch.

Times without a unit in their name are in seconds on the agent's monotonic
clock.
"""

import enum

import msgspec

from egretcart.connection.dialler import Endpoint
from egretcart.direct.backend.backend import StartRequest
from egretcart.direct.backend.backend import StopRequest
from egretcart.direct.backend.health import HealthLimits
from egretcart.direct.backend.lease import LeaseLimits
from egretcart.direct.backend.suspicion import SuspicionLimits
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Message
from egretcart.direct.connection.working_set import WorkingSetLimits
from egretcart.direct.policy.capacity_offers import OfferLimits
from egretcart.direct.policy.crashes import CrashLimits
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import TaskKey
from egretcart.direct.request.ordering import TaskOrder
from egretcart.direct.request.progress import ProgressLimits
from egretcart.direct.request.progress import RunProgress


class DirectAgentLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Time limits and bounds of an agent.

    Attributes
    ----------
    heartbeat_interval_s : float
        Longest time between two statuses to an entry, in seconds, unless
        that entry has requested another interval.
    min_status_interval_s : float
        Shortest time between two statuses to an entry, in seconds. An entry
        whose run has ended gets its status at once.
    max_statuses_per_s : float
        Upper bound of the statuses to all entries together, per second in
        the mean; in any one second, at most one more for each entry.
        It does not apply to statuses that are due after
        `heartbeat_interval_s` or after the end of a run. Each status takes
        about 0.2 ms both at the agent and at the entry, so that statuses
        take 3 % of a core however many entries there are.
    max_missed_heartbeats : float
        Time without a message from an entry after which its runs are
        stopped, in heartbeat intervals.
    pause_threshold_s : float
        Time between two ticks, in seconds, above which the process counts
        as paused; entries may have marked its runs as lost meanwhile.
    max_queue_wait_s : float
        Time for which a task may wait here for free capacity, in seconds.
    backend_timeout_s : float
        Time without an answer of the backend server, in seconds, after
        which nothing more is started.
    stop_retry_interval_s : float
        Time after which a stop request that has no answer yet is repeated,
        in seconds.
    leaving_report_interval_s : float
        Time between two reports of the same run that its server's leaving
        will cut off, in seconds: long enough for a lost one to matter
        little in the notices of 1.5 s and more.
    takeover_retention_s : float
        Time for which tasks of a job are refused from entries that it was
        taken over from, in seconds: longer than their callers wait.
    retire_after_s : float
        Time for which an entry has to be outside the working set before it
        is told to send no more tasks, in seconds.
    retire_notice_s : float
        Time from then until the link may be closed, in seconds: longer than
        tasks that were sent before are under way.
    start_timeout_s, stop_timeout_s : float
        Time limits of start and of stop requests, in seconds.
    lease : LeaseLimits
    health : HealthLimits
    suspicion : SuspicionLimits
    progress : ProgressLimits
    working_set : WorkingSetLimits
    offers : OfferLimits
    crashes : CrashLimits
    """

    heartbeat_interval_s: float = 0.15
    min_status_interval_s: float = 0.02
    max_statuses_per_s: float = 150.0
    max_missed_heartbeats: float = 3.4
    pause_threshold_s: float = 0.4
    max_queue_wait_s: float = 0.25
    backend_timeout_s: float = 0.3
    stop_retry_interval_s: float = 0.15
    leaving_report_interval_s: float = 0.2
    takeover_retention_s: float = 20.0
    retire_after_s: float = 1.0
    retire_notice_s: float = 0.5
    start_timeout_s: float = 0.25
    stop_timeout_s: float = 0.25
    lease: LeaseLimits = msgspec.field(default_factory=LeaseLimits)
    health: HealthLimits = msgspec.field(default_factory=HealthLimits)
    suspicion: SuspicionLimits = msgspec.field(default_factory=SuspicionLimits)
    progress: ProgressLimits = msgspec.field(default_factory=ProgressLimits)
    working_set: WorkingSetLimits = msgspec.field(
        default_factory=WorkingSetLimits
    )
    offers: OfferLimits = msgspec.field(default_factory=OfferLimits)
    crashes: CrashLimits = msgspec.field(default_factory=CrashLimits)


class RunPhase(enum.Enum):
    """Phase of a run; in all but `QUEUED` it occupies capacity.

    Attributes
    ----------
    QUEUED
        It waits for free capacity.
    STARTING
        Its start request was sent, and the answer is outstanding.
    UNCERTAIN
        Its start request was sent and not answered; it may be running.
    RUNNING
        The server has confirmed that it has started.
    STOPPING
        It is being stopped, and the server has not confirmed its end.
    """

    QUEUED = "queued"
    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


class Run(msgspec.Struct, kw_only=True):
    """One run of a task at this agent.

    Attributes
    ----------
    key : TaskKey
    run : int
        Number of the run, which rises with each run of the same task.
    entry_id : str
        The entry that sent the task.
    payload : str
        Passed on to the backend server.
    room : Room
        Resources that the run requires.
    estimate_ms : float
        The caller's estimate of the run time.
    order : TaskOrder
        Which of the queued runs start first.
    max_per_agent : int
        Most runs of the step on this agent at a time; 0 for any number.
    may_wait : bool
        Whether the run may be queued if there is no free capacity.
    received_at : float
        When the agent received the task.
    progress : RunProgress
        Progress that the server has listed.
    phase : RunPhase
    reason : str
        Why the run is being stopped; empty if it is not.
    start_deadline_ms : int
        Time on the server's clock after which it refuses the start request;
        0 before the run is started.
    is_start_pending : bool
        Whether a start request is under way.
    answered_at : float
        When the server confirmed that the run has started; 0 before.
    stop_sent_at : float
        When the last stop request was sent; 0 if none was or if it failed.
    stop_answered_at : float
        When a stop request was answered; 0 before.
    late_reported_at : float
        When the run was last reported to its entry as late; 0 if never.
    leaving_reported_at : float
        When its entry was last told that its server leaves too early for
        it; 0 if never.
    is_listed : bool
        Whether an incarnation of the server has listed the run.
    carried_until : float
        When the run is certainly over if another incarnation of the server
        has executed its start request; 0 unless that is possible.
    crash_score : int
        What former crashes count against the task.
    crash_weight : int
        What the crash of its server counts against the run; 0 unless its
        server has crashed.
    """

    key: TaskKey
    run: int
    entry_id: str
    payload: str
    room: Room
    estimate_ms: float
    order: TaskOrder
    max_per_agent: int
    may_wait: bool
    received_at: float
    progress: RunProgress
    phase: RunPhase = RunPhase.QUEUED
    reason: str = ""
    start_deadline_ms: int = 0
    is_start_pending: bool = False
    answered_at: float = 0.0
    stop_sent_at: float = 0.0
    stop_answered_at: float = 0.0
    late_reported_at: float = 0.0
    leaving_reported_at: float = 0.0
    is_listed: bool = False
    carried_until: float = 0.0
    crash_score: int = 0
    crash_weight: int = 0


class Vacancy(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a status on which the choice of an agent depends most.

    Entries are told of its changes without waiting for a heartbeat.

    Attributes
    ----------
    accepting, probing : bool
        As in `AgentStatus`.
    tasks : int
        Number of tasks for which there is free capacity, up to a bound.
    queued : int
        Number of tasks that wait for free capacity.
    """

    accepting: bool = False
    probing: bool = False
    tasks: int = 0
    queued: int = 0


class EntryState(msgspec.Struct, kw_only=True):
    """State of an entry as the agent knows it.

    Attributes
    ----------
    incarnation : int
        Differs after each start of the entry's process.
    last_message_at : float
        When the entry's last message was received.
    heartbeat_interval_s : float
        Longest time between two statuses to the entry, in seconds.
    connected : bool
        Whether its link is open.
    sequence : int
        Sequence number of its last `RunTasks`; 0 if there was none.
    status_sent_at : float
        When the last status was sent to it; 0 if none was.
    reported : AgentStatus or None
        The last status sent to it; None if none was.
    outdated : bool
        Whether the agent's vacancy has changed since the last status.
    unwanted_since : float
        Since when the entry is outside the agent's working set; 0 if it
        belongs to it.
    drained_domains : tuple of str or None
        Drained failure domains that the entry has told last, or was told;
        None if neither.
    """

    incarnation: int
    last_message_at: float
    heartbeat_interval_s: float
    connected: bool = True
    sequence: int = 0
    status_sent_at: float = 0.0
    reported: AgentStatus | None = None
    outdated: bool = False
    unwanted_since: float = 0.0
    drained_domains: tuple[str, ...] | None = None

    def is_retiring(self, retire_after_s: float, now: float) -> bool:
        """Whether the entry is told to send no more tasks here."""
        return (
            self.unwanted_since > 0
            and now - self.unwanted_since > retire_after_s
        )


class Eviction(msgspec.Struct, kw_only=True):
    """An entry that waits until other entries' runs of a job have ended.

    Attributes
    ----------
    entry_id : str
    number : int
        Number of its `EvictJob`, which the answer repeats.
    job_id : str
    """

    entry_id: str
    number: int
    job_id: str


class SendToEntry(msgspec.Struct, frozen=True):
    """Effect: send a message on the entry's link."""

    entry_id: str
    message: Message


class SendStartRequest(msgspec.Struct, frozen=True):
    """Effect: send a start request to the backend server."""

    request: StartRequest


class SendStopRequest(msgspec.Struct, frozen=True):
    """Effect: send a stop request to the backend server."""

    request: StopRequest


class CloseEntryLink(msgspec.Struct, frozen=True):
    """Effect: close the entry's link; it may be opened again."""

    entry_id: str


class DialEntry(msgspec.Struct, frozen=True):
    """Effect: connect to an entry, unless that is under way already."""

    endpoint: Endpoint


AgentEffect = (
    SendToEntry
    | SendStartRequest
    | SendStopRequest
    | CloseEntryLink
    | DialEntry
)
