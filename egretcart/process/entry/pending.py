"""A request whose caller waits at an entry."""

import dataclasses

from egretcart.process.entry.directory import Cell
from egretcart.request.identity import JobId

SUBMIT = "submit"
READ = "read"
CANCEL = "cancel"
ACTIONS = (SUBMIT, READ, CANCEL)


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingRequest:
    """A request whose caller waits at this entry.

    Attributes
    ----------
    request_id : int
    action : str
        One of `ACTIONS`.
    service : str
    job_id : JobId
    body : bytes
        Kept whole, so that it can be forwarded again.
    cell : Cell
    routed_to : str or None
        Entry that has the request.
    routed_at : float
        Monotonic time at which it was given to that entry.
    leaderless_since : float
        Monotonic time since which no leader has had it.
    """

    request_id: int
    action: str
    service: str
    job_id: JobId
    body: bytes
    cell: Cell
    routed_to: str | None = None
    routed_at: float = float("-inf")
    leaderless_since: float = 0.0
