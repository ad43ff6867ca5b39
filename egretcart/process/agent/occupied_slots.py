"""Slots that a lost incarnation of an agent may still occupy.

When an agent dies, its backend server continues the tasks that the agent had
begun there. The agent's next incarnation does not know of them, so the leader
keeps as many of its slots free until the time limits of these tasks have
passed.
"""

from collections.abc import Iterable


class OccupiedSlots:
    """Counts the slots that lost incarnations may still occupy.

    Attributes
    ----------
    expiry_times : dict of (str, int) to list of float
        Monotonic times, in seconds, at which the tasks of a lost incarnation
        have certainly ended, by agent id and incarnation.
    """

    def __init__(self) -> None:
        self.expiry_times: dict[tuple[str, int], list[float]] = {}

    def add(
        self, agent_id: str, incarnation: int, expiry_times: Iterable[float]
    ) -> None:
        """Record the tasks that were in flight when an incarnation was lost.

        Parameters
        ----------
        agent_id : str
        incarnation : int
        expiry_times : iterable of float
            For each task the monotonic time, in seconds, at which it has
            certainly ended.
        """
        times = list(expiry_times)
        if times:
            self.expiry_times[(agent_id, incarnation)] = times

    def remove_incarnation(self, agent_id: str, incarnation: int) -> None:
        """Remove an incarnation that reports its running tasks itself."""
        self.expiry_times.pop((agent_id, incarnation), None)

    def count(self, agent_id: str, *, now: float) -> int:
        """Return how many slots of an agent may be occupied.

        Parameters
        ----------
        agent_id : str
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
        """
        if not self.expiry_times:
            return 0
        return sum(
            len(
                [expires_at for expires_at in expiry_times if expires_at > now]
            )
            for (lost_id, _), expiry_times in self.expiry_times.items()
            if lost_id == agent_id
        )

    def prune(self, now: float) -> None:
        """Remove the incarnations whose tasks have all certainly ended."""
        for key, expiry_times in list(self.expiry_times.items()):
            if max(expiry_times) <= now:
                del self.expiry_times[key]
