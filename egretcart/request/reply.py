"""Replies to callers' requests about jobs."""

import base64
import dataclasses
import enum

import msgspec

from egretcart.request.identity import JobId
from egretcart.request.media_types import JSON_MEDIA_TYPE
from egretcart.request.problem import Problem

HTTP_OK = 200
HTTP_ACCEPTED = 202


class ReplyOutcome(enum.Enum):
    """Whether a reply is meant for the caller.

    `ANSWERED` is: the entry sends it to the caller. `NOT_LEADER` is not: the
    entry forwards the request again, since the replying entry does not lead
    the job's cell.
    """

    ANSWERED = "answered"
    NOT_LEADER = "not_leader"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """A reply to one request about a job.

    Attributes
    ----------
    outcome : ReplyOutcome
    status : int
        HTTP status code.
    body : bytes
        JSON text.
    retry_after_s : float or None
        Time after which to repeat the request, in seconds; None if the reply
        states none.
    not_run : bool
        Whether the reply states that the request or any of its tasks was not
        run.
    """

    outcome: ReplyOutcome
    status: int = HTTP_OK
    body: bytes = b""
    retry_after_s: float | None = None
    not_run: bool = False


NOT_LEADER = Reply(outcome=ReplyOutcome.NOT_LEADER)


def problem_reply(problem: Problem) -> Reply:
    """Return the reply that carries a problem document."""
    return Reply(
        outcome=ReplyOutcome.ANSWERED,
        status=problem.status,
        body=problem.to_json(),
        retry_after_s=problem.retry_after_s,
        not_run=problem.claims_not_run,
    )


def running_reply(job_id: JobId) -> Reply:
    """Return the reply to a read of a job that is still running."""
    body = msgspec.json.encode({"id": str(job_id), "state": "running"})
    return Reply(
        outcome=ReplyOutcome.ANSWERED, status=HTTP_ACCEPTED, body=body
    )


def complete_reply(job_id: JobId, results: list[msgspec.Raw]) -> Reply:
    """Return the reply with the complete answer of a job.

    Parameters
    ----------
    job_id : JobId
    results : list of msgspec.Raw
        One JSON value per task, in task order.

    Returns
    -------
    Reply
    """
    body = msgspec.json.encode(
        {"id": str(job_id), "state": "complete", "results": results}
    )
    return Reply(outcome=ReplyOutcome.ANSWERED, body=body)


def result_value(body: bytes, content_type: str) -> msgspec.Raw:
    """Return a backend server's answer as a JSON value.

    Parameters
    ----------
    body : bytes
    content_type : str
        Content type that the backend server sent.

    Returns
    -------
    msgspec.Raw
        The body itself if it is JSON, a string if it is other text, else
        ``{"base64": ...}``.
    """
    if content_type.partition(";")[0].strip() == JSON_MEDIA_TYPE:
        try:
            msgspec.json.decode(body)
            return msgspec.Raw(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            pass
    try:
        return msgspec.Raw(msgspec.json.encode(body.decode()))
    except UnicodeDecodeError:
        encoded = base64.b64encode(body).decode()
        return msgspec.Raw(msgspec.json.encode({"base64": encoded}))
