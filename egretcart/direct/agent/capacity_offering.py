"""Offers an agent's free capacity to entries. Free of I/O."""

from egretcart.direct.agent.agent_statuses import AgentStatuses
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.agent.run_queue import RunQueue
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.offer_messages import CapacityOffered
from egretcart.direct.connection.offer_messages import OfferDeclined
from egretcart.direct.connection.offer_messages import TasksWaiting
from egretcart.direct.log.agent_decisions import OfferUnused
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.policy.capacity_offers import CapacityOffers
from egretcart.direct.policy.capacity_offers import Offer
from egretcart.direct.request.ordering import TaskOrder

MS_PER_S = 1000


class CapacityOffering:
    """Records waiting notices, and sends offers and ends them.

    Parameters
    ----------
    offers : CapacityOffers
    queue : RunQueue
    statuses : AgentStatuses
    links : EntryLinks
    log : DecisionLog
    """

    def __init__(
        self,
        *,
        offers: CapacityOffers,
        queue: RunQueue,
        statuses: AgentStatuses,
        links: EntryLinks,
        log: DecisionLog,
    ) -> None:
        self.offers = offers
        self.queue = queue
        self.statuses = statuses
        self.links = links
        self.log = log

    def receive(
        self, entry_id: str, message: TasksWaiting | OfferDeclined, now: float
    ) -> None:
        """Handle a waiting notice, or the answer to an offer."""
        if isinstance(message, TasksWaiting):
            self._record_notice(entry_id, message, now)
            return
        offer = self.offers.end(entry_id, message.number)
        if offer is not None:
            self._log_unused(offer, "declined", now)

    def _record_notice(
        self, entry_id: str, message: TasksWaiting, now: float
    ) -> None:
        order = TaskOrder(
            priority=message.priority,
            due_at=now + message.time_left_ms / MS_PER_S,
            latest_start_at=now + message.start_within_ms / MS_PER_S,
            objective_s=message.objective_ms / MS_PER_S,
        )
        self.offers.record_notice(
            entry_id,
            order,
            message.room,
            message.count,
            now,
            service=message.service_name,
        )

    def use(self, entry_id: str, message: RunTasks) -> None:
        """Give up the capacity held for tasks that arrive now."""
        if message.offer:
            count = len(message.indexes)
            self.offers.use(entry_id, message.offer, count)

    def forget(self, entry_id: str, cause: str, now: float) -> None:
        """End the offers to an entry that is lost, and its notice."""
        for offer in self.offers.forget(entry_id):
            self._log_unused(offer, cause, now)

    def offer(self, now: float) -> None:
        """End offers that have expired, and offer what is free."""
        for offer in self.offers.expire(now):
            self._log_unused(offer, "expired", now)
        for entry_id in self.offers.entry_ids():
            if not self._is_served(entry_id):
                self.forget(entry_id, "its entry is lost", now)
        if not self.offers.notices or not self._may_offer(now):
            return
        report = self.queue.backend.report
        assert report is not None
        free = self.queue.runs.free(report.capacity, queued=True)
        for offer in self.offers.make(
            free, self._is_served, now, service=report.service
        ):
            message = CapacityOffered(
                number=offer.number,
                count=offer.count,
                cpu_milli=offer.notice.room.cpu_milli,
                memory_mb=offer.notice.room.memory_mb,
                accelerators=offer.notice.room.accelerators,
            )
            self.links.send(offer.entry_id, message)

    def _may_offer(self, now: float) -> bool:
        return (
            self.statuses.is_accepting(now)
            and self.queue.may_start(now)
            and not self.queue.backend.health.probing
        )

    def _is_served(self, entry_id: str) -> bool:
        state = self.links.entries.get(entry_id)
        return (
            state is not None and state.connected and not state.unwanted_since
        )

    def _log_unused(self, offer: Offer, cause: str, now: float) -> None:
        self.log.write(
            OfferUnused(
                entry=offer.entry_id,
                cause=cause,
                held_ms=round((now - offer.made_at) * MS_PER_S),
            )
        )
