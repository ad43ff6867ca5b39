"""A job that is answered on its caller's connection and then forgotten."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What a task takes of a backend server, or what one has.

    Attributes
    ----------
    cpu_milli : int
        Thousandths of a processor.
    memory_mb : int
    accelerators : int
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Room") -> "Room":
        return Room(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Room") -> "Room":
        return Room(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def can_fit(self, other: "Room") -> bool:
        """Whether the other room fits into this one."""
        return (
            other.cpu_milli <= self.cpu_milli
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


NO_ROOM = Room()
# Far above any step; bounds what one request makes an entry hold.
MAX_TASKS = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """Tasks of a job that are alike.

    Attributes
    ----------
    count : int
        Number of tasks.
    room : Room
        What each task takes.
    estimate_ms : float
        The caller's estimate of a task's run time.
    after : tuple of int
        Steps whose tasks must all have succeeded before.
    requires : str
        Label that the agent must have; empty for any.
    data_rack : str
        Label of the rack where the data is near; empty for any.
    max_per_agent : int
        Most tasks of the step on one agent at a time; 0 for any number.
    speculative : bool
        Whether copies of a task may run in parallel.
    """

    count: int
    room: Room
    estimate_ms: float
    after: tuple[int, ...] = ()
    requires: str = ""
    data_rack: str = ""
    max_per_agent: int = 0
    speculative: bool = False

    @property
    def has_agent_constraints(self) -> bool:
        """Whether some agents may not run it although they have room."""
        return bool(self.requires or self.max_per_agent)


class JobKind(enum.Enum):
    """What a caller expects of a job.

    Attributes
    ----------
    TRANSIENT
        Its answer on the connection on which it was submitted.
    KEPT
        That it outlives its caller's connection.
    LASTING
        That its tasks run until it is cancelled.
    REPEATED
        That it runs at given times.
    COUPLED
        That its tasks run only together, or only in what others leave.
    """

    TRANSIENT = "transient"
    KEPT = "kept"
    LASTING = "lasting"
    REPEATED = "repeated"
    COUPLED = "coupled"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """What a caller submits.

    Attributes
    ----------
    job_id : str
        Chosen by the caller; the same id is the same job.
    payload : str
        Passed on to the backend server with each task.
    steps : tuple of Step
    kind : JobKind
    """

    job_id: str
    payload: str
    steps: tuple[Step, ...]
    kind: JobKind = JobKind.TRANSIENT


def find_job_fault(job: Job) -> str | None:
    """Return what is wrong with a job, or None."""
    if not job.steps:
        return f'job "{job.job_id}" has no steps'
    for number, step in enumerate(job.steps):
        if not 0 < step.count <= MAX_TASKS:
            return f"step {number} has {step.count} tasks"
        if any(not 0 <= before < number for before in step.after):
            return f"step {number} comes after {step.after}"
        if min(dataclasses.astuple(step.room)) < 0 or step.estimate_ms < 0:
            return f"step {number} asks for {step.room}"
    return None


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class TaskKey:
    """Names one task of one job."""

    job_id: str
    step: int
    index: int


class JobState(enum.Enum):
    """How far a job has come."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Ending(enum.Enum):
    """How a run of a task has ended.

    Attributes
    ----------
    DONE
        With success.
    FAILED
        By its own fault or the backend server's.
    STOPPED
        By an order of this system.
    LOST
        With its backend server, its lease or its agent; surely over.
    NOT_RUN
        It was never begun.
    INVALID
        The backend server does not accept the task at all.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    NOT_RUN = "not_run"
    INVALID = "invalid"
