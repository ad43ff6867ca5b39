"""Data types of a job, its steps and its tasks.

A job is answered on its caller's connection and not kept after that.
"""

import enum

import msgspec

from egretcart.direct.request.bounds import MAX_ESTIMATE_MS
from egretcart.direct.request.bounds import MAX_NAME_CHARACTERS
from egretcart.direct.request.bounds import MAX_RESOURCE
from egretcart.direct.request.bounds import Resource


class Room(msgspec.Struct, frozen=True):
    """Resources that a task requires, or that a backend server has.

    A difference of two may be negative; one that is decoded may not.

    Attributes
    ----------
    cpu_milli : int
        Thousandths of a processor.
    memory_mb : int
        Memory in megabytes.
    accelerators : int
        Number of accelerators.
    """

    cpu_milli: Resource = 0
    memory_mb: Resource = 0
    accelerators: Resource = 0

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
        """Whether the other resources fit into these."""
        return (
            other.cpu_milli <= self.cpu_milli
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )

    def count_fitting(self, other: "Room", most: int) -> int:
        """Return how many times the other resources fit, up to `most`."""
        count = 0
        rest = self - other
        while count < most and rest.can_fit(NO_ROOM):
            count += 1
            rest -= other
        return count


NO_ROOM = Room()
# Far above the size of any job; these bound what one request makes an entry
# store and send.
MAX_TASKS = 20_000
MAX_PAYLOAD_BYTES = 16 * 1024


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """Tasks of a job that have the same requirements.

    Attributes
    ----------
    count : int
        Number of tasks.
    room : Room
        Resources that each task requires.
    estimate_ms : float
        The caller's estimate of a task's run time, in milliseconds.
    after : tuple of int
        Earlier steps, by their numbers, all of whose tasks must have
        succeeded before a task of this step starts.
    requires : str
        Label that the agent must have; empty for any agent.
    data_rack : str
        Label of agents on the rack of the data; empty if tasks run equally
        fast on any rack.
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
        """Whether agents with enough free capacity may be excluded."""
        return bool(self.requires or self.max_per_agent)


class JobKind(enum.Enum):
    """What a caller expects of a job.

    Attributes
    ----------
    TRANSIENT
        It is answered on the connection on which it was submitted.
    KEPT
        It outlives its caller's connection.
    LASTING
        Its tasks run until it is cancelled.
    REPEATED
        It runs at given times.
    COUPLED
        Its tasks run only together, or only in capacity that other jobs
        leave free.
    """

    TRANSIENT = "transient"
    KEPT = "kept"
    LASTING = "lasting"
    REPEATED = "repeated"
    COUPLED = "coupled"


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller submits.

    Attributes
    ----------
    job_id : str
        Chosen by the caller; submissions with the same id are the same
        job.
    payload : str
        Passed on to the backend server with each task.
    steps : tuple of Step
    kind : JobKind
    """

    job_id: str
    payload: str
    steps: tuple[Step, ...]
    kind: JobKind = JobKind.TRANSIENT


def find_job_violation(job: Job) -> str | None:
    """Return what is wrong with a job; None if it is valid."""
    if len(job.job_id) > MAX_NAME_CHARACTERS:
        return (
            f"the job's id has {len(job.job_id)} characters; at most "
            f"{MAX_NAME_CHARACTERS} are accepted"
        )
    if not job.steps:
        return f'job "{job.job_id}" has no steps'
    payload_bytes = len(job.payload.encode())
    if payload_bytes > MAX_PAYLOAD_BYTES:
        return (
            f"the payload has {payload_bytes} bytes; at most "
            f"{MAX_PAYLOAD_BYTES} are accepted"
        )
    for number, step in enumerate(job.steps):
        violation = _find_step_violation(step, number)
        if violation is not None:
            return f"step {number} {violation}"
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS:
        return f"the job has {tasks} tasks; at most {MAX_TASKS} are accepted"
    return None


def _find_step_violation(step: Step, number: int) -> str | None:
    if not 0 < step.count <= MAX_TASKS:
        return f"has {step.count} tasks; 1 to {MAX_TASKS} are accepted"
    for before in step.after:
        if not 0 <= before < number:
            return f"comes after step {before}; earlier ones are accepted"
    resources = msgspec.structs.astuple(step.room)
    if not all(0 <= amount <= MAX_RESOURCE for amount in resources):
        return f"asks for {step.room}; 0 to {MAX_RESOURCE} are accepted"
    if not 0 <= step.estimate_ms <= MAX_ESTIMATE_MS:
        return (
            f"has an estimate of {step.estimate_ms} ms; 0 to "
            f"{MAX_ESTIMATE_MS} are accepted"
        )
    if not 0 <= step.max_per_agent <= MAX_TASKS:
        return (
            f"allows {step.max_per_agent} tasks on an agent; 0 to "
            f"{MAX_TASKS} are accepted"
        )
    longest = max(len(step.requires), len(step.data_rack))
    if longest > MAX_NAME_CHARACTERS:
        return (
            f"has a label of {longest} characters; at most "
            f"{MAX_NAME_CHARACTERS} are accepted"
        )
    return None


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """Identifies one task of one job.

    Attributes
    ----------
    job_id : str
    step : int
        Number of the step in its job, from 0.
    index : int
        Number of the task in its step, from 0.
    """

    job_id: str
    step: int
    index: int


class JobState(enum.Enum):
    """State of a job.

    Attributes
    ----------
    QUEUED
        It was accepted, and none of its tasks may have started.
    RUNNING
        Some of its tasks may have started.
    COMPLETED
        All its tasks have succeeded.
    FAILED
        A task failed too often or was invalid.
    CANCELLED
        Its caller has cancelled it.
    """

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
        It succeeded.
    FAILED
        It failed, by its own fault or the backend server's.
    STOPPED
        It was stopped at the request of this system.
    LOST
        It ended with its backend server, its lease or its agent. It
        certainly runs no longer.
    NOT_RUN
        It never started.
    INVALID
        The backend server does not accept the task at all.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    NOT_RUN = "not_run"
    INVALID = "invalid"
