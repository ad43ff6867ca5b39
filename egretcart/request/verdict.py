"""The verdict type: whether a request may have run."""

from collections.abc import Iterable
import enum


class Verdict(enum.Enum):
    """Whether the work of a request may have run.

    The members are ordered by how much of the work may have run. A verdict
    that is passed on may only be kept or raised, see `combine_verdicts`.
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
        `NOT_RUN` only if every part is, `RAN` only if every part is,
        else `MAY_HAVE_RUN`.
    """
    distinct = set(verdicts)
    if not distinct:
        return Verdict.NOT_RUN
    if len(distinct) == 1:
        return distinct.pop()
    return Verdict.MAY_HAVE_RUN
