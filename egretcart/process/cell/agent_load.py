"""Load of an agent, as the leader of its cell tracks it."""

import dataclasses

# Job id, and the index of a task in its job.
TaskKey = tuple[bytes, int]


@dataclasses.dataclass(kw_only=True, slots=True)
class AgentLoad:
    """Capacity and open attempts of a connected agent.

    Attributes
    ----------
    agent_id : str
    incarnation : int
        Differs with every start of the agent's process.
    failure_domain : str
        Name of the failure domain that the agent belongs to.
    slots : int
        Number of tasks that the backend server runs at a time.
    queue_depth : int
        Number of starts that may wait at the agent beyond its slots.
    in_flight : dict of TaskKey to int
        Number of the attempt at each task that was sent to the agent and
        has not ended.
    draining : bool
        Whether the agent is draining; it is sent no new starts.
    is_full_ledger_requested : bool
        Whether the agent was asked for its whole ledger, which records the
        jobs of former terms.
    ledger_complete : bool
        Whether the agent has sent its whole ledger.
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
        """Number of starts that may still be sent to the agent."""
        return self.slots + self.queue_depth - len(self.in_flight)
