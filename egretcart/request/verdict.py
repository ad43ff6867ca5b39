"""The verdict type: whether the work of a request may have run."""

from collections.abc import Iterable
import enum


class Verdict(enum.Enum):
    """Whether the work of a request may have run.

    The members are ordered by how much of the work may have run. A process
    that passes a verdict on may keep it or replace it by a later member,
    never by an earlier one; see `combine_verdicts`.

    Attributes
    ----------
    NOT_RUN
        The work has certainly not run.
    MAY_HAVE_RUN
        The work may have run, or a part of it.
    RAN
        The work has run, with or without success.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


def combine_verdicts(verdicts: Iterable[Verdict]) -> Verdict:
    """Return the verdict for a request made of several parts.

    Parameters
    ----------
    verdicts : iterable of Verdict
        One verdict per part; empty if no part was started.

    Returns
    -------
    Verdict
        `NOT_RUN` if all parts are `NOT_RUN` or there is none, `RAN` if all
        parts are `RAN`, otherwise `MAY_HAVE_RUN`.
    """
    distinct = set(verdicts)
    if not distinct:
        return Verdict.NOT_RUN
    if len(distinct) == 1:
        return distinct.pop()
    return Verdict.MAY_HAVE_RUN
