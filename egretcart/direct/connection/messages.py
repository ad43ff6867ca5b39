"""Messages between the processes of direct dispatch, as typed classes.

Each class mirrors the struct of the same name in wire.thrift.
"""

from typing import Annotated

import msgspec

from egretcart.direct.connection.offer_messages import CapacityOffered
from egretcart.direct.connection.offer_messages import OfferDeclined
from egretcart.direct.connection.offer_messages import TasksWaiting
from egretcart.direct.connection.peer_messages import CrashScoresRaised
from egretcart.direct.connection.peer_messages import JobReleased
from egretcart.direct.connection.peer_messages import JobsTaken
from egretcart.direct.connection.peer_messages import ReleaseJob
from egretcart.direct.connection.peer_messages import Routing
from egretcart.direct.connection.peer_messages import RoutingRequest
from egretcart.direct.request.bounds import Amount
from egretcart.direct.request.bounds import Host
from egretcart.direct.request.bounds import Labels
from egretcart.direct.request.bounds import Name
from egretcart.direct.request.bounds import Port
from egretcart.direct.request.bounds import Resource
from egretcart.direct.request.job import MAX_TASKS
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import TaskKey
from egretcart.direct.version.drained_domains import DrainedDomains

# Reason with which an agent rejects tasks of an entry after another entry has
# taken their job over.
TAKEN_OVER_REASON = "its job was taken over"
TaskIndexes = Annotated[tuple[int, ...], msgspec.Meta(max_length=MAX_TASKS)]
PacePercent = Annotated[int, msgspec.Meta(ge=1)]
Percent = Annotated[int, msgspec.Meta(ge=0, le=100)]


class PeerAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Where an entry listens for other processes.

    Attributes
    ----------
    host : str
    port : int
    failure_domain : str
        Failure domain of its machine; empty if the sender does not know it.
    """

    host: Host = ""
    port: Port = 0
    failure_domain: Name = ""

    @property
    def endpoint(self) -> tuple[str, int]:
        """Host and port."""
        return self.host, self.port


class EntryHello(msgspec.Struct, frozen=True, kw_only=True):
    """The first message of an entry on a new link.

    Attributes
    ----------
    entry_id : str
    incarnation : int
        Differs after each start of the entry's process.
    address : PeerAddress
        Where other entries connect to it.
    """

    entry_id: Name = ""
    incarnation: int = 0
    address: PeerAddress = PeerAddress()


class EntryPeers(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of entries that the sender knows."""

    entries: tuple[PeerAddress, ...] = ()


class Beat(msgspec.Struct, frozen=True, kw_only=True):
    """A heartbeat.

    Attributes
    ----------
    version : int
        Version of the sender's active configuration; 0 for none.
    interval_ms : int
        Interval between heartbeats on this link, in both directions, from
        now on, in milliseconds; 0 to leave it unchanged.
    lateness_ms : int
        By how much the ticks of the sending entry come late in the mean, in
        milliseconds; sent to other entries only.
    """

    version: Amount = 0
    interval_ms: Amount = 0
    lateness_ms: Amount = 0


class RunTasks(msgspec.Struct, frozen=True, kw_only=True):
    """An entry asks an agent to run tasks of one step.

    Attributes
    ----------
    sequence : int
        Rises with each such message of a link; a status repeats the highest
        one that the agent has received.
    job_id : str
    step : int
        Number of the step in its job, from 0.
    indexes : tuple of int
        Numbers of the tasks in the step.
    run : int
        Number of the run, the same for all these tasks; it rises with each
        run of the same task.
    payload : str
        Passed on to the backend server with each task.
    cpu_milli, memory_mb, accelerators : int
        Resources that each task requires; units as in `Room`.
    estimate_ms : int
        The caller's estimate of a task's run time, in milliseconds.
    priority : int
        Priority of the job's route; 0 is served first.
    time_left_ms : int
        Time until the job's latency objective, in milliseconds; may be
        negative.
    max_per_agent : int
        Most tasks of the step on one agent at a time; 0 for any number.
    may_wait : bool
        Whether the tasks may wait for free capacity. If not, they were sent
        because the agent seemed to have free capacity, and go elsewhere if
        it has none.
    offer : int
        Number of the offer that the task uses; 0 if it uses none.
    objective_ms : int
        The job's latency objective, in milliseconds; 0 from an earlier
        release.
    crash_score : int
        What crashes of backend servers count against each of these tasks.
    service_name : str
        Service whose backend servers may run the tasks; empty from an
        earlier release.
    requires : str
        Label that the backend server must have; empty for any server.
    """

    sequence: int = 0
    job_id: Name = ""
    step: Amount = 0
    indexes: TaskIndexes = ()
    run: Amount = 0
    payload: str = ""
    cpu_milli: Resource = 0
    memory_mb: Resource = 0
    accelerators: Resource = 0
    estimate_ms: Amount = 0
    priority: Amount = 0
    time_left_ms: int = 0
    max_per_agent: Amount = 0
    may_wait: bool = False
    offer: Amount = 0
    objective_ms: Amount = 0
    crash_score: Amount = 0
    service_name: Name = ""
    requires: Name = ""

    @property
    def room(self) -> Room:
        """Resources that each task requires."""
        return Room(self.cpu_milli, self.memory_mb, self.accelerators)


class RecruitAgents(msgspec.Struct, frozen=True, kw_only=True):
    """An entry without free capacity asks another one for agents with some.

    Attributes
    ----------
    address : PeerAddress
        Where these agents are to connect.
    cpu_milli, memory_mb, accelerators : int
        Resources that a task requires; units as in `Room`.
    label : str
        Label that the agents must have; empty for any.
    service_name : str
        Service that their backend servers must run; empty from an earlier
        release.
    """

    address: PeerAddress = PeerAddress()
    cpu_milli: Resource = 0
    memory_mb: Resource = 0
    accelerators: Resource = 0
    label: Name = ""
    service_name: Name = ""

    @property
    def room(self) -> Room:
        """Resources that a task requires."""
        return Room(self.cpu_milli, self.memory_mb, self.accelerators)


class ServeEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry asks an agent to connect to another entry for a time."""

    address: PeerAddress = PeerAddress()


class StopTasks(msgspec.Struct, frozen=True, kw_only=True):
    """An entry asks an agent to stop tasks, whether they run or wait.

    Attributes
    ----------
    job_id : str
    step : int
        Number of the step in its job, from 0.
    indexes : tuple of int
        Numbers of the tasks in the step.
    """

    job_id: Name = ""
    step: Amount = 0
    indexes: TaskIndexes = ()


class EvictJob(msgspec.Struct, frozen=True, kw_only=True):
    """An entry that takes a job over asks to end other entries' runs of it.

    Attributes
    ----------
    number : int
        Number of the entry's claim; `JobEvicted` repeats it.
    job_id : str
    """

    number: Amount = 0
    job_id: Name = ""


class AgentStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The capacity and state of an agent and its backend server.

    Attributes
    ----------
    agent_id : str
    incarnation : int
        Start time of the agent's process: Unix time in milliseconds.
    service_name : str
        Service that the backend server runs; empty while no server is
        known.
    labels : tuple of str
        Labels of the backend server.
    accepting : bool
        Whether new tasks should be sent to the agent.
    cpu_milli, memory_mb, accelerators : int
        Capacity of the backend server, with units as in `Room`; 0 while no
        server is known.
    free_cpu_milli, free_memory_mb, free_accelerators : int
        Capacity that neither running nor queued tasks require; negative if
        the queue needs more than is free.
    queued : int
        Number of tasks that wait for free capacity.
    queued_ms : int
        Sum of their estimated run times, in milliseconds.
    sequence : int
        Highest `RunTasks.sequence` that the agent has received from the
        entry to which this status is sent; 0 if there was none.
    pace_percent : int
        Slowdown of the backend server: run times relative to the callers'
        estimates, in percent.
    probing : bool
        Whether it runs one task at a time, because tasks of several jobs
        have failed in a row.
    cold_ms : int
        Time for which the backend server still runs tasks more slowly than
        later, in milliseconds; 0 for a warm one. `pace_percent` is then its
        slowdown while it is cold.
    """

    agent_id: Name = ""
    incarnation: int = 0
    service_name: Name = ""
    labels: Labels = ()
    accepting: bool = False
    cpu_milli: Resource = 0
    memory_mb: Resource = 0
    accelerators: Resource = 0
    free_cpu_milli: int = 0
    free_memory_mb: int = 0
    free_accelerators: int = 0
    queued: Amount = 0
    queued_ms: Amount = 0
    sequence: Amount = 0
    pace_percent: PacePercent = 100
    probing: bool = False
    cold_ms: Amount = 0

    @property
    def capacity(self) -> Room:
        """Total capacity of the backend server."""
        return Room(self.cpu_milli, self.memory_mb, self.accelerators)

    @property
    def free(self) -> Room:
        """Capacity that no task requires, running or queued."""
        return Room(
            self.free_cpu_milli, self.free_memory_mb, self.free_accelerators
        )


class TaskEnded(msgspec.Struct, frozen=True, kw_only=True):
    """A run has ended, or was rejected by the agent.

    Attributes
    ----------
    job_id : str
    step, index : int
        Number of the step in its job, and of the task in its step.
    run : int
        Number of the run, which rises with each run of the same task.
    ending : str
        Value of an `Ending`.
    run_ms : int
        Time since the start of the run, or since the agent received the
        task if it has not started, in milliseconds; 0 if the agent rejected
        the task at once.
    reason : str
        Why it ended like that; may be empty.
    crash_weight : int
        What the crash of its server counts against the task; 0 unless the
        run ended with one.
    """

    job_id: Name = ""
    step: Amount = 0
    index: Amount = 0
    run: Amount = 0
    ending: str = ""
    run_ms: Amount = 0
    reason: str = ""
    crash_weight: Amount = 0

    @property
    def key(self) -> TaskKey:
        """The task."""
        return TaskKey(self.job_id, self.step, self.index)


class TaskLate(msgspec.Struct, frozen=True, kw_only=True):
    """A run makes too little progress, or its backend server leaves first.

    Attributes
    ----------
    job_id : str
    step, index : int
        Number of the step in its job, and of the task in its step.
    run : int
        Number of the run, which rises with each run of the same task.
    whole_ms : int
        Expected total run time at its speed so far, in milliseconds; -1 if
        it is stalled.
    percent : int
        Progress of the run, 0 to 100.
    leaves_in_ms : int
        Shortest time until the backend server leaves, in milliseconds, if
        the run is expected to take longer; 0 if that isn't the case.
    """

    job_id: Name = ""
    step: Amount = 0
    index: Amount = 0
    run: Amount = 0
    whole_ms: int = 0
    percent: Percent = 0
    leaves_in_ms: Amount = 0

    @property
    def key(self) -> TaskKey:
        """The task."""
        return TaskKey(self.job_id, self.step, self.index)


class HeldTask(msgspec.Struct, frozen=True, kw_only=True):
    """A run of an entry's task at an agent, running or queued.

    Attributes
    ----------
    job_id : str
    step, index : int
        Number of the step in its job, and of the task in its step.
    run : int
        Number of the run, which rises with each run of the same task.
    """

    job_id: Name = ""
    step: Amount = 0
    index: Amount = 0
    run: Amount = 0

    @property
    def key(self) -> TaskKey:
        """The task."""
        return TaskKey(self.job_id, self.step, self.index)


class AgentHello(msgspec.Struct, frozen=True, kw_only=True):
    """The first message of an agent on a new link.

    Attributes
    ----------
    status : AgentStatus
    held : tuple of HeldTask
        All of the entry's runs at the agent.
    settled : bool
        Whether `held` is complete. After a restart of the agent, runs that
        it does not know of may be active at the backend server until all
        runs of its former incarnation have ended.
    failure_domain : str
        Failure domain of the agent and its backend server; empty if the
        sender does not report it.
    """

    status: AgentStatus = AgentStatus()
    held: tuple[HeldTask, ...] = ()
    settled: bool = False
    failure_domain: Name = ""


class JobEvicted(msgspec.Struct, frozen=True, kw_only=True):
    """Answers `EvictJob`: no other entry's run of the job is left here.

    Attributes
    ----------
    number : int
        That of the `EvictJob`.
    """

    number: Amount = 0


class EntriesServed(msgspec.Struct, frozen=True, kw_only=True):
    """The entries for which the agent may run tasks."""

    entry_ids: tuple[str, ...] = ()


AgentMessage = (
    AgentHello
    | AgentStatus
    | TaskEnded
    | TaskLate
    | JobEvicted
    | EntriesServed
    | CapacityOffered
    | Beat
    | DrainedDomains
)
EntryMessage = (
    EntryHello
    | EntryPeers
    | Beat
    | RunTasks
    | StopTasks
    | EvictJob
    | ServeEntry
    | DrainedDomains
    | TasksWaiting
    | OfferDeclined
)
PeerMessage = (
    EntryHello
    | EntryPeers
    | Beat
    | JobsTaken
    | CrashScoresRaised
    | ReleaseJob
    | JobReleased
    | Routing
    | RoutingRequest
    | RecruitAgents
    | DrainedDomains
)
Message = AgentMessage | EntryMessage | PeerMessage
