"""Crash scores: which tasks crash the backend servers that start them.

Free of I/O. A server that crashes ends all of its runs, and nothing tells
which of them was the cause. A task that crashes its server usually does so
soon after its start, so a crash counts in full against the runs that had just
been started, and in part against all others: a task that crashes its servers
later is found as well, after more crashes.
"""

import dataclasses

# What one crash counts against a run that had just been started, and against
# any other run.
RECENT_WEIGHT = 2
OTHER_WEIGHT = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashLimits:
    """When a crash counts in full, and when a task is given up.

    Attributes
    ----------
    recent_start_s : float
        Age of a run at the last answer of its server, in seconds, up to
        which a crash of the server counts in full against it.
    max_crashes : int
        Crashes that count in full after which a task is given up.
    """

    recent_start_s: float = 0.1
    max_crashes: int = 2


def crash_weight(
    started_at: float, answered_at: float, limits: CrashLimits
) -> int:
    """Return what the crash of a server counts against one of its runs.

    Parameters
    ----------
    started_at : float
        When the start of the run was requested, in seconds.
    answered_at : float
        When the server answered last, in seconds on the same clock.
    limits : CrashLimits
    """
    is_recent = answered_at - started_at <= limits.recent_start_s
    return RECENT_WEIGHT if is_recent else OTHER_WEIGHT


def crashes_servers(score: int, limits: CrashLimits) -> bool:
    """Whether a task is given up as one that crashes its servers.

    Parameters
    ----------
    score : int
        Sum of the weights of all crashes under the task.
    limits : CrashLimits
    """
    return score >= limits.max_crashes * RECENT_WEIGHT
