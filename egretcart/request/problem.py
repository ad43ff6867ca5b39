"""Problem documents (RFC 9457) that carry a verdict."""

import http

import msgspec

from egretcart.request.json_decoding import decode_json
from egretcart.request.verdict import Verdict

PROBLEM_MEDIA_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request was refused or has failed.

    Attributes
    ----------
    status : int
        HTTP status code.
    title : str
        Short summary, the same for all problems of a kind.
    detail : str
        What was found in this request and what is accepted.
    verdict : Verdict
        Whether any task of the request may have run.
    retry_after_s : float or None
        Time after which to repeat the request, in seconds; None if a repeat
        is useless.
    tasks : tuple of Verdict
        One verdict per task, in task order; empty if they are not known.
    """

    status: int
    title: str
    detail: str
    verdict: Verdict
    retry_after_s: float | None = None
    tasks: tuple[Verdict, ...] = ()

    @property
    def claims_not_run(self) -> bool:
        """Whether the request or any of its tasks is stated as not run."""
        return Verdict.NOT_RUN in (self.verdict, *self.tasks)

    def to_json(self) -> bytes:
        """Return the problem document as JSON bytes."""
        document: dict[str, object] = {
            "type": "about:blank",
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            "verdict": self.verdict.value,
        }
        if self.retry_after_s is not None:
            document["retry_after_s"] = round(self.retry_after_s, 3)
        if self.tasks:
            document["tasks"] = [verdict.value for verdict in self.tasks]
        return msgspec.json.encode(document)


class _VerdictOnly(msgspec.Struct, frozen=True, kw_only=True):
    verdict: Verdict = Verdict.MAY_HAVE_RUN


def problem_verdict(body: bytes) -> Verdict:
    """Return the verdict of a problem document.

    Parameters
    ----------
    body : bytes
        JSON text.

    Returns
    -------
    Verdict
        `MAY_HAVE_RUN` if the document states no valid verdict.
    """
    try:
        return decode_json(body, _VerdictOnly).verdict
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Verdict.MAY_HAVE_RUN


def bad_request(
    detail: str,
    *,
    status: int = http.HTTPStatus.BAD_REQUEST,
    verdict: Verdict = Verdict.NOT_RUN,
) -> Problem:
    """Return the problem for a request that can never be accepted.

    Parameters
    ----------
    detail : str
        What was found and what is accepted.
    status : int, optional
        HTTP status code, 400 by default.
    verdict : Verdict, optional
        Whether the request may have run, `NOT_RUN` by default.

    Returns
    -------
    Problem
        Without `retry_after_s`.
    """
    http_status = http.HTTPStatus(status)
    return Problem(
        status=int(http_status),
        title=http_status.phrase,
        detail=detail,
        verdict=verdict,
    )


def unavailable(
    detail: str, *, verdict: Verdict, retry_after_s: float
) -> Problem:
    """Return the problem for work that can't be done at the moment.

    Parameters
    ----------
    detail : str
        What is missing for the work.
    verdict : Verdict
        Whether the work may have run.
    retry_after_s : float
        Time after which to repeat the request, in seconds.

    Returns
    -------
    Problem
    """
    return Problem(
        status=503,
        title="Service Unavailable",
        detail=detail,
        verdict=verdict,
        retry_after_s=retry_after_s,
    )
