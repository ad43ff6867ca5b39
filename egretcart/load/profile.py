"""The profile of a load run, read from JSON."""

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
        Weight among the kinds.
    run_ms : float
        Middle run time at speed 1, in milliseconds.
    spread : float
        Run times lie between the middle divided and multiplied by this.
    """

    name: Text
    share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    run_ms: Milliseconds
    spread: Factor = 1.5


class ServerGroup(SettingsBase, frozen=True, kw_only=True):
    """Backend servers that are alike, for the ideal and the capacity.

    Attributes
    ----------
    count : int
    slots : int
    speed : float
        True run times are divided by this.
    """

    count: Positive
    slots: Positive = 8
    speed: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class Burst(SettingsBase, frozen=True, kw_only=True):
    """Jobs that arrive at once.

    Attributes
    ----------
    at_s : float
    tasks : int
    """

    at_s: OffsetSeconds
    tasks: Positive


class CancelWave(SettingsBase, frozen=True, kw_only=True):
    """Cancels of a share of the open jobs, at once.

    Attributes
    ----------
    at_s : float
    share : float
    """

    at_s: OffsetSeconds
    share: Share


class LoadProfile(SettingsBase, frozen=True, kw_only=True):
    """One load run, bounded in count and time.

    Attributes
    ----------
    service : str
    entries : tuple of Address
        HTTP addresses of the entries.
    agents : tuple of Address
        HTTP addresses of the agents, for their counters.
    backends : tuple of Address
        Stand-ins of backend servers, for their counts of starts.
    seed : int
    duration_s : float
        Time over which jobs arrive.
    drain_s : float
        Wait for answers after that.
    load : float
        Work that arrives, as a share of the servers' capacity.
    tasks : int or None
        Exact number of tasks, in place of `load`.
    max_tasks : int
        A plan with more tasks is refused.
    min_job_tasks, max_job_tasks : int
        Sizes of jobs; log-uniform between them.
    kinds : tuple of KindMix
    servers : tuple of ServerGroup
    declared_error : float
        Declared run times are wrong by up to this factor either way.
    idempotent : bool
    deadline_ms : float or None
    resubmit_share : float
        Share of the jobs that a second caller submits, through another
        entry, while the first still waits.
    come_back_s : float
        How long a refused or broken submission is made again.
    bursts : tuple of Burst
    cancel_waves : tuple of CancelWave
    round_trip_ms : float
        Part of the ideal response time.
    warm_up_s : float
        Jobs that are submitted before count in no ratio.
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
        """Slot-seconds of speed 1 that the servers bring a second."""
        return sum(
            group.count * group.slots * group.speed for group in self.servers
        )
