"""Limits and effects of an entry. Free of I/O."""

import msgspec

from egretcart.direct.connection.messages import Message
from egretcart.direct.policy.admission import AdmissionLimits
from egretcart.direct.policy.capacity_offers import NoticeLimits
from egretcart.direct.policy.confinement import ConfinementLimits
from egretcart.direct.policy.crashes import CrashLimits
from egretcart.direct.policy.placement import PlacementLimits
from egretcart.direct.policy.rescue import ReschedulingLimits
from egretcart.direct.policy.rotation import RotationLimits
from egretcart.direct.request.job import JobState

# The runs of a job that is taken over are numbered from this value times the
# number of the claim, above all numbers that the former entry has given.
RUN_NUMBERS_PER_TAKEOVER = 1000


class RecruitingLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of recruiting, see `AgentRecruiter`.

    Attributes
    ----------
    interval_s : float
        Shortest time between two requests of an entry, in seconds: what an
        agent takes to connect and to send its status.
    entries_asked : int
        Most entries that are asked at a time.
    agents_sent : int
        Most agents that an entry sends to another one at a time.
    """

    interval_s: float = 0.1
    entries_asked: int = 3
    agents_sent: int = 2


class DirectEntryLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Times and bounds of an entry.

    Attributes
    ----------
    tick_interval_s : float
        Time between two calls of `DirectEntry.tick`, in seconds.
    heartbeat_interval_s : float
        Shortest time between two heartbeats to an agent, in seconds.
    max_heartbeat_interval_s : float
        Longest time between two heartbeats to an agent, in seconds. It
        bounds how late an agent notices that it has lost an entry: the
        agent stops that entry's runs before the callers ask again.
    max_heartbeats_per_s : float
        Heartbeats to all agents together, per second; more are sent if
        `max_heartbeat_interval_s` requires it. Each takes about 0.2 ms with
        the status that is sent in return, so that they take 5 % of a core.
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
        Time, in seconds, from the moment when an agent marks an entry as
        lost until the agent has stopped all runs of that entry or the lease
        of its backend server has expired.
    pause_threshold_s : float
        Gap between two ticks from which the process counts as paused, in
        seconds.
    unconnected_wait_s : float
        While an entry is not connected, any job may already run for it.
        Before a job is accepted, agents are then asked to end such runs;
        this is the longest wait for their answers, in seconds. It is ten
        times what an agent takes to stop a run. It is bounded because most
        such jobs are new, and all of them would wait for one stalled agent.
    claim_retention_s : float
        Time for which jobs of other entries are remembered, in seconds.
    concurrent_claim_window_s : float
        Age of an accepted job, in seconds, from which it is yielded if
        another entry reports that it has accepted the same job. That report
        is sent with the next heartbeat, so if the job was accepted here
        more recently, the other entry may have accepted it before.
    answer_retention_s : float
        Time for which the state of an ended job is remembered, in seconds.
    discovery_wait_s : float
        Time in which agents are expected to connect and to accept tasks,
        after this process has started or was paused, in seconds: a backend
        server reports at that interval.
    first_discovery_s : float
        Expected time until the first agent connects and accepts tasks, in
        seconds: half of what a process takes to start, and a third of the
        interval at which a backend server reports.
    far_factor : float
        Factor by which a task's run time is longer on another rack than
        that of its data.
    admission : AdmissionLimits
    notices : NoticeLimits
    placement : PlacementLimits
    rescheduling : ReschedulingLimits
    rotation : RotationLimits
    recruiting : RecruitingLimits
    crashes : CrashLimits
    confinement : ConfinementLimits
    """

    tick_interval_s: float = 0.05
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
    admission: AdmissionLimits = msgspec.field(default_factory=AdmissionLimits)
    notices: NoticeLimits = msgspec.field(default_factory=NoticeLimits)
    placement: PlacementLimits = msgspec.field(default_factory=PlacementLimits)
    rescheduling: ReschedulingLimits = msgspec.field(
        default_factory=ReschedulingLimits
    )
    rotation: RotationLimits = msgspec.field(default_factory=RotationLimits)
    recruiting: RecruitingLimits = msgspec.field(
        default_factory=RecruitingLimits
    )
    crashes: CrashLimits = msgspec.field(default_factory=CrashLimits)
    confinement: ConfinementLimits = msgspec.field(
        default_factory=ConfinementLimits
    )

    @property
    def runs_expiry_s(self) -> float:
        """Time after an entry's last message until its runs have expired.

        Agents notice its end after the longest heartbeat timeout, whatever
        interval it has requested, and then stop its runs.
        """
        return (
            self.max_missed_heartbeats * self.max_heartbeat_interval_s
            + self.agent_stop_s
        )


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Effect: the answer to a caller's request.

    Attributes
    ----------
    request_id : int
    state : JobState or None
        How the job ended; None if it was refused, so that it never runs, or
        was `interrupted`.
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


class SendToAgent(msgspec.Struct, frozen=True):
    """Effect: send a message on the agent's link."""

    agent_id: str
    message: Message


class SendToPeer(msgspec.Struct, frozen=True):
    """Effect: send a message to another entry."""

    entry_id: str
    message: Message


class ClosePeer(msgspec.Struct, frozen=True):
    """Effect: close the link to another entry; it is opened again."""

    entry_id: str


class CloseAgent(msgspec.Struct, frozen=True):
    """Effect: close the agent's link; it may connect again."""

    agent_id: str


EntryEffect = Answer | SendToAgent | SendToPeer | CloseAgent | ClosePeer
