"""Limits and effects of an entry. Free of I/O."""

import dataclasses

from egretcart.direct.admission import AdmissionLimits
from egretcart.direct.job import JobState
from egretcart.direct.messages import Message
from egretcart.direct.placement import PlacementLimits
from egretcart.direct.rescheduling import ReschedulingLimits

# Numbers of runs of a job that is taken over begin here times the number of
# entries that may have begun it, above all that the former one has given.
RUN_NUMBERS_PER_TAKEOVER = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DirectEntryLimits:
    """Times and bounds of an entry.

    Attributes
    ----------
    beat_s : float
        Shortest time between two heartbeats to an agent, in seconds.
    max_beat_s : float
        Longest time between two, in seconds: an agent ends the runs of a
        silent entry before its callers ask again.
    max_beats_per_s : float
        Heartbeats to all agents together, per second, up to the longest
        time: each takes about 0.2 ms with the status that comes back, so
        that they take 5 % of a core.
    silent_beats : float
        Silence of an agent after which its link is closed, in beats.
    peer_beat_s : float
        Time between two heartbeats to another entry, in seconds; jobs that
        were taken in are told with it, before a caller asks again.
    peer_silence_s : float
        Silence of an entry after which its link is closed, in seconds:
        three beats, and less than a caller takes to ask again.
    agent_stop_s : float
        Time in which an agent that has found an entry silent has stopped
        all its runs, or the lease of its backend server has lapsed, in
        seconds.
    pause_s : float
        Gap between two ticks from which the process counts as paused.
    unheard_wait_s : float
        Longest wait for agents before a job is taken in that an entry which
        tells nothing here may hold, in seconds: ten times what an agent
        takes to stop a run. Most such jobs are new, and all would wait for
        an agent that stands still.
    claim_memory_s : float
        Time for which jobs of other entries are remembered, in seconds.
    younger_s : float
        A job that another entry claims is the older one if it was taken in
        longer ago than this, in seconds: claims travel in a beat.
    answer_memory_s : float
        Time for which the state of an ended job is remembered.
    meeting_s : float
        Time in which agents are expected to connect and to take tasks,
        after this process has started or was paused, in seconds: a backend
        server reports at that interval.
    first_meeting_s : float
        Expected time until the first of them does, in seconds: half of
        what a process takes to start, and a third of that interval.
    far_factor : float
        How much longer a task takes on another rack than its data's.
    """

    heartbeat_interval_s: float = 0.15
    max_heartbeat_interval_s: float = 0.3
    max_heartbeats_per_s: float = 250.0
    max_missed_heartbeats: float = 3.4
    peer_heartbeat_interval_s: float = 0.3
    peer_heartbeat_timeout_s: float = 0.95
    agent_stop_s: float = 0.6
    pause_threshold_s: float = 0.4
    unconnected_wait_s: float = 0.3
    claim_retention_s: float = 20.0
    concurrent_claim_window_s: float = 0.7
    answer_retention_s: float = 20.0
    discovery_wait_s: float = 1.5
    first_discovery_s: float = 0.5
    far_factor: float = 1.5
    admission: AdmissionLimits = dataclasses.field(
        default_factory=AdmissionLimits
    )
    placement: PlacementLimits = dataclasses.field(
        default_factory=PlacementLimits
    )
    rescheduling: ReschedulingLimits = dataclasses.field(
        default_factory=ReschedulingLimits
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Effect: the answer to a caller's request.

    Attributes
    ----------
    request_id : int
    state : JobState or None
        How the job ended; None if it was refused and never runs.
    retry_after_s : float or None
        When to come back, if it was refused.
    cause : str
        Why it was refused.
    interrupted : bool
        Whether the job may have run in part, here or at another entry;
        it may be submitted again.
    invalid : bool
        Whether the job makes no sense, whoever is asked.
    """

    request_id: int
    state: JobState | None = None
    interrupted: bool = False
    invalid: bool = False
    retry_after_s: float | None = None
    cause: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SendToAgent:
    """Effect: send a message on the agent's link."""

    agent_id: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeer:
    """Effect: send a message to another entry."""

    entry_id: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class ClosePeer:
    """Effect: close the link to another entry; it is opened again."""

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseAgent:
    """Effect: close the agent's link; it may connect again."""

    agent_id: str


EntryEffect = Answer | SendToAgent | SendToPeer | CloseAgent | ClosePeer
