"""Which waiting task goes to which agent next."""

from collections import deque
from collections.abc import Iterable
from collections.abc import Set
import dataclasses

TaskKey = tuple[bytes, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class AgentLoad:
    """What the leader knows of a connected agent's load.

    Attributes
    ----------
    agent_id : str
    incarnation : int
    failure_domain : str
    slots : int
        Tasks that the backend server runs at a time.
    queue_depth : int
        Starts that may wait at the agent beyond its slots.
    in_flight : dict of TaskKey to int
        Attempt of each task that the agent has and has not ended.
    draining : bool
    """

    agent_id: str
    incarnation: int
    failure_domain: str
    slots: int
    queue_depth: int
    in_flight: dict[TaskKey, int] = dataclasses.field(default_factory=dict)
    draining: bool = False

    @property
    def free(self) -> int:
        """Starts that the agent may still be sent."""
        return self.slots + self.queue_depth - len(self.in_flight)


class FifoScheduler:
    """First come, first served, to the agent with the least load.

    Attributes
    ----------
    waiting : deque of TaskKey
    """

    def __init__(self) -> None:
        self.waiting: deque[TaskKey] = deque()

    def add(self, keys: Iterable[TaskKey]) -> None:
        """Add tasks that may start now."""
        self.waiting.extend(keys)

    def choose(
        self, loads: dict[str, AgentLoad], usable: Set[str]
    ) -> str | None:
        """Return the agent for the next task, or None if all are full.

        Parameters
        ----------
        loads : dict of str to AgentLoad
        usable : set of str
            Agents that hold a lease on the leader's term.

        Returns
        -------
        str or None
        """
        candidates = [
            load
            for agent_id, load in loads.items()
            if agent_id in usable and not load.draining and load.free > 0
        ]
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda load: (len(load.in_flight) / load.slots, load.agent_id),
        )
        return best.agent_id
