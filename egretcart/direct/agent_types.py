"""Limits, records and effects of an agent. Free of I/O."""

import dataclasses
import enum

from egretcart.direct.backend import StartRequest
from egretcart.direct.backend import StopRequest
from egretcart.direct.health import HealthLimits
from egretcart.direct.job import Room
from egretcart.direct.job import TaskKey
from egretcart.direct.lease import LeaseLimits
from egretcart.direct.messages import Message
from egretcart.direct.progress import ProgressLimits
from egretcart.direct.progress import RunProgress


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DirectAgentLimits:
    """Times and bounds of an agent.

    Attributes
    ----------
    beat_s : float
        Longest time between two statuses to an entry, in seconds, unless
        that entry has set another one.
    status_gap_s : float
        Shortest time between two, but for the entry whose run has ended.
    max_statuses_per_s : float
        Statuses to all entries together, but for those that are due, per
        second: each takes about 0.2 ms at both of its ends, so that they
        take 3 % of a core however many entries there are.
    silent_beats : float
        Silence of an entry after which its runs are stopped, in beats.
    pause_s : float
        Gap between two ticks from which the process counts as paused;
        entries may have given its runs up meanwhile.
    queue_s : float
        Time for which a task may wait for room here, in seconds.
    answer_s : float
        Silence of the backend server from which nothing is started.
    retry_s : float
        Time after which an unanswered order to stop is repeated.
    takeover_memory_s : float
        Time for which tasks of a job are refused from entries that it was
        taken over from, in seconds: longer than their callers wait.
    start_limit_s, stop_limit_s : float
        Time limits of the orders, in seconds.
    """

    heartbeat_interval_s: float = 0.15
    min_status_interval_s: float = 0.02
    max_statuses_per_s: float = 150.0
    max_missed_heartbeats: float = 3.4
    pause_threshold_s: float = 0.4
    max_queue_wait_s: float = 0.25
    backend_timeout_s: float = 0.3
    stop_retry_interval_s: float = 0.15
    takeover_retention_s: float = 20.0
    start_timeout_s: float = 0.25
    stop_timeout_s: float = 0.25
    lease: LeaseLimits = dataclasses.field(default_factory=LeaseLimits)
    health: HealthLimits = dataclasses.field(default_factory=HealthLimits)
    progress: ProgressLimits = dataclasses.field(
        default_factory=ProgressLimits
    )


class RunPhase(enum.Enum):
    """How far a run has come; all but `QUEUED` take room.

    `UNCERTAIN` runs were ordered and the order brought no answer.
    """

    QUEUED = "queued"
    STARTING = "starting"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(kw_only=True, slots=True)
class Run:
    """One run of a task at this agent."""

    key: TaskKey
    run: int
    entry_id: str
    payload: str
    room: Room
    estimate_ms: float
    priority: int
    due_at: float
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

    def order(self, now: float) -> tuple[bool, int, float]:
        """Return what sorts the queue: those that can be on time first."""
        is_late = now + self.estimate_ms / 1000 > self.due_at
        return (is_late, self.priority, self.due_at)


@dataclasses.dataclass(kw_only=True, slots=True)
class EntryState:
    """What the agent knows of an entry."""

    incarnation: int
    last_message_at: float
    heartbeat_interval_s: float
    connected: bool = True
    sequence: int = 0
    status_sent_at: float = 0.0
    outdated: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Eviction:
    """An entry waits until no run of a job by others is left."""

    entry_id: str
    number: int
    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendToEntry:
    """Effect: send a message on the entry's link."""

    entry_id: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendStartRequest:
    """Effect: order a run at the backend server."""

    request: StartRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SendStopRequest:
    """Effect: order the end of a run."""

    request: StopRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CloseEntry:
    """Effect: close the entry's link; it may connect again."""

    entry_id: str


AgentEffect = SendToEntry | SendStartRequest | SendStopRequest | CloseEntry
