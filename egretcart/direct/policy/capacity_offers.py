"""Offers of free capacity to entries whose tasks wait. Free of I/O.

This handles seconds in which all backend servers are fully occupied: several
entries have waiting tasks, and each free part of a server goes to the most
urgent task of all of them, which is chosen only then.
"""

from collections.abc import Callable

import msgspec

from egretcart.direct.request.job import NO_ROOM
from egretcart.direct.request.job import Room
from egretcart.direct.request.ordering import TaskOrder

# Of the lateness of a tick, what the next one counts at least.
LATENESS_DECAY = 0.9
# After it, numbers begin anew; messages have 32 bits for them.
MAX_OFFER_NUMBER = 2**31 - 1


class OfferLimits(msgspec.Struct, frozen=True, kw_only=True):
    """How long notices and offers are valid.

    Attributes
    ----------
    notice_validity_s : float
        Time after which an entry's notice is ignored unless it was
        repeated, in seconds.
    offer_validity_s : float
        Time for which capacity is held for an offer, in seconds.
    pause_s : float
        Time for which an entry that has let an offer expire gets no other,
        in seconds.
    """

    notice_validity_s: float = 2.5
    offer_validity_s: float = 0.03
    pause_s: float = 0.5


class TickLateness:
    """Measures by how much an entry's ticks come late.

    An entry that is behind answers offers too late, while capacity stands
    idle; its tasks wait at agents instead.

    Parameters
    ----------
    interval_s : float
        Interval of the ticks, in seconds.
    max_lateness_s : float
        Lateness above which the entry is behind, in seconds.

    Attributes
    ----------
    lateness_s : float
        Lateness of the last ticks, the highest of them decaying.
    """

    def __init__(self, *, interval_s: float, max_lateness_s: float) -> None:
        self.interval_s = interval_s
        self.max_lateness_s = max_lateness_s
        self.lateness_s = 0.0

    def record(self, since_last_s: float) -> None:
        """Record a tick and the time since the one before, in seconds."""
        lateness_s = since_last_s - self.interval_s
        self.lateness_s = max(lateness_s, LATENESS_DECAY * self.lateness_s)

    @property
    def is_behind(self) -> bool:
        """Whether the entry is behind."""
        return self.lateness_s > self.max_lateness_s


class NoticeLimits(msgspec.Struct, frozen=True, kw_only=True):
    """When agents are told again.

    Attributes
    ----------
    repeat_interval_s : float
        Time after which a notice is repeated, in seconds: less than the time
        for which agents regard it as valid.
    max_count : int
        Largest number of waiting tasks that an agent is told of.
    spare_agents : int
        Number of agents that are told, beyond one for each waiting task.
    max_lateness_s : float
        Lateness of the entry's ticks above which it tells none, in seconds:
        less than the time for which offers are valid.
    """

    repeat_interval_s: float = 2.0
    max_count: int = 8
    spare_agents: int = 4
    max_lateness_s: float = 0.02


class WaitingNotice(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry would send next, and how much of it.

    Attributes
    ----------
    order : TaskOrder
        Order of its most urgent task.
    room : Room
        Resources that this task requires.
    count : int
        Number of tasks that wait, up to a bound.
    valid_until : float
    service : str
        Service whose backend servers may run them; empty if it is not known.
    """

    order: TaskOrder
    room: Room
    count: int
    valid_until: float
    service: str = ""


class Offer(msgspec.Struct, kw_only=True):
    """Capacity that is held for tasks of an entry.

    Attributes
    ----------
    number : int
        Unique at this agent.
    entry_id : str
    notice : WaitingNotice
        The notice on which it rests.
    count : int
        Number of tasks for which capacity is still held.
    made_at : float
    """

    number: int
    entry_id: str
    notice: WaitingNotice
    count: int
    made_at: float


class CapacityOffers:
    """Waiting notices of entries, and the offers that are under way.

    Parameters
    ----------
    limits : OfferLimits

    Attributes
    ----------
    notices : dict of str to WaitingNotice
        Newest notice of each entry that has waiting tasks.
    offers : dict of int to Offer
        Offers that were not used up, declined or withdrawn.
    held : Room
        Resources of these offers together.
    last_number : int
        Number of the last offer; 0 before the first.
    pauses : dict of str to float
        Until when entries that have let an offer expire get no other.
    """

    def __init__(self, *, limits: OfferLimits) -> None:
        self.limits = limits
        self.notices: dict[str, WaitingNotice] = {}
        self.offers: dict[int, Offer] = {}
        self.held = NO_ROOM
        self.last_number = 0
        self.pauses: dict[str, float] = {}

    def record_notice(
        self,
        entry_id: str,
        order: TaskOrder,
        room: Room,
        count: int,
        now: float,
        *,
        service: str = "",
    ) -> None:
        """Replace an entry's notice; one without tasks withdraws it."""
        self.notices.pop(entry_id, None)
        if count > 0:
            self.notices[entry_id] = WaitingNotice(
                order=order,
                room=room,
                count=count,
                valid_until=now + self.limits.notice_validity_s,
                service=service,
            )

    def make(
        self,
        free: Room,
        is_served: Callable[[str], bool],
        now: float,
        *,
        service: str = "",
    ) -> list[Offer]:
        """Offer free capacity to the entries with the most urgent tasks.

        Parameters
        ----------
        free : Room
            Resources that no run and no offer occupies.
        is_served : callable
            Whether an entry of a given id may send tasks here.
        now : float
        service : str, optional
            Service of the backend server; tasks of others are not offered
            anything.
        """
        made: list[Offer] = []
        notices = [
            (entry_id, notice)
            for entry_id, notice in self.notices.items()
            if free.can_fit(notice.room)
            and notice.service in ("", service)
            and now <= notice.valid_until
            and now >= self.pauses.get(entry_id, 0.0)
            and is_served(entry_id)
        ]
        notices.sort(key=lambda item: item[1].order.key(now))
        for entry_id, notice in notices:
            offered = sum(
                offer.count
                for offer in self.offers.values()
                if offer.entry_id == entry_id
            )
            count = 0
            while count < notice.count - offered and free.can_fit(notice.room):
                free -= notice.room
                count += 1
            if count:
                made.append(self._add(entry_id, notice, count, now))
        return made

    def _add(
        self, entry_id: str, notice: WaitingNotice, count: int, now: float
    ) -> Offer:
        self.last_number = self.last_number % MAX_OFFER_NUMBER + 1
        offer = Offer(
            number=self.last_number,
            entry_id=entry_id,
            notice=notice,
            count=count,
            made_at=now,
        )
        self.offers[offer.number] = offer
        for _ in range(count):
            self.held += notice.room
        return offer

    def use(self, entry_id: str, number: int, count: int) -> None:
        """Give up capacity of an offer for tasks that have arrived."""
        offer = self.offers.get(number)
        if offer is None or offer.entry_id != entry_id:
            return
        self.pauses.pop(entry_id, None)
        self._release(offer, count)

    def _release(self, offer: Offer, count: int) -> None:
        for _ in range(min(count, offer.count)):
            self.held -= offer.notice.room
            offer.count -= 1
        if not offer.count:
            del self.offers[offer.number]

    def end(self, entry_id: str, number: int) -> Offer | None:
        """End an offer whose rest is not used; return it if it is valid.

        Its notice ends too, so that an entry that can't use what is offered
        is not offered it again and again, unless it has sent another notice
        meanwhile.
        """
        offer = self.offers.get(number)
        if offer is None or offer.entry_id != entry_id:
            return None
        self._release(offer, offer.count)
        if self.notices.get(entry_id) is offer.notice:
            del self.notices[entry_id]
        return offer

    def expire(self, now: float) -> list[Offer]:
        """End the offers that were not answered in time.

        An entry that is slow to answer gets no others for some time, as
        capacity would stand idle.
        """
        expired = [
            offer
            for offer in self.offers.values()
            if now - offer.made_at > self.limits.offer_validity_s
        ]
        for offer in expired:
            self.end(offer.entry_id, offer.number)
            self.pauses[offer.entry_id] = now + self.limits.pause_s
        return expired

    def entry_ids(self) -> set[str]:
        """Return the entries that have a notice or an offer."""
        return self.notices.keys() | {
            offer.entry_id for offer in self.offers.values()
        }

    def forget(self, entry_id: str) -> list[Offer]:
        """End the offers and the notice of an entry that is lost."""
        self.pauses.pop(entry_id, None)
        ended = [
            offer
            for offer in self.offers.values()
            if offer.entry_id == entry_id
        ]
        for offer in ended:
            self.end(entry_id, offer.number)
        self.notices.pop(entry_id, None)
        return ended
