"""Data types of a load profile, which describes one load run in JSON."""

from typing import Annotated

import msgspec

from egretcart.process.settings import Address
from egretcart.process.settings import Positive
from egretcart.process.settings import SettingsBase
from egretcart.process.settings import Text

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Factor = Annotated[float, msgspec.Meta(ge=1, le=1000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=600)]
OffsetSeconds = Annotated[float, msgspec.Meta(ge=0, le=600)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=60_000)]
JobTasks = Annotated[int, msgspec.Meta(ge=1, le=2000)]


class KindProfile(SettingsBase, frozen=True, kw_only=True):
    """Tasks of one kind.

    Attributes
    ----------
    name : str
    share : float
        Relative frequency among the kinds of the profile.
    run_ms : float
        Geometric mean of the run times at speed 1, in milliseconds.
    spread : float
        Run times lie between `run_ms` divided and multiplied by this.
    """

    name: Text
    share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    run_ms: Milliseconds
    spread: Factor = 1.5


class ServerGroup(SettingsBase, frozen=True, kw_only=True):
    """Identical backend servers.

    The ideal response time and the capacity are computed from them.

    Attributes
    ----------
    count : int
        Number of servers.
    slots : int
        Tasks that each server runs at a time.
    speed : float
        True run times are divided by this.
    """

    count: Positive
    slots: Positive = 8
    speed: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class Burst(SettingsBase, frozen=True, kw_only=True):
    """Jobs that arrive at the same time.

    Attributes
    ----------
    at_s : float
        Arrival time in seconds from the start of the run.
    tasks : int
        Number of tasks in these jobs.
    """

    at_s: OffsetSeconds
    tasks: Positive


class CancelWave(SettingsBase, frozen=True, kw_only=True):
    """Cancellation of a share of the open jobs at the same time.

    Attributes
    ----------
    at_s : float
        Time in seconds from the start of the run.
    share : float
        Share of the open jobs that is cancelled.
    """

    at_s: OffsetSeconds
    share: Share


class LoadProfile(SettingsBase, frozen=True, kw_only=True):
    """One load run, bounded in the number of tasks and in time.

    Attributes
    ----------
    service : str
        Name of the service to which jobs are submitted.
    entries : tuple of Address
        HTTP addresses of the entries.
    agents : tuple of Address
        HTTP addresses of the agents, from which counters are read.
    backends : tuple of Address
        HTTP addresses of stand-ins of backend servers, from which the
        numbers of starts are read.
    seed : int
        Seed of the random draws of jobs, arrival times and cancellations.
    duration_s : float
        Time over which jobs arrive, in seconds.
    drain_s : float
        Longest wait for answers after that time, in seconds.
    load : float
        Arriving work as a share of the servers' capacity.
    tasks : int or None
        Exact number of tasks, without those of bursts, in place of `load`;
        None to plan by `load`.
    max_tasks : int
        A plan with more tasks, those of bursts included, is refused.
    min_job_tasks, max_job_tasks : int
        Smallest and largest number of tasks in a job; the numbers are
        log-uniform between them.
    kinds : tuple of KindProfile
    servers : tuple of ServerGroup
    declared_error : float
        Each declared run time is at most this factor above or below the
        true one.
    idempotent : bool
        Whether jobs are submitted as idempotent.
    deadline_ms : float or None
        Deadline that each job is submitted with, in milliseconds; None to
        submit none.
    resubmit_share : float
        Share of the jobs that a second caller submits, through another
        entry, while the first still waits.
    come_back_s : float
        How long a refused or failed submission is repeated, in seconds.
    bursts : tuple of Burst
    cancel_waves : tuple of CancelWave
    round_trip_ms : float
        Part of the ideal response time, in milliseconds.
    warm_up_s : float
        Jobs that are submitted earlier than this many seconds from the
        start of the run are excluded from all ratios.
    """

    service: Text
    entries: Annotated[tuple[Address, ...], msgspec.Meta(min_length=1)]
    agents: tuple[Address, ...] = ()
    backends: tuple[Address, ...] = ()
    seed: int = 1
    duration_s: Seconds = 5.0
    drain_s: Seconds = 30.0
    load: Annotated[float, msgspec.Meta(gt=0, le=10)] = 0.5
    tasks: Positive | None = None
    max_tasks: Positive = 50_000
    min_job_tasks: JobTasks = 1
    max_job_tasks: JobTasks = 60
    kinds: Annotated[tuple[KindProfile, ...], msgspec.Meta(min_length=1)]
    servers: Annotated[tuple[ServerGroup, ...], msgspec.Meta(min_length=1)]
    declared_error: Factor = 1.0
    idempotent: bool = True
    deadline_ms: Milliseconds | None = None
    resubmit_share: Share = 0.0
    come_back_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = 10.0
    bursts: tuple[Burst, ...] = ()
    cancel_waves: tuple[CancelWave, ...] = ()
    round_trip_ms: Milliseconds = 1.0
    warm_up_s: OffsetSeconds = 0.0

    @property
    def capacity(self) -> float:
        """Slot-seconds at speed 1 that the servers provide per second."""
        return sum(
            group.count * group.slots * group.speed for group in self.servers
        )
