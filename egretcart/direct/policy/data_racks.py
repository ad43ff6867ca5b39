"""Data racks: tasks run beside their data where there is room. Free of I/O.

This handles steps whose data is on one rack while most servers are occupied.
Away from its data a task holds its place for longer, which takes capacity
from the tasks of all queues. So a task that can be on time near its data goes
there, also if it could be on time elsewhere. It does not wait for a place
there: if there is none, or if others were faster to take the last ones, it
runs anywhere.
"""

from collections.abc import Iterable
import dataclasses

from egretcart.direct.connection.views import AgentView
from egretcart.direct.request.job import Step

# Id and view of an agent.
Candidate = tuple[str, AgentView]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DataRackLimits:
    """How long a task is kept near its data.

    Attributes
    ----------
    max_returns : int
        Number of times that a task may come back as not run before it is
        sent to any rack: on a hot rack, many entries choose the same few
        places.
    """

    max_returns: int = 2


class DataRacks:
    """Prefers agents on the rack of a step's data.

    Parameters
    ----------
    limits : DataRackLimits
    far_factor : float
        Factor by which a task's run time is longer on another rack than
        that of its data; at 1 or less no rack is preferred.
    """

    def __init__(self, *, limits: DataRackLimits, far_factor: float) -> None:
        self.limits = limits
        self.far_factor = far_factor

    def prefers_rack(self, step: Step) -> bool:
        """Whether it matters where tasks of a step run."""
        return bool(step.data_rack) and self.far_factor > 1

    def choose_from(
        self, step: Step, candidates: list[Candidate], *, returns: int = 0
    ) -> list[Candidate]:
        """Return the candidates near the data; all if there are none.

        Parameters
        ----------
        step : Step
        candidates : list of Candidate
            Agents that can begin a task of the step and where it is equally
            likely to be on time.
        returns : int, optional
            How often the task has come back as not run.
        """
        if not self.prefers_rack(step) or returns > self.limits.max_returns:
            return candidates
        near = [item for item in candidates if item[1].is_near_data(step)]
        return near or candidates

    def near_first(
        self, step: Step, candidates: Iterable[Candidate]
    ) -> list[str]:
        """Return the ids of agents, those near the data first.

        The order of the others, and of these among each other, is kept.
        """
        ordered = list(candidates)
        if self.prefers_rack(step):
            ordered.sort(key=lambda item: not item[1].is_near_data(step))
        return [agent_id for agent_id, _ in ordered]
