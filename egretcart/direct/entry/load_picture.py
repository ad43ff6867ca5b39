"""What an entry knows of the load that a job meets. Free of I/O.

Entries that share agents tell each other how much work waits and arrives, so
that each estimates the same load, also if callers prefer one entry.
"""

import dataclasses

from egretcart.direct.connection.messages import LoadSummary
from egretcart.direct.connection.messages import MAX_PRIORITIES
from egretcart.direct.entry.entry_state import EntryState
from egretcart.direct.policy.admission import Backlog
from egretcart.direct.policy.admission import estimate_load
from egretcart.direct.policy.admission import LoadEstimate
from egretcart.direct.policy.arrivals import ArrivalRates
from egretcart.direct.request.held_job import HeldJob

# Less work than this waiting or arriving is reported as none.
MIN_REPORTED = 1000
# Work is reported in steps of this share, so that small changes are not sent.
REPORTED_STEP = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownLoad:
    """The load of another entry, as it has reported it.

    Attributes
    ----------
    summary : LoadSummary
    received_at : float
        When it was received.
    """

    summary: LoadSummary
    received_at: float


class LoadPicture:
    """Collects the waiting and arriving work for the admission of a job.

    An entry whose load is not known, or was not confirmed by a heartbeat
    within the heartbeat timeout, is assumed to have as much work as this one.

    Parameters
    ----------
    state : EntryState

    Attributes
    ----------
    arrivals : ArrivalRates
        Work that callers have requested here.
    known : dict of str to KnownLoad
        What other connected entries have reported, by entry id.
    reported : LoadSummary
        What this entry has last reported.
    """

    def __init__(self, *, state: EntryState) -> None:
        self.state = state
        self.arrivals = ArrivalRates(
            window_s=state.limits.admission.arrival_window_s
        )
        self.known: dict[str, KnownLoad] = {}
        self.reported = LoadSummary()

    def record_arrival(self, held: HeldJob, now: float) -> None:
        """Record a job that a caller requests, accepted or not."""
        self.arrivals.record(
            held.route.priority, held.unsent_cpu_milli_ms(), now
        )

    # Exchange with other entries.

    def changed_summary(self, now: float) -> LoadSummary | None:
        """Return a summary to report; None if the last one still holds."""
        summary = self._summarize(now)
        if summary == self.reported:
            return None
        self.reported = summary
        return summary

    def _summarize(self, now: float) -> LoadSummary:
        waiting = dict.fromkeys(self.arrivals.work_cpu_milli_ms, 0.0)
        late_waiting = 0.0
        for held in self.state.jobs.values():
            work = held.unsent_cpu_milli_ms()
            if held.will_miss_objective(now):
                late_waiting += work
            else:
                priority = held.route.priority
                waiting[priority] = waiting.get(priority, 0.0) + work
        rows = [
            (
                priority,
                _round_work(waiting[priority]),
                _round_work(self.arrivals.cpu_milli_of(priority, now)),
            )
            for priority in sorted(waiting)
        ]
        rows = [row for row in rows if row[1] or row[2]][:MAX_PRIORITIES]
        return LoadSummary(
            priorities=tuple(row[0] for row in rows),
            waiting=tuple(row[1] for row in rows),
            arriving=tuple(row[2] for row in rows),
            late_waiting=_round_work(late_waiting),
        )

    def record_summary(
        self, entry_id: str, summary: LoadSummary, now: float
    ) -> None:
        """Record what a connected entry has reported."""
        if entry_id in self.state.peers:
            self.known[entry_id] = KnownLoad(summary=summary, received_at=now)

    def forget(self, entry_id: str) -> None:
        """Forget the load of an entry whose link has ended or is new."""
        self.known.pop(entry_id, None)

    def ages_s(self, now: float) -> dict[str, float]:
        """Return the ages of the loads that are known and fresh enough.

        Heartbeats are sent after a summary that still holds.
        """
        ages = {
            entry_id: now - max(known.received_at, self.state.peers[entry_id])
            for entry_id, known in self.known.items()
        }
        timeout_s = self.state.limits.peer_heartbeat_timeout_s
        return {
            entry_id: age_s
            for entry_id, age_s in ages.items()
            if age_s <= timeout_s
        }

    # Estimates.

    def estimate(self, held: HeldJob, now: float) -> LoadEstimate:
        """Return an estimate of the load that a job meets."""
        limits = self.state.limits
        on_time, late = self._backlogs(held, now)
        ages_s = self.ages_s(now)
        load = estimate_load(
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
        return dataclasses.replace(
            load,
            summary_age_ms=1000 * max(ages_s.values(), default=0.0),
            unknown_entries=self._sharing(len(ages_s))[0],
        )

    def _backlogs(self, held: HeldJob, now: float) -> tuple[Backlog, Backlog]:
        """Return what goes before a job, and before it once it is late."""
        priority = held.route.priority
        is_late = held.will_miss_objective(now)
        work, late_work = self._own_work_before(held, now)
        known = [self.known[entry_id].summary for entry_id in self.ages_s(now)]
        unknown, share = self._sharing(len(known))

        def shared(own: float, others: list[int]) -> float:
            return (own * (1 + unknown) + sum(others)) * share

        on_time = Backlog(
            ahead_cpu_milli_ms=shared(
                work, [_ahead(summary, priority, is_late) for summary in known]
            ),
            arriving_cpu_milli=shared(
                self.arrivals.cpu_milli(now, before=priority),
                [_arriving(summary, before=priority) for summary in known],
            ),
        )
        late = Backlog(
            ahead_cpu_milli_ms=shared(
                late_work,
                [sum(each.waiting) + each.late_waiting for each in known],
            ),
            arriving_cpu_milli=shared(
                self.arrivals.cpu_milli(now),
                [sum(each.arriving) for each in known],
            ),
        )
        return on_time, late

    def _own_work_before(
        self, held: HeldJob, now: float
    ) -> tuple[float, float]:
        """Return the work that waits here before a job, now and if late.

        Before a late job go all that can be on time.
        """
        work = late_work = 0.0
        key = held.sort_key(now)
        late_key = (held.route.priority, held.due_at)
        for job in self.state.jobs.values():
            if job is held:
                continue
            if job.sort_key(now) <= key:
                job_work = job.unsent_cpu_milli_ms()
                work += job_work
                late_work += job_work
            elif (
                not job.will_miss_objective(now)
                or (job.route.priority, job.due_at) <= late_key
            ):
                late_work += job.unsent_cpu_milli_ms()
        return work, late_work

    def _sharing(self, known: int) -> tuple[int, float]:
        """Return how the work of all entries is shared.

        Parameters
        ----------
        known : int
            Number of the other entries whose load is known.

        Returns
        -------
        int
            Number of the other entries whose load is not known.
        float
            Share of all work that is for the agents of this entry.
        """
        entries = (
            1 + len(self.state.peers) + len(self.state.unconnected_entries())
        )
        share = min(1.0, self._entries_per_agent() / entries)
        return max(0, entries - 1 - known), share

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

    def _discovery_wait_ms(self, now: float) -> float | None:
        if now >= self.state.discovery_ends_at:
            return None
        discovery_wait_s = min(
            self.state.discovery_ends_at - now,
            self.state.limits.first_discovery_s,
        )
        return discovery_wait_s * 1000


def _ahead(summary: LoadSummary, priority: int, is_late: bool) -> int:
    """Return the work at another entry that goes before a job."""
    if is_late:
        return sum(summary.waiting) + summary.late_waiting
    rows = zip(summary.priorities, summary.waiting, strict=True)
    return sum(work for other, work in rows if other <= priority)


def _arriving(summary: LoadSummary, *, before: int) -> int:
    """Return the processors that more urgent work there keeps busy."""
    rows = zip(summary.priorities, summary.arriving, strict=True)
    return sum(work for priority, work in rows if priority < before)


def _round_work(work: float) -> int:
    """Return work in coarse steps; 0 if there is hardly any."""
    if work < MIN_REPORTED:
        return 0
    step = 10 ** (len(str(int(work))) - 1) * REPORTED_STEP
    return round(round(work / step) * step)
