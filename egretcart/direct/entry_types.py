"""Limits and effects of an entry. Free of I/O."""

import dataclasses

from egretcart.direct.admission import AdmissionLimits
from egretcart.direct.job import JobState
from egretcart.direct.messages import Message
from egretcart.direct.placement import PlacementLimits
from egretcart.direct.rescue import ReschedulingLimits

# The runs of a job that is taken over are numbered from this value times the
# number of the claim, above all numbers that the former entry has given.
RUN_NUMBERS_PER_TAKEOVER = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DirectEntryLimits:
    """Times and bounds of an entry.

    Attributes
    ----------
    heartbeat_interval_s : float
        Shortest time between two heartbeats to an agent, in seconds.
    max_heartbeat_interval_s : float
        Longest time between two heartbeats to an agent, in seconds: an
        agent stops the runs of an entry that it has lost before the callers
        ask again.
    max_heartbeats_per_s : float
        Heartbeats to all agents together, per second, unless the longest
        interval requires more: each takes about 0.2 ms with the status that
        is sent in return, so that they take 5 % of a core.
    max_missed_heartbeats : float
        Heartbeat intervals without a message of an agent after which its
        link is closed.
    peer_heartbeat_interval_s : float
        Time between two heartbeats to another entry, in seconds; accepted
        jobs are reported with it, before a caller asks again.
    peer_heartbeat_timeout_s : float
        Time without a heartbeat of another entry after which its link is
        closed, in seconds: three heartbeat intervals, and less than a
        caller takes to ask again.
    agent_stop_s : float
        Time within which an agent that has lost an entry has stopped all
        runs of that entry, or the lease of its backend server has expired,
        in seconds.
    pause_threshold_s : float
        Gap between two ticks from which the process counts as paused, in
        seconds.
    unconnected_wait_s : float
        Longest wait for agents before a job is accepted that an unconnected
        entry, which reports no claims here, may own; in seconds. It is ten
        times what an agent takes to stop a run. Most such jobs are new, and
        all of them would wait for an agent that is stalled.
    claim_retention_s : float
        Time for which jobs of other entries are remembered, in seconds.
    concurrent_claim_window_s : float
        Age from which a job counts as older than another entry's claim to
        it and is yielded, in seconds: claims are sent with the heartbeats,
        so the claim to a younger job may be the older one.
    answer_retention_s : float
        Time for which the state of an ended job is remembered, in seconds.
    discovery_wait_s : float
        Time in which agents are expected to connect and to accept tasks,
        after this process has started or was paused, in seconds: a backend
        server reports at that interval.
    first_discovery_s : float
        Expected time until the first agent does so, in seconds: half of
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
        When the caller may retry, in seconds; None if it was not refused
        or is not served at all.
    cause : str
        Why it was refused; empty if it was not.
    interrupted : bool
        Whether the job may have run in part, here or at another entry;
        it may be submitted again.
    invalid : bool
        Whether the job is invalid, so that every entry refuses it.
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
