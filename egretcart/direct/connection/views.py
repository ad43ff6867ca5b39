"""Views of agents at an entry: last status and tasks sent since then."""

import msgspec

from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.offer_messages import CapacityOffered
from egretcart.direct.request.job import NO_ROOM
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.request.ordering import TaskOrder

PERCENT = 100


class SentTasks(msgspec.Struct, frozen=True):
    """Sent tasks that no status accounts for yet.

    Attributes
    ----------
    room : Room
        Resources of all these tasks together.
    count : int
        Number of tasks.
    work_ms : float
        Estimated run time of these tasks together, in milliseconds.
    """

    room: Room
    count: int
    work_ms: float


class SentNotice(msgspec.Struct, frozen=True, kw_only=True):
    """The last notice that was sent to an agent.

    Attributes
    ----------
    order : TaskOrder
        Order of the most urgent waiting task.
    room : Room
        Resources that it requires.
    count : int
        Number of waiting tasks.
    sent_at : float
    """

    order: TaskOrder
    room: Room
    count: int
    sent_at: float


class AgentView:
    """Capacity and load of an agent, as far as an entry knows them.

    Parameters
    ----------
    status : AgentStatus
        Last status that the agent has sent.
    now : float
        When it was received, in seconds on the entry's monotonic clock.
    failure_domain : str, optional
        Failure domain of the agent; empty if it is not known.

    Attributes
    ----------
    is_drained : bool
        Whether nothing may begin in its failure domain, as far as the entry
        knows.
    is_taken_back : bool
        Whether that has ended since the last status, so that the agent may
        not know yet that it accepts tasks again.
    service : str
        Service of the agent's backend server, or of its last one while it has
        none; empty if it is not known.
    status_at : float
        When the last status was received, or a heartbeat in its place.
    last_message_at : float
        When the last message of any kind was received.
    last_sent_at : float
        When the last message of any kind was sent; 0 if none was.
    heartbeat_interval_s : float
        Heartbeat interval that the agent was told last; 0 if it was not.
    entries : frozenset of str
        The entries for which the agent may run tasks.
    sequence : int
        Last number that `record_sent` has given; `RunTasks.sequence` repeats
        it, and the agent's status names the last one received.
    sent : dict of int to SentTasks
        Tasks that no status accounts for yet, by that number.
    sent_resources : Room
        Resources of these tasks together.
    capacity : Room
        Total capacity of the backend server.
    free : Room
        Free capacity once all tasks that were sent have arrived.
    slowdown : float
        Ratio of run times there to the callers' estimates.
    offers : list of CapacityOffered
        Offers that were not answered yet.
    has_answered_offer : bool
        Whether one was used since notices were last sent.
    notice : SentNotice or None
        The last notice that was sent there; None if no tasks waited.
    """

    def __init__(
        self, *, status: AgentStatus, now: float, failure_domain: str = ""
    ) -> None:
        self.failure_domain = failure_domain
        self.is_drained = False
        self.is_taken_back = False
        self.last_message_at = now
        self.last_sent_at = 0.0
        self.heartbeat_interval_s = 0.0
        self.entries: frozenset[str] = frozenset()
        self.sequence = 0
        self.sent: dict[int, SentTasks] = {}
        self.sent_resources = NO_ROOM
        self.offers: list[CapacityOffered] = []
        self.has_answered_offer = False
        self.notice: SentNotice | None = None
        self.service = ""
        self.update(status, now)

    def update(self, status: AgentStatus, now: float) -> None:
        """Apply a newer status."""
        if status.service_name not in ("", self.service):
            self.service = status.service_name
            # The agent was told of tasks that it can't run any more.
            self.notice = None
        self.status = status
        self.status_at = now
        self.is_taken_back = False
        for sequence in [s for s in self.sent if s <= status.sequence]:
            self.sent_resources -= self.sent.pop(sequence).room
        # These are read for each agent whenever a task is placed.
        self.capacity = status.capacity
        self.free = status.free - self.sent_resources
        self.slowdown = status.pace_percent / PERCENT

    def mark_drained(self, drained: bool) -> None:
        """Record whether nothing may begin in its failure domain."""
        if drained != self.is_drained:
            self.is_taken_back = not drained
        self.is_drained = drained

    def record_sent(self, room: Room, count: int, work_ms: float) -> int:
        """Record tasks that are being sent; return their sequence number."""
        self.sequence += 1
        self.sent[self.sequence] = SentTasks(room, count, work_ms)
        self.sent_resources += room
        self.free -= room
        return self.sequence

    def has_offer_for(self, room: Room) -> bool:
        """Whether capacity for a task is held there for this entry."""
        return any(offer.room.can_fit(room) for offer in self.offers)

    def use_offer(self, room: Room) -> int:
        """Return the number of an offer that a task uses; 0 if there is none.

        The agent's statuses do not count its resources as free.
        """
        for place, offer in enumerate(self.offers):
            if not offer.room.can_fit(room):
                continue
            self.has_answered_offer = True
            if offer.count > 1:
                rest = msgspec.structs.replace(offer, count=offer.count - 1)
                self.offers[place] = rest
            else:
                del self.offers[place]
            return offer.number
        return 0

    @property
    def queued(self) -> int:
        """Upper bound of the number of tasks that wait there."""
        overfull = self.free.cpu_milli < 0 or self.free.memory_mb < 0
        sent = sum(sent.count for sent in self.sent.values())
        return self.status.queued + (sent if overfull else 0)

    def may_be_of(self, service: str) -> bool:
        """Whether the agent's server runs a service, or may turn out to."""
        return self.service in ("", service)

    def may_run(self, step: Step, service: str) -> bool:
        """Whether tasks of a service's step may be sent there at all."""
        status = self.status
        return (
            status.accepting
            and status.service_name == service
            and not self.is_drained
            and self.capacity.can_fit(step.room)
            and (not step.requires or step.requires in status.labels)
        )

    def can_begin(self, room: Room, label: str, service: str) -> bool:
        """Whether a task with these requirements would begin there now.

        An earlier release names no service.
        """
        return (
            self.status.accepting
            and service in ("", self.status.service_name)
            and not self.is_drained
            and not self.status.probing
            and self.free.can_fit(room)
            and (not label or label in self.status.labels)
        )

    def run_ms(self, step: Step, far_factor: float) -> float:
        """Return the expected run time of a task of the step there."""
        is_remote = step.data_rack and step.data_rack not in self.status.labels
        run_ms = (
            step.estimate_ms
            * self.slowdown
            * (far_factor if is_remote else 1.0)
        )
        cold_ms = self.status.cold_ms
        if 0 < cold_ms < run_ms and self.slowdown > 1:
            # Later it is expected to be as fast as callers estimate.
            return cold_ms + (run_ms - cold_ms) / self.slowdown
        return run_ms
