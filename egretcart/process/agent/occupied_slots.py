"""Slots that a lost incarnation of an agent may still occupy.

A backend server goes on with what an agent had begun there when the agent
dies. The agent's next incarnation knows nothing of it, so the leader keeps
as many of its slots free until the time limits have passed.
"""

from collections.abc import Iterable


class OccupiedSlots:
    """Counts the slots that lost incarnations may still occupy.

    Attributes
    ----------
    ends : dict of (str, int) to list of float
        For each agent and lost incarnation the monotonic times at which
        its tasks have surely ended.
    """

    def __init__(self) -> None:
        self.ends: dict[tuple[str, int], list[float]] = {}

    def add(
        self, agent_id: str, incarnation: int, ends: Iterable[float]
    ) -> None:
        """Take in what an incarnation had in flight when it was lost.

        Parameters
        ----------
        agent_id : str
        incarnation : int
        ends : iterable of float
            Monotonic time for each task at which it has surely ended.
        """
        times = list(ends)
        if times:
            self.ends[(agent_id, incarnation)] = times

    def remove_incarnation(self, agent_id: str, incarnation: int) -> None:
        """Forget an incarnation that tells itself what it runs."""
        self.ends.pop((agent_id, incarnation), None)

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
        if not self.ends:
            return 0
        return sum(
            len([end for end in ends if end > now])
            for (lost_id, _), ends in self.ends.items()
            if lost_id == agent_id
        )

    def prune(self, now: float) -> None:
        """Forget the incarnations whose tasks have all ended."""
        for key, ends in list(self.ends.items()):
            if max(ends) <= now:
                del self.ends[key]
