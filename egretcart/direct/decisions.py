"""What the processes of direct dispatch decide and come to believe.

One record for each decision that touches a job or changes what a process
believes, with the inputs that decided it. The class name is the kind of the
log line; docs/logs.md lists them.
"""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """Base of all records."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobAccepted(Decision):
    """An entry takes a job in."""

    job_id: str
    route: str
    version: int
    tasks: int
    objective_ms: int
    patience_ms: int | None
    expected_wait_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobRefused(Decision):
    """An entry refuses a job; nothing of it has run."""

    job_id: str
    route: str
    cause: str
    objective_ms: int = 0
    expected_wait_ms: int = 0
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobJoined(Decision):
    """A caller asks again for a job that this entry holds."""

    job_id: str
    state: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobClaimed(Decision):
    """An entry has other entries' runs of a job ended before its own.

    `holders` is the entry that has told of it, or those that tell nothing
    here.
    """

    job_id: str
    holders: tuple[str, ...]
    asked: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobYielded(Decision):
    """An entry gives a job up to another one."""

    job_id: str
    entry: str
    state: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobAnswered(Decision):
    """An entry answers a job that has ended."""

    job_id: str
    state: str
    elapsed_ms: int
    objective_ms: int
    cause: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelled(Decision):
    """A caller has left or taken its job back."""

    job_id: str
    cause: str
    elapsed_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TasksPlaced(Decision):
    """An entry sends tasks to an agent."""

    job_id: str
    step: int
    indexes: tuple[int, ...]
    run: int
    agent: str
    free_cpu_milli: int
    queued: int
    pace_percent: int
    status_age_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskEndedAt(Decision):
    """An entry learns how a run has ended, if not as done."""

    job_id: str
    step: int
    index: int
    run: int
    agent: str
    ending: str
    reason: str
    failures: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskMoved(Decision):
    """An entry takes a late run back, to run the task elsewhere."""

    job_id: str
    step: int
    index: int
    run: int
    agent: str
    percent: int
    whole_ms: int
    pace: float
    elsewhere_pace: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunStarted(Decision):
    """An agent has a task started."""

    job_id: str
    step: int
    index: int
    run: int
    entry: str
    waited_ms: int
    free_cpu_milli: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunEnded(Decision):
    """A run has ended at an agent."""

    job_id: str
    step: int
    index: int
    run: int
    ending: str
    run_ms: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunUnanswered(Decision):
    """An order about a run brought no answer."""

    job_id: str
    step: int
    index: int
    run: int
    order: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendChanged(Decision):
    """An agent's belief about its backend server changes."""

    instance: str
    state: str
    cause: str
    answer_age_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerChanged(Decision):
    """A process gains or loses another one."""

    peer: str
    state: str
    cause: str = ""
    silent_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationAccepted(Decision):
    """An entry puts a configuration in force."""

    version: int
    former: int
    source: str
    routes: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DependencyChanged(Decision):
    """A service that the process needs is lost or back."""

    name: str
    state: str
    cause: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProcessChanged(Decision):
    """The process starts, stops, reloads, or was paused."""

    state: str
    cause: str = ""
    paused_ms: int = 0


class DecisionLog(Protocol):
    """Where decisions are written."""

    def write(self, decision: Decision) -> None:
        """Write one decision."""


class NullDecisionLog:
    """A `DecisionLog` that writes nothing, for embedders and tests."""

    def write(self, decision: Decision) -> None:
        """Drop the decision."""
