"""Headroom: capacity that is kept free for the most urgent queue.

This handles full occupation by tasks of less urgent queues while tasks of a
more urgent one keep arriving that have little time to wait. A place comes
free only every few tens of milliseconds at each backend server, so that a job
of many tasks would be late by its last one. Free of I/O.
"""

import dataclasses
import math

from egretcart.direct.request.job import NO_ROOM
from egretcart.direct.request.job import Room


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeadroomLimits:
    """How much capacity is kept free, and when.

    Attributes
    ----------
    tolerated_share : float
        Share of the time that a task can wait without its job being late. A
        longer wait calls for headroom: the last task of a job waits longest.
    rise_interval_s : float
        Shortest time between two increases, in seconds: what a start takes
        to show whether the last one was enough.
    hold_s : float
        Time without such a wait after which the headroom shrinks by one
        task, in seconds.
    max_share : float
        Upper bound, as a share of the capacity.
    """

    tolerated_share: float = 0.2
    rise_interval_s: float = 0.05
    hold_s: float = 1.0
    max_share: float = 0.15


class Headroom:
    """Decides how much capacity one agent keeps free.

    Parameters
    ----------
    limits : HeadroomLimits

    Attributes
    ----------
    priority : float
        The most urgent priority whose tasks have lately begun here; infinite
        while there is none. Less urgent tasks leave the headroom free.
    room : Room
        Resources of the last task of that priority.
    tasks : int
        Number of such tasks for which capacity is kept free.
    changed_at : float
        When `tasks` last changed, in seconds on the agent's clock.
    """

    def __init__(self, *, limits: HeadroomLimits) -> None:
        self.limits = limits
        self.priority = math.inf
        self.room = NO_ROOM
        self.tasks = 0
        self.changed_at = 0.0

    def record_start(
        self,
        priority: int,
        room: Room,
        *,
        waited_s: float,
        can_wait_s: float,
        now: float,
    ) -> None:
        """Record that a task begins.

        Parameters
        ----------
        priority : int
            Priority of its route; 0 is the most urgent.
        room : Room
            Its resources.
        waited_s : float
            How long it has waited here, in seconds.
        can_wait_s : float
            How long it could have waited without its job being late, in
            seconds; not positive if the job was late already.
        now : float
        """
        if priority > self.priority:
            return
        if priority < self.priority:
            self.priority = priority
            self.tasks = 0
        self.room = room
        if (
            can_wait_s > 0
            and waited_s > self.limits.tolerated_share * can_wait_s
            and now - self.changed_at >= self.limits.rise_interval_s
        ):
            self.tasks += 1
            self.changed_at = now

    def update(self, now: float) -> None:
        """Shrink the headroom if no urgent task has had to wait lately."""
        if now - self.changed_at < self.limits.hold_s:
            return
        self.changed_at = now
        self.tasks = max(0, self.tasks - 1)
        if not self.tasks:
            self.priority = math.inf

    def reserved(self, capacity: Room) -> Room:
        """Return the capacity that less urgent tasks leave free."""
        if not self.tasks:
            return NO_ROOM
        share = self.limits.max_share
        return Room(
            min(
                self.tasks * self.room.cpu_milli,
                int(share * capacity.cpu_milli),
            ),
            min(
                self.tasks * self.room.memory_mb,
                int(share * capacity.memory_mb),
            ),
            min(
                self.tasks * self.room.accelerators,
                int(share * capacity.accelerators),
            ),
        )
