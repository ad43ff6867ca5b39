"""Rotation: whether an entry stays in the load balancer's. Free of I/O.

This handles one entry that is slower than its share of the callers requires,
as its machine is slow or has too many of them, while the other entries have
room. What it can't carry waits before this process can see it, so that
refusing callers frees too little; only the balancer takes them elsewhere.

If most of the others are behind as well, leaving would only move the load, so
that the entry stays.
"""

import enum
import math

import msgspec

from egretcart.direct.request.bounds import MAX_SPAN_MS

# Longer than any tick is late. It is finite, as other entries are told it.
MAX_TOLERATED_S = MAX_SPAN_MS / 1000


class RotationLimits(msgspec.Struct, frozen=True, kw_only=True):
    """When an entry leaves the rotation and returns.

    Attributes
    ----------
    window_s : float
        Time constant of the mean lateness, in seconds.
    counted_share : float
        Largest lateness of one tick that is counted, as a multiple of the
        tolerated mean: a single pause of the process is not yet a load.
    room_share : float
        An entry has room if its mean lateness is below this share of the
        tolerated one; one that has left returns below it.
    min_others_share : float
        Share of the other entries that must have room.
    min_interval_s, max_interval_s : float
        Bounds of the time for which an entry that has left stays out, and
        for which one that the others have needed doesn't leave, in seconds.
        It doubles if an entry leaves again soon.
    """

    window_s: float = 1.0
    counted_share: float = 3.0
    room_share: float = 0.25
    min_others_share: float = 0.75
    min_interval_s: float = 4.0
    max_interval_s: float = 32.0


class RotationChange(enum.Enum):
    """What an entry has decided; the values are words of the log line."""

    LEFT = "left"
    RETURNED = "returned"
    NEEDED = "needed"


class Rotation:
    """Decides from an entry's own lateness and that of the others.

    Parameters
    ----------
    limits : RotationLimits
    tick_interval_s : float
        Interval of the entry's ticks, in seconds.

    Attributes
    ----------
    tolerated_s : float
        Mean lateness of ticks that callers tolerate, in seconds: the slack
        of their objectives; `MAX_TOLERATED_S` if the configuration sets none.
    lateness_s : float
        Mean lateness of the last ticks, in seconds.
    others_s : dict of str to float
        Mean lateness that other connected entries have reported, in seconds.
    is_out : bool
        Whether the entry has left.
    changed_at : float
        Time of the last change; minus infinity before the first.
    may_change_at : float
        Time of the next change at the earliest, unless the others need it.
    interval_s : float
        Time for which an entry last had to stay out, in seconds; 0 at first.
    """

    def __init__(
        self, *, limits: RotationLimits, tick_interval_s: float
    ) -> None:
        self.limits = limits
        self.tick_interval_s = tick_interval_s
        self.tolerated_s = MAX_TOLERATED_S
        self.lateness_s = 0.0
        self.others_s: dict[str, float] = {}
        self.is_out = False
        self.changed_at = -math.inf
        self.may_change_at = -math.inf
        self.interval_s = 0.0

    def tolerate(self, slack_s: float) -> None:
        """Set the shortest slack of the callers' objectives, in seconds.

        Parameters
        ----------
        slack_s : float
            Zero if their objectives have none: the entry then never leaves.
        """
        self.tolerated_s = (
            max(slack_s, self.tick_interval_s)
            if slack_s > 0
            else MAX_TOLERATED_S
        )

    @property
    def reported_s(self) -> float:
        """Lateness that other entries are told, in seconds.

        An entry that has left has no room for their callers, however idle.
        """
        return (
            max(self.lateness_s, self.tolerated_s)
            if self.is_out
            else self.lateness_s
        )

    @property
    def room_s(self) -> float:
        """Mean lateness below which an entry has room, in seconds."""
        return self.limits.room_share * self.tolerated_s

    @property
    def others_with_room(self) -> int:
        """Number of other entries that have room."""
        return sum(late < self.room_s for late in self.others_s.values())

    def record(self, since_last_s: float, now: float) -> RotationChange | None:
        """Record a tick; return what changes.

        Parameters
        ----------
        since_last_s : float
            Time since the tick before, in seconds.
        now : float
        """
        lateness_s = min(
            since_last_s - self.tick_interval_s,
            self.limits.counted_share * self.tolerated_s,
        )
        counted_s = max(0.0, self.tick_interval_s + lateness_s)
        weight = -math.expm1(-counted_s / self.limits.window_s)
        self.lateness_s += weight * (max(0.0, lateness_s) - self.lateness_s)
        change = self._next_change(now)
        if change is not None:
            self._apply(change, now)
        return change

    def _next_change(self, now: float) -> RotationChange | None:
        has_waited = now >= self.may_change_at
        if not self.is_out:
            return (
                RotationChange.LEFT
                if has_waited
                and self.lateness_s > self.tolerated_s
                and self._others_have_room()
                else None
            )
        if not self._others_have_capacity():
            return RotationChange.NEEDED
        if has_waited and self.lateness_s < self.room_s:
            return RotationChange.RETURNED
        return None

    def _others_have_room(self) -> bool:
        least = self.limits.min_others_share * len(self.others_s)
        return self.others_with_room >= max(1.0, least)

    def _others_have_capacity(self) -> bool:
        """Whether enough others are not behind themselves."""
        tolerated = sum(
            late <= self.tolerated_s for late in self.others_s.values()
        )
        least = self.limits.min_others_share * len(self.others_s)
        return tolerated >= max(1.0, least)

    def _apply(self, change: RotationChange, now: float) -> None:
        self.is_out = change is RotationChange.LEFT
        if self.is_out:
            is_soon = now - self.changed_at < 2 * self.interval_s
            self.interval_s = (
                min(2 * self.interval_s, self.limits.max_interval_s)
                if is_soon
                else self.limits.min_interval_s
            )
        self.changed_at = now
        self.may_change_at = (
            now if change is RotationChange.RETURNED else now + self.interval_s
        )
