"""What the leader knows of an agent's load."""

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
    asked_for_all : bool
        Whether the agent was asked for all that it knows of former terms.
    told_all : bool
        Whether it has told it.
    """

    agent_id: str
    incarnation: int
    failure_domain: str
    slots: int
    queue_depth: int
    in_flight: dict[TaskKey, int] = dataclasses.field(default_factory=dict)
    draining: bool = False
    is_full_ledger_requested: bool = False
    ledger_complete: bool = False

    @property
    def free(self) -> int:
        """Starts that the agent may still be sent."""
        return self.slots + self.queue_depth - len(self.in_flight)
