"""The command ``egretcart submit``: submits a job from a file."""

import pathlib
import sys
from typing import Annotated

import msgspec
import trio

from egretcart.connection.caller import Caller
from egretcart.connection.caller import CallerAnswer
from egretcart.process.settings import Address
from egretcart.process.settings import load_settings
from egretcart.process.settings import SettingsBase
from egretcart.process.settings import Text
from egretcart.request.identity import JobId
from egretcart.request.identity import new_job_id
from egretcart.request.identity import parse_job_id

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
HTTP_OK = 200
Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]


class Submission(SettingsBase, frozen=True, kw_only=True):
    """Contents of a submission file: a job and the entries to submit it to.

    Attributes
    ----------
    service : str
    entries : tuple of Address
        HTTP addresses of entries, which are tried in turn.
    id : str or None
        Job id, a UUIDv7; None generates a new one. Submitting the same file
        with the same id twice runs the job once.
    give_up_s : float
        Time during which a submission that was refused or whose connection
        broke is repeated, in seconds.
    time_limit_s : float
        Longest wait for the answer to each submission, in seconds.
    job : Raw
        Body of the submission: ``{"tasks": [{"payload": ...}, ...], ...}``.
    """

    service: Text
    entries: Annotated[tuple[Address, ...], msgspec.Meta(min_length=1)]
    id: Text | None = None
    give_up_s: Seconds = 30.0
    time_limit_s: Seconds = 120.0
    job: msgspec.Raw


def submit_command(path: pathlib.Path) -> int:
    """Submit the job of a file and print its answer.

    Parameters
    ----------
    path : pathlib.Path

    Returns
    -------
    int
        Exit code: 0 if the answer is complete, 1 if the job was refused or
        has failed or no entry answered, 2 if the file is invalid.
    """
    loaded = load_settings(path, Submission)
    if loaded.is_err():
        print(loaded.unwrap_err(), file=sys.stderr)
        return EXIT_USAGE
    submission = loaded.unwrap()
    job_id = new_job_id()
    if submission.id is not None:
        parsed = parse_job_id(submission.id)
        if parsed.is_err():
            print(
                f"{path}: {parsed.unwrap_err()} - at `$.id`", file=sys.stderr
            )
            return EXIT_USAGE
        job_id = parsed.unwrap()
    answer = trio.run(_submit, submission, job_id)
    if answer.status == 0:
        print(
            f"job {job_id}: no entry answered; it may have run; submit it "
            "again with this id",
            file=sys.stderr,
        )
        return EXIT_FAILED
    print(answer.body.decode())
    return EXIT_OK if answer.status == HTTP_OK else EXIT_FAILED


async def _submit(submission: Submission, job_id: JobId) -> CallerAnswer:
    caller = Caller(
        addresses=[(entry.host, entry.port) for entry in submission.entries],
        service=submission.service,
    )
    answer = await caller.submit(
        job_id,
        bytes(submission.job),
        give_up_s=submission.give_up_s,
        time_limit_s=submission.time_limit_s,
    )
    await caller.aclose()
    return answer
