"""Table of an agent's runs and the capacity that they use. Free of I/O."""

from collections.abc import Iterator

from egretcart.direct.agent.agent_types import Run
from egretcart.direct.agent.agent_types import RunPhase
from egretcart.direct.policy.capacity_offers import CapacityOffers
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import TaskKey


class RunTable:
    """Runs by task; all but queued ones occupy capacity, as do offers.

    Parameters
    ----------
    offers : CapacityOffers

    Attributes
    ----------
    runs : dict of TaskKey to Run
        All runs by task, at most one for each.
    """

    def __init__(self, *, offers: CapacityOffers) -> None:
        self.offers = offers
        self.runs: dict[TaskKey, Run] = {}

    def __iter__(self) -> Iterator[Run]:
        """Iterate over all runs, which may be removed during the iteration."""
        return iter(list(self.runs.values()))

    def __len__(self) -> int:
        """Return the number of runs."""
        return len(self.runs)

    def get(self, key: TaskKey) -> Run | None:
        """Return the run of a task, or None."""
        return self.runs.get(key)

    def find(self, key: TaskKey, number: int) -> Run | None:
        """Return a task's run if it has this number, or None."""
        run = self.runs.get(key)
        return run if run is not None and run.run == number else None

    def add(self, run: Run) -> None:
        """Add a run."""
        self.runs[run.key] = run

    def remove(self, run: Run) -> None:
        """Remove a run."""
        del self.runs[run.key]

    def waiting(self) -> list[Run]:
        """Return the queued runs, which wait for free capacity."""
        return [
            run for run in self.runs.values() if run.phase is RunPhase.QUEUED
        ]

    def occupying(self) -> list[Run]:
        """Return the runs that occupy capacity."""
        return [
            run
            for run in self.runs.values()
            if run.phase is not RunPhase.QUEUED
        ]

    def runs_of_entry(self, entry_id: str) -> list[Run]:
        """Return the runs of an entry."""
        return [run for run in self.runs.values() if run.entry_id == entry_id]

    def runs_of_other_entries(self, job_id: str, entry_id: str) -> list[Run]:
        """Return the runs of a job that were sent by other entries."""
        return [
            run
            for run in self.runs.values()
            if run.key.job_id == job_id and run.entry_id != entry_id
        ]

    def free(self, capacity: Room, *, queued: bool) -> Room:
        """Return the free capacity; negative if more is required.

        Parameters
        ----------
        capacity : Room
            Capacity of the backend server.
        queued : bool
            Whether the resources of queued runs are subtracted as well.
        """
        free = capacity - self.offers.held
        for run in self.runs.values():
            if queued or run.phase is not RunPhase.QUEUED:
                free -= run.room
        return free

    def is_below_agent_limit(self, run: Run) -> bool:
        """Whether a run's step allows one more run on this agent."""
        if not run.max_per_agent:
            return True
        active_in_step = sum(
            other.key.job_id == run.key.job_id
            and other.key.step == run.key.step
            for other in self.occupying()
        )
        return active_in_step < run.max_per_agent
