"""Records of decisions and state changes for the log of direct dispatch.

A process writes one record for each decision about a job, and for each change
of what it knows about other processes and itself, with the inputs that led to
it. The class name is the kind of the log line; docs/logs.md lists them.

Times with the suffix ``_ms`` are in milliseconds, those with ``_s`` in
seconds. The fields `job_id`, `step`, `index` and `run` name a run of a task.
"""

from typing import Protocol

import msgspec


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all records."""


class JobAccepted(Decision, frozen=True, kw_only=True):
    """An entry accepts a job.

    Attributes
    ----------
    route : str
        Name of the route that the request selects.
    version : int
        Version of the active configuration.
    tasks : int
        Number of the job's tasks.
    objective_ms : int
        Latency objective.
    patience_ms : int or None
        How long the caller waits; None if it has set no limit.
    expected_wait_ms : int
        Estimated time until a task of the job may start.
    estimate_ms : int
        The caller's estimate of the run time of a task of its first step.
    data_rack : str
        Rack of the data of its first step; empty if there is none.
    """

    job_id: str
    route: str
    version: int
    tasks: int
    objective_ms: int
    patience_ms: int | None
    expected_wait_ms: int
    estimate_ms: int = 0
    data_rack: str = ""


class JobRefused(Decision, frozen=True, kw_only=True):
    """An entry refuses a job, none of whose tasks it has started.

    Attributes
    ----------
    route : str
        Name of the route that the request selects.
    cause : str
        Why it is refused.
    objective_ms : int
        Latency objective; 0 if the job is not served at all.
    expected_wait_ms : int
        Estimated time until a task of the job may start; 0 if the job is
        not served at all.
    retry_after_s : float
        When the caller may retry; 0 if the job is not served at all.
    tasks : int
        Number of the job's tasks; 0 if the job is not served at all.
    """

    job_id: str
    route: str
    cause: str
    objective_ms: int = 0
    expected_wait_ms: int = 0
    retry_after_s: float = 0.0
    tasks: int = 0


class JobJoined(Decision, frozen=True, kw_only=True):
    """A caller requests a job that is already known here.

    Attributes
    ----------
    state : str
        Value of the job's `JobState`, or ``claimed`` while the job waits
        for other entries' runs of it to end.
    """

    job_id: str
    state: str


class JobClaimed(Decision, frozen=True, kw_only=True):
    """An entry asks to end other entries' runs of a job before its own.

    Attributes
    ----------
    holders : tuple of str
        The entry that has reported the job as accepted, or those entries
        that may have accepted it and don't report to this one.
    asked : int
        Number of processes that may still run tasks of the job.
    """

    job_id: str
    holders: tuple[str, ...]
    asked: int


class JobYielded(Decision, frozen=True, kw_only=True):
    """An entry yields a job to another one.

    Attributes
    ----------
    entry : str
        Id of that entry, or ``another entry`` if it is not known which.
    state : str
        Value of the job's `JobState` when it was yielded.
    """

    job_id: str
    entry: str
    state: str


class JobAnswered(Decision, frozen=True, kw_only=True):
    """An entry answers a job that has ended.

    Attributes
    ----------
    state : str
        Value of the job's `JobState`.
    elapsed_ms : int
        Time since the job was accepted.
    objective_ms : int
        Latency objective.
    cause : str
        Why it was cancelled or has failed; empty if it has succeeded.
    """

    job_id: str
    state: str
    elapsed_ms: int
    objective_ms: int
    cause: str = ""


class JobCancelled(Decision, frozen=True, kw_only=True):
    """An entry cancels a job.

    Attributes
    ----------
    cause : str
        Such as that its caller has left or has cancelled it.
    elapsed_ms : int
        Time since the job was accepted.
    """

    job_id: str
    cause: str
    elapsed_ms: int


class TasksPlaced(Decision, frozen=True, kw_only=True):
    """An entry sends tasks to an agent.

    Attributes
    ----------
    indexes : tuple of int
        Numbers of the tasks in the step.
    agent : str
        Id of the agent.
    free_cpu_milli : int
        Free capacity at the agent once these tasks have arrived, in
        thousandths of a processor; negative with a queue.
    queued : int
        Upper bound of the number of tasks that wait at the agent.
    pace_percent : int
        Slowdown that the agent has reported: run times relative to the
        callers' estimates, in percent.
    status_age_ms : int
        Age of the agent's last status.
    offer : int
        Number of the agent's offer that they use; 0 if none.
    """

    job_id: str
    step: int
    indexes: tuple[int, ...]
    run: int
    agent: str
    free_cpu_milli: int
    queued: int
    pace_percent: int
    status_age_ms: int
    offer: int = 0


class TaskEndedAt(Decision, frozen=True, kw_only=True):
    """An entry records the end of a run.

    Attributes
    ----------
    agent : str
        Id of the agent that had the run.
    ending : str
        Value of an `Ending`.
    reason : str
        Why it ended like that; may be empty.
    failures : int
        Number of failed runs of the task so far.
    crash_score : int
        Sum of what crashes of backend servers count against the task so far.
    run_ms : int
        How long it ran, or waited at the agent if it was not started; 0 if
        that is not known.
    """

    job_id: str
    step: int
    index: int
    run: int
    agent: str
    ending: str
    reason: str
    failures: int
    crash_score: int = 0
    run_ms: int = 0


class TaskMoved(Decision, frozen=True, kw_only=True):
    """An entry stops a late run, to run the task on another agent.

    Attributes
    ----------
    agent : str
        Id of the agent that has the run.
    percent : int
        How much of the run is done.
    whole_ms : int
        Expected total run time at its speed so far; -1 if it is stalled.
    pace : float
        Slowdown at the agent: run times relative to the callers'
        estimates.
    elsewhere_pace : float
        Lowest slowdown among agents with free capacity for the task; 0 if
        there is none.
    """

    job_id: str
    step: int
    index: int
    run: int
    agent: str
    percent: int
    whole_ms: int
    pace: float
    elsewhere_pace: float


class LeavingRunJudged(Decision, frozen=True, kw_only=True):
    """An entry decides about a run whose server may leave before it ends.

    Attributes
    ----------
    agent : str
        Id of the agent that has the run.
    moved : bool
        Whether the run is stopped, to run the task on another agent; if
        not, it stays where it is.
    leaves_in_ms : int
        Shortest time until the server leaves.
    percent : int
        How much of the run is done.
    whole_ms : int
        Expected total run time at the agent.
    pace : float
        Slowdown at the agent: run times relative to the callers'
        estimates.
    elsewhere_pace : float
        Lowest slowdown among agents with free capacity for the task; 0 if
        there is none.
    status_age_ms : int
        Age of the status that tells of that agent; 0 if there is none.
    """

    job_id: str
    step: int
    index: int
    run: int
    agent: str
    moved: bool
    leaves_in_ms: int
    percent: int
    whole_ms: int
    pace: float
    elsewhere_pace: float
    status_age_ms: int


class PeerChanged(Decision, frozen=True, kw_only=True):
    """A process connects to another one, or loses it.

    Attributes
    ----------
    peer : str
        Id of the other process.
    state : str
        ``connected``, ``disconnected``, ``given up`` or ``invalid message``.
    cause : str
        Why the other process was lost, or what its message violates; may be
        empty.
    silent_ms : int
        Time since the last message of an entry that an agent marks as
        lost; else 0.
    """

    peer: str
    state: str
    cause: str = ""
    silent_ms: int = 0


class ConfigurationAccepted(Decision, frozen=True, kw_only=True):
    """An entry activates a configuration.

    Attributes
    ----------
    version : int
    former : int
        Version that was active before; 0 for none.
    source : str
        Where the configuration came from: ``store``, or the id of the
        entry that has sent it.
    routes : int
        Number of its routes.
    """

    version: int
    former: int
    source: str
    routes: int


class DomainsDrained(Decision, frozen=True, kw_only=True):
    """A process learns that other failure domains are drained than before.

    Attributes
    ----------
    domains : tuple of str
        All failure domains that are drained now.
    revision : int
        Revision of the platform's store at which that held.
    source : str
        ``store``, or the id of the process that has sent it.
    former : tuple of str
        Those that were drained as far as the process knew before.
    former_revision : int
        Revision of the store at which that held; 0 if nothing was known.
    former_age_ms : int
        Time since the process had learnt that; 0 if nothing was known.
    """

    domains: tuple[str, ...]
    revision: int
    source: str
    former: tuple[str, ...] = ()
    former_revision: int = 0
    former_age_ms: int = 0


class DependencyChanged(Decision, frozen=True, kw_only=True):
    """A service that the process needs is lost, back, or gives bad data.

    Attributes
    ----------
    name : str
        Name of the service.
    state : str
        ``lost`` or ``back``, or what happened to its data.
    cause : str
        The error; empty if there was none.
    """

    name: str
    state: str
    cause: str = ""


class ProcessStarted(Decision, frozen=True, kw_only=True):
    """The process listens at its addresses.

    Attributes
    ----------
    pid : int
    release : str
        Release of egretcart.
    python : str
        Version of Python.
    machine : str
        Kind of machine, such as ``x86_64``.
    cpu_ms : int
        Processor time that the process has used to start.
    """

    pid: int
    release: str
    python: str
    machine: str
    cpu_ms: int


class ProcessChanged(Decision, frozen=True, kw_only=True):
    """The process stops, ends, reloads its settings, or was paused.

    Attributes
    ----------
    state : str
        ``stopping``, ``stopped`` when it ends as it was told to, ``failed``
        when it ends by an error, ``paused``, or ``address not available``
        while it waits to start; or how the settings file was found:
        ``settings changed``, ``settings wrong`` or ``settings unreadable``.
    cause : str
        The error; empty if there was none.
    paused_ms : int
        Length of the pause; 0 if it was not paused.
    """

    state: str
    cause: str = ""
    paused_ms: int = 0


class RotationChanged(Decision, frozen=True, kw_only=True):
    """An entry leaves the load balancer's rotation, or returns to it.

    Attributes
    ----------
    state : str
        ``left``; ``returned`` when it has room again; ``needed`` if it
        returns as too many other entries are behind.
    lateness_ms : int
        By how much its ticks come late in the mean.
    tolerated_ms : int
        Lateness that the callers' objectives tolerate.
    others : int
        Number of other entries that have reported theirs.
    others_with_room : int
        Number of those that have room.
    interval_s : float
        Shortest time for which it stays out, or in if it was needed.
    """

    state: str
    lateness_ms: int
    tolerated_ms: int
    others: int
    others_with_room: int
    interval_s: float


class RoutesConfined(Decision, frozen=True, kw_only=True):
    """Other routes are confined to a part of the agents than before.

    Attributes
    ----------
    routes : tuple of str
        All routes that are confined now; empty if none is any more.
    agents : tuple of str
        Agents that they may use, and that other routes avoid.
    given_up : int
        Jobs of all routes that were given up lately, as a task of theirs
        crashes servers.
    """

    routes: tuple[str, ...]
    agents: tuple[str, ...]
    given_up: int


class AgentsRecruited(Decision, frozen=True, kw_only=True):
    """An entry asks some of its agents to serve another entry as well.

    Attributes
    ----------
    entry : str
        The entry that has asked, as none of its agents has enough capacity.
    agents : tuple of str
    suitable : int
        Number of agents that have the free capacity and the label.
    cpu_milli : int
        Processors that a task requires, in thousandths.
    label : str
        Label that the task requires; empty for none.
    service : str
        Service of the task; empty if the other entry does not tell it.
    """

    entry: str
    agents: tuple[str, ...]
    suitable: int
    cpu_milli: int
    label: str
    service: str


class DecisionLog(Protocol):
    """The log that a process writes its decisions to."""

    def write(self, decision: Decision) -> None:
        """Write one decision."""


class NullDecisionLog:
    """A `DecisionLog` that writes nothing, for embedders and tests."""

    def write(self, decision: Decision) -> None:
        """Drop the decision."""
