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
        Number of the request at this entry.
    action : str
        One of `ACTIONS`.
    service : str
    job_id : JobId
    body : bytes
        The submission, kept whole so that it can be forwarded again; empty
        for other actions.
    cell : Cell
        Cell of the job.
    routed_to : str or None
        Id of the entry to which the request was routed; None while it waits
        for a leader.
    routed_at : float
        Monotonic time in seconds of the last routing to an entry.
    leaderless_since : float
        Monotonic time in seconds at which the wait for a leader started.
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
