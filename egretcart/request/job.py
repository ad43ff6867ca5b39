"""Jobs and tasks as callers submit them."""

import dataclasses
from typing import Annotated
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result
import xxhash

from egretcart.request.identity import JobId

DEFAULT_KIND = "default"
DEFAULT_URGENCY = "normal"
DEFAULT_TEAM = "default"


class TaskDocument(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One task as it stands in a submission."""

    payload: Any
    kind: Annotated[str, msgspec.Meta(min_length=1, max_length=64)] = (
        DEFAULT_KIND
    )
    run_time_ms: Annotated[float, msgspec.Meta(gt=0, le=86_400_000)] | None = (
        None
    )


class JobDocument(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The body of a submission."""

    tasks: Annotated[list[TaskDocument], msgspec.Meta(min_length=1)]
    team: Annotated[str, msgspec.Meta(min_length=1, max_length=64)] = (
        DEFAULT_TEAM
    )
    urgency: Annotated[str, msgspec.Meta(min_length=1, max_length=64)] = (
        DEFAULT_URGENCY
    )
    idempotent: bool = False
    deadline_ms: Annotated[float, msgspec.Meta(gt=0, le=86_400_000)] | None = (
        None
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Task:
    """One unit of work for a backend server.

    Attributes
    ----------
    kind : str
        Tasks of one kind are expected to take similar time.
    payload : bytes
        The body that is sent to the backend server.
    run_time_ms : float or None
        The run time that the caller declares, in milliseconds.
    """

    kind: str
    payload: bytes
    run_time_ms: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A submission: tasks whose answer is whole or failed.

    Attributes
    ----------
    job_id : JobId
    service : str
    team, urgency : str
        Names from the configuration.
    idempotent : bool
        Whether a task may be run again after it may have run.
    deadline_ms : float or None
        Time the caller allows, in milliseconds from submission.
    tasks : tuple of Task
    digest : bytes
        Digest of the body; the same id with another digest is a conflict.
    """

    job_id: JobId
    service: str
    team: str
    urgency: str
    idempotent: bool
    deadline_ms: float | None
    tasks: tuple[Task, ...]
    digest: bytes


def _payload_bytes(payload: Any) -> bytes:
    if isinstance(payload, str):
        return payload.encode()
    return msgspec.json.encode(payload)


def parse_job(
    *, job_id: JobId, service: str, body: bytes, max_tasks: int
) -> Result[Job, str]:
    """Read a submission's body.

    Parameters
    ----------
    job_id : JobId
    service : str
    body : bytes
        JSON text of a `JobDocument`.
    max_tasks : int
        Tasks accepted in one job.

    Returns
    -------
    Result of Job or str
        The error names the path of the wrong field and what is accepted.
    """
    try:
        document = msgspec.json.decode(body, type=JobDocument)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(str(error))
    except UnicodeDecodeError:
        return Err("the body is not UTF-8; JSON in UTF-8 is accepted")
    if len(document.tasks) > max_tasks:
        return Err(
            f"the job has {len(document.tasks)} tasks; at most "
            f"{max_tasks} are accepted - at `$.tasks`"
        )
    canonical = msgspec.json.encode(document, order="sorted")
    return Ok(
        Job(
            job_id=job_id,
            service=service,
            team=document.team,
            urgency=document.urgency,
            idempotent=document.idempotent,
            deadline_ms=document.deadline_ms,
            tasks=tuple(
                Task(
                    kind=task.kind,
                    payload=_payload_bytes(task.payload),
                    run_time_ms=task.run_time_ms,
                )
                for task in document.tasks
            ),
            digest=xxhash.xxh3_128_digest(canonical),
        )
    )
