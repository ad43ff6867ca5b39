"""Ideal response time of a job, as docs/measures.md defines it."""

from collections.abc import Iterable
import heapq

from egretcart.load.profile import ServerGroup

MS_PER_S = 1000


def ideal_response_s(
    run_ms: Iterable[float],
    servers: Iterable[ServerGroup],
    *,
    round_trip_ms: float,
) -> float:
    """Return how long a job would take if it ran alone, in seconds.

    The longest tasks are assigned first, each to the slot where it ends
    first.

    Parameters
    ----------
    run_ms : iterable of float
        True run time of each task at speed 1, in milliseconds.
    servers : iterable of ServerGroup
    round_trip_ms : float
        Added to the time at which the last task ends, in milliseconds.

    Returns
    -------
    float

    Examples
    --------
    >>> two_slots = [ServerGroup(count=1, slots=2)]
    >>> ideal_response_s([100, 100, 100], two_slots, round_trip_ms=1)
    0.201
    """
    server_groups = [
        (group.speed, [0.0] * (group.count * group.slots)) for group in servers
    ]
    finish_ms = 0.0
    for task_ms in sorted(run_ms, reverse=True):
        speed, slots = min(
            server_groups, key=lambda group: group[1][0] + task_ms / group[0]
        )
        task_end_ms = slots[0] + task_ms / speed
        heapq.heapreplace(slots, task_end_ms)
        finish_ms = max(finish_ms, task_end_ms)
    return (finish_ms + round_trip_ms) / MS_PER_S
