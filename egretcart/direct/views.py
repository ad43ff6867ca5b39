"""What an entry knows of an agent, and what it has sent there since."""

import dataclasses

from egretcart.direct.job import NO_ROOM
from egretcart.direct.job import Room
from egretcart.direct.job import Step
from egretcart.direct.messages import AgentStatus

PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class SentTasks:
    """Tasks sent in one message that no status has taken in yet."""

    room: Room
    count: int
    work_ms: float


class AgentView:
    """An agent as an entry sees it.

    Parameters
    ----------
    status : AgentStatus
    now : float

    Attributes
    ----------
    told_at : float
        When the status came.
    heard_at : float
        When anything came.
    entries : frozenset of str
        The entries for which it may run something.
    sent : dict of int to Sent
        By sequence; those that no status has taken in.
    """

    def __init__(self, *, status: AgentStatus, now: float) -> None:
        self.status = status
        self.status_at = now
        self.last_message_at = now
        self.entries: frozenset[str] = frozenset()
        self.sequence = 0
        self.sent: dict[int, SentTasks] = {}
        self.sent_resources = NO_ROOM

    def update(self, status: AgentStatus, now: float) -> None:
        """Take a newer status."""
        self.status = status
        self.status_at = now
        for sequence in [s for s in self.sent if s <= status.sequence]:
            self.sent_resources -= self.sent.pop(sequence).room

    def record_sent(self, room: Room, count: int, work_ms: float) -> int:
        """Count tasks that are being sent; return their sequence."""
        self.sequence += 1
        self.sent[self.sequence] = SentTasks(room, count, work_ms)
        self.sent_resources += room
        return self.sequence

    @property
    def free(self) -> Room:
        """Room that is left once all that was sent has arrived."""
        return self.status.free - self.sent_resources

    @property
    def queued(self) -> int:
        """Tasks that wait there, at most."""
        overfull = self.free.cpu_milli < 0 or self.free.memory_mb < 0
        sent = sum(sent.count for sent in self.sent.values())
        return self.status.queued + (sent if overfull else 0)

    @property
    def pace(self) -> float:
        """Run times there beside the callers' estimates."""
        return self.status.pace_percent / PERCENT

    @property
    def knows_backend(self) -> bool:
        """Whether the agent knows the room of its backend server."""
        return self.status.cpu_milli > 0

    def may_run(self, step: Step) -> bool:
        """Whether tasks of the step may be sent there at all."""
        status = self.status
        return (
            status.accepting
            and status.capacity.can_fit(step.room)
            and (not step.requires or step.requires in status.labels)
        )

    def run_ms(self, step: Step, far_factor: float) -> float:
        """Return the expected run time of a task of the step there."""
        is_remote = step.data_rack and step.data_rack not in self.status.labels
        return (
            step.estimate_ms * self.pace * (far_factor if is_remote else 1.0)
        )
