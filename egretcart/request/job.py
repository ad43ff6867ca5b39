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
from egretcart.request.json_decoding import decode_json

DEFAULT_KIND = "default"
DEFAULT_URGENCY = "normal"
DEFAULT_TEAM = "default"


class TaskDocument(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One task in the body of a submission.

    Attributes
    ----------
    payload : any JSON value
        Body for the backend server: a string is sent as text, any other
        value as JSON.
    kind : str
        Name of the kind; tasks of one kind are expected to have similar run
        times.
    run_time_ms : float or None
        The run time that the caller declares, in milliseconds; None if it
        declares none.
    """

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
    """The JSON body of a submission.

    Attributes
    ----------
    tasks : list of TaskDocument
    team, urgency : str
        Names of the team and of the urgency class in the configuration.
    idempotent : bool
        Whether a task that may have run may be run again.
    deadline_ms : float or None
        Time that the caller allows, in milliseconds from submission; None
        for the service's default.
    """

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
        Name of the kind; tasks of one kind are expected to have similar run
        times.
    payload : bytes
        The body that is sent to the backend server.
    run_time_ms : float or None
        The run time that the caller declares, in milliseconds; None if it
        declares none.
    """

    kind: str
    payload: bytes
    run_time_ms: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A submission: tasks that are answered together or fail together.

    Attributes
    ----------
    job_id : JobId
    service : str
        Name of the service that runs the tasks.
    team, urgency : str
        Names of the team and of the urgency class in the configuration.
    idempotent : bool
        Whether a task that may have run may be run again.
    deadline_ms : float or None
        Time that the caller allows, in milliseconds from submission; None
        for the service's default.
    tasks : tuple of Task
        In the order of the submission.
    digest : bytes
        Digest of the body; a submission with the same id and another digest
        is a conflict.
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
    """Parse the body of a submission.

    Parameters
    ----------
    job_id : JobId
    service : str
        Name of the service that the job is submitted to.
    body : bytes
        JSON text of a `JobDocument`.
    max_tasks : int
        Maximum number of tasks in one job.

    Returns
    -------
    Result of Job or str
        The error names the path of the invalid field and what is accepted.
    """
    try:
        document = decode_json(body, JobDocument)
    except msgspec.DecodeError as error:
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
