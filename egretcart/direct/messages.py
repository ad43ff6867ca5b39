"""Typed messages of direct dispatch; each mirrors a struct of wire.thrift."""

import dataclasses

from egretcart.direct.job import Room
from egretcart.direct.job import TaskKey

# Why an agent does not take tasks of an entry that has lost their job.
TAKEN_OVER_REASON = "its job was taken over"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerAddress:
    """Where other processes reach an entry."""

    host: str = ""
    port: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryHello:
    """An entry introduces itself on a new link."""

    entry_id: str = ""
    incarnation: int = 0
    address: PeerAddress = PeerAddress()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryPeers:
    """The entries that the sender knows."""

    entries: tuple[PeerAddress, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Beat:
    """A heartbeat.

    Attributes
    ----------
    version : int
        The sender's configuration version.
    interval_ms : int
        Time between two of them on this link, both ways, from now on; 0 to
        leave it as it is.
    """

    version: int = 0
    interval_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunTasks:
    """An entry asks an agent to run tasks of one step.

    Attributes
    ----------
    sequence : int
        Rises with each such message of a link; statuses name the last one.
    job_id : str
    step : int
    indexes : tuple of int
    run : int
        Number of the runs, rising for each task.
    payload : str
    cpu_milli, memory_mb, accelerators : int
        What each task takes.
    estimate_ms : int
    priority : int
    time_left_ms : int
        Until the job's latency objective; may be negative.
    max_per_agent : int
    may_wait : bool
        Whether the tasks may wait for room; if not, they were sent as
        there seemed to be room, and go elsewhere if there is none.
    """

    sequence: int = 0
    job_id: str = ""
    step: int = 0
    indexes: tuple[int, ...] = ()
    run: int = 0
    payload: str = ""
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    priority: int = 0
    time_left_ms: int = 0
    max_per_agent: int = 0
    may_wait: bool = False

    @property
    def room(self) -> Room:
        """What each task takes."""
        return Room(self.cpu_milli, self.memory_mb, self.accelerators)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopTasks:
    """An entry takes tasks back, whether they run or wait."""

    job_id: str = ""
    step: int = 0
    indexes: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvictJob:
    """An entry that takes a job over has other entries' runs of it ended."""

    number: int = 0
    job_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgentStatus:
    """What an agent offers.

    Attributes
    ----------
    agent_id : str
    incarnation : int
    service_name : str
    labels : tuple of str
    accepting : bool
        Whether it takes new tasks.
    cpu_milli, memory_mb, accelerators : int
        Capacity of the backend server.
    free_cpu_milli, free_memory_mb, free_accelerators : int
        What no task takes, queued ones included; negative with a queue.
    queued : int
        Tasks that wait for room.
    queued_ms : int
        Their estimated run times, added up.
    sequence : int
        Last `RunTasks` of the receiver that the figures take in.
    pace_percent : int
        Run times beside the callers' estimates.
    probing : bool
        Whether it takes one task at a time, as too many have gone wrong.
    """

    agent_id: str = ""
    incarnation: int = 0
    service_name: str = ""
    labels: tuple[str, ...] = ()
    accepting: bool = False
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    free_cpu_milli: int = 0
    free_memory_mb: int = 0
    free_accelerators: int = 0
    queued: int = 0
    queued_ms: int = 0
    sequence: int = 0
    pace_percent: int = 100
    probing: bool = False

    @property
    def capacity(self) -> Room:
        """The whole room of the backend server."""
        return Room(self.cpu_milli, self.memory_mb, self.accelerators)

    @property
    def free(self) -> Room:
        """The room that no task takes."""
        return Room(
            self.free_cpu_milli, self.free_memory_mb, self.free_accelerators
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskEnded:
    """A run has ended; `ending` is the value of an `Ending`."""

    job_id: str = ""
    step: int = 0
    index: int = 0
    run: int = 0
    ending: str = ""
    run_ms: int = 0
    reason: str = ""

    @property
    def key(self) -> TaskKey:
        """The task."""
        return TaskKey(self.job_id, self.step, self.index)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskLate:
    """A run makes little or no progress.

    Attributes
    ----------
    whole_ms : int
        Whole run time at its pace so far; -1 if it stands still.
    percent : int
        How far it has come.
    """

    job_id: str = ""
    step: int = 0
    index: int = 0
    run: int = 0
    whole_ms: int = 0
    percent: int = 0

    @property
    def key(self) -> TaskKey:
        """The task."""
        return TaskKey(self.job_id, self.step, self.index)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldTask:
    """A run that an agent holds for an entry, running or queued."""

    job_id: str = ""
    step: int = 0
    index: int = 0
    run: int = 0

    @property
    def key(self) -> TaskKey:
        """The task."""
        return TaskKey(self.job_id, self.step, self.index)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AgentHello:
    """The first message of an agent on a new link.

    Attributes
    ----------
    status : AgentStatus
    held : tuple of HeldTask
        All runs that it holds for the entry.
    settled : bool
        Whether nothing else can run there; after a restart something may,
        until the former incarnation's runs have ended.
    """

    status: AgentStatus = AgentStatus()
    held: tuple[HeldTask, ...] = ()
    settled: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobEvicted:
    """No run of the job is left at the agent."""

    number: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntriesServed:
    """The entries for which the agent may run something."""

    entry_ids: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobsTaken:
    """Jobs that the sender has taken in of late."""

    job_ids: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseJob:
    """Asks the entry that holds a job to give it up to the sender."""

    number: int = 0
    job_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobReleased:
    """The job runs no more at the sender's behest.

    Attributes
    ----------
    state : str
        Value of a `JobState` if the job has ended; else empty.
    """

    number: int = 0
    state: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Routing:
    """A configuration, for an entry that has an older one."""

    version: int = 0
    document: bytes = b""


AgentMessage = (
    AgentHello
    | AgentStatus
    | TaskEnded
    | TaskLate
    | JobEvicted
    | EntriesServed
    | Beat
)
EntryMessage = EntryHello | EntryPeers | Beat | RunTasks | StopTasks | EvictJob
PeerMessage = (
    EntryHello
    | EntryPeers
    | Beat
    | JobsTaken
    | ReleaseJob
    | JobReleased
    | Routing
)
Message = AgentMessage | EntryMessage | PeerMessage
