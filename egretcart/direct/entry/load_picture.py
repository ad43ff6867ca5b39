"""What an entry knows of the load that a job meets. Free of I/O."""

from collections.abc import Iterable

from egretcart.direct.entry.entry_state import EntryState
from egretcart.direct.policy.admission import Backlog
from egretcart.direct.policy.admission import estimate_load
from egretcart.direct.policy.admission import LoadEstimate
from egretcart.direct.policy.arrivals import ArrivalRates
from egretcart.direct.request.held_job import HeldJob


class LoadPicture:
    """Collects the waiting and arriving work for the admission of a job.

    Each other entry that shares agents with this one is assumed to have as
    much work waiting and arriving as this one.

    Parameters
    ----------
    state : EntryState

    Attributes
    ----------
    arrivals : ArrivalRates
        Work that callers have requested here.
    """

    def __init__(self, *, state: EntryState) -> None:
        self.state = state
        self.arrivals = ArrivalRates(
            window_s=state.limits.admission.arrival_window_s
        )

    def record_arrival(self, held: HeldJob, now: float) -> None:
        """Record a job that a caller requests, accepted or not."""
        self.arrivals.record(
            held.route.priority, held.unsent_cpu_milli_ms(), now
        )

    def estimate(self, held: HeldJob, now: float) -> LoadEstimate:
        """Return an estimate of the load that a job meets."""
        entries = self._entries_per_agent()
        others = [job for job in self.state.jobs.values() if job is not held]
        key = held.sort_key(now)
        on_time = Backlog(
            ahead_cpu_milli_ms=entries * _work_before(others, key, now),
            arriving_cpu_milli=entries
            * self.arrivals.cpu_milli(now, before=held.route.priority),
        )
        late = Backlog(
            ahead_cpu_milli_ms=entries
            * _work_before(others, (True, *key[1:]), now),
            arriving_cpu_milli=entries * self.arrivals.cpu_milli(now),
        )
        limits = self.state.limits
        return estimate_load(
            held.job.steps[0],
            self.state.agents.values(),
            now=now,
            critical_path_ms=held.critical_path_ms,
            on_time=on_time,
            late=late,
            far_factor=limits.far_factor,
            task_spread=limits.admission.task_spread,
            discovery_wait_ms=self._discovery_wait_ms(now),
        )

    def _discovery_wait_ms(self, now: float) -> float | None:
        if now >= self.state.discovery_ends_at:
            return None
        discovery_wait_s = min(
            self.state.discovery_ends_at - now,
            self.state.limits.first_discovery_s,
        )
        return discovery_wait_s * 1000

    def _entries_per_agent(self) -> float:
        """Return how many entries share an agent, in the mean."""
        counts = [
            len(view.entries)
            for view in self.state.agents.values()
            if view.entries
        ]
        if not counts:
            return 1 + len(self.state.peers)
        return sum(counts) / len(counts)


def _work_before(
    jobs: Iterable[HeldJob], key: tuple[bool, int, float], now: float
) -> float:
    """Return the waiting work of jobs that go before one with a sort key."""
    return sum(
        job.unsent_cpu_milli_ms() for job in jobs if job.sort_key(now) <= key
    )
