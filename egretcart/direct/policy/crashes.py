"""Crash scores: which tasks crash the backend servers that start them.

Free of I/O. A server that crashes ends all of its runs, and nothing tells
which of them was the cause. A task that crashes its server usually does so
soon after its start, so a crash counts in full against the runs that had just
been started, and in part against all others: a task that crashes its servers
later is found as well, after more crashes.

A server that falls silent until its lease lapses may have crashed or not, so
that a lapse counts in part against all of its runs.

The tasks that one crash counts against in full are suspects. Servers start
them one at a time, so that the next crash tells which of them was the cause.
"""

from collections.abc import Sequence

import msgspec

# What one crash counts against a run that had just been started, and against
# any other run; a lapse counts like the latter.
RECENT_WEIGHT = 2
OTHER_WEIGHT = 1


class CrashLimits(msgspec.Struct, frozen=True, kw_only=True):
    """When a crash counts in full, and when a task is given up.

    Attributes
    ----------
    recent_start_s : float
        Age of a run at the last answer of its server, in seconds, up to
        which a crash of the server counts in full against it.
    max_crashes : int
        Crashes that count in full after which a task is given up.
    suspect_interval_s : float
        Time from the start of a suspect until its server starts another one,
        in seconds: longer than `recent_start_s` and the time between two
        answers of a server together.
    """

    recent_start_s: float = 0.1
    max_crashes: int = 2
    suspect_interval_s: float = 0.22


class CrashedRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run that a server had when it crashed.

    Attributes
    ----------
    started_at : float
        When its start was requested, in seconds.
    score : int
        Sum of the weights of former crashes under its task.
    """

    started_at: float
    score: int


def is_suspect(score: int) -> bool:
    """Whether a task may be the cause of a crash, by its score."""
    return score >= RECENT_WEIGHT


def crash_weights(
    runs: Sequence[CrashedRun], answered_at: float, limits: CrashLimits
) -> list[int]:
    """Return what the crash of a server counts against each of its runs.

    Parameters
    ----------
    runs : sequence of CrashedRun
    answered_at : float
        When the server answered last, in seconds on the same clock.
    limits : CrashLimits
    """
    recent = [
        answered_at - run.started_at <= limits.recent_start_s for run in runs
    ]
    suspect = [
        is_recent and is_suspect(run.score)
        for is_recent, run in zip(recent, runs, strict=True)
    ]
    blamed = suspect if any(suspect) else recent
    return [RECENT_WEIGHT if full else OTHER_WEIGHT for full in blamed]


def crashes_servers(score: int, limits: CrashLimits) -> bool:
    """Whether a task is given up as one that crashes its servers.

    Parameters
    ----------
    score : int
        Sum of the weights of all crashes under the task.
    limits : CrashLimits
    """
    return score >= limits.max_crashes * RECENT_WEIGHT
