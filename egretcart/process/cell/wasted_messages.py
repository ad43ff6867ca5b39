"""Count of wasted messages between a leader and its agents, by cause.

Free of I/O. It is based only on the messages that are sent and received,
so it is valid for any policy; docs/measures.md has the definitions.
"""

from collections.abc import Callable
import enum

from egretcart.connection.agent_messages import AgentMessage
from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import ALL_TASKS
from egretcart.connection.leader_messages import CancelTasks
from egretcart.connection.leader_messages import LeaderMessage
from egretcart.connection.leader_messages import Start
from egretcart.request.verdict import Verdict

# Most items of each collection of ended or refused tasks and cancelled jobs.
MAX_REMEMBERED_TASKS = 10_000
# Messages of one attempt: a start and its result.
ATTEMPT_MESSAGES = 2

# Job id, and the index of a task in its job.
TaskKey = tuple[bytes, int]


class WasteCause(enum.Enum):
    """Why a message was wasted.

    `REFUSED_START`: a start, and the result by which the agent refused it.
    `DUPLICATE_ANSWER`: a result of an attempt that is not in flight, if its
    task has a result already.
    `RETRY`: a further start of a task without an attempt in flight, unless
    the last attempt was refused, and its result.
    `HEDGE_LOSER`: an attempt whose task had already succeeded in another one,
    or its cancel.
    `CANCELLED`: an attempt of a cancelled job, or the cancel of the job.
    `LOST_AGENT`: a start whose result will not arrive.
    `REFORWARD`: a request that an entry forwarded to a leader again, or the
    reply that the receiving entry does not lead the cell.
    """

    REFUSED_START = "refused_start"
    DUPLICATE_ANSWER = "duplicate_answer"
    RETRY = "retry"
    HEDGE_LOSER = "hedge_loser"
    CANCELLED = "cancelled"
    LOST_AGENT = "lost_agent"
    REFORWARD = "reforward"


class WastedMessageCounter:
    """Counts the wasted messages of the cells that an entry leads.

    Parameters
    ----------
    count : callable
        Called with a `WasteCause` and the number of messages that were
        wasted.

    Attributes
    ----------
    in_flight : dict of str to dict
        Attempts without a result: by agent, the number of the attempt at
        each task.
    open_attempts : dict of TaskKey to int
        Number of attempts in flight at each task.
    refused : set of TaskKey
        Tasks whose last attempt was refused and that were not started again
        yet.
    ended : dict of TaskKey to bool
        The latest tasks with a result, and whether it was a success.
    cancelled : dict of bytes to bool
        The latest cancelled jobs, by job id; the value is always True.
    """

    def __init__(self, *, count: Callable[[WasteCause, int], None]) -> None:
        self.count = count
        self.in_flight: dict[str, dict[TaskKey, int]] = {}
        self.open_attempts: dict[TaskKey, int] = {}
        self.refused: set[TaskKey] = set()
        self.ended: dict[TaskKey, bool] = {}
        self.cancelled: dict[bytes, bool] = {}

    def sent(self, agent_id: str, message: LeaderMessage) -> None:
        """Record a message that the leader sends."""
        if isinstance(message, Start):
            self._record_start(agent_id, message)
        elif isinstance(message, CancelTasks):
            self._record_cancel(message)

    def received(self, agent_id: str, message: AgentMessage) -> None:
        """Record a message that the leader receives."""
        if isinstance(message, TaskResult):
            self._record_result(agent_id, message)

    def agent_lost(self, agent_id: str) -> None:
        """Record that no more results will arrive from an agent."""
        lost = self.in_flight.pop(agent_id, {})
        for key in lost:
            self._close_attempt(key)
        if lost:
            self.count(WasteCause.LOST_AGENT, len(lost))

    def _record_start(self, agent_id: str, start: Start) -> None:
        key = (start.job_id, start.task)
        if key in self.refused:
            self.refused.discard(key)
        elif start.attempt > 1 and key not in self.open_attempts:
            self.count(WasteCause.RETRY, ATTEMPT_MESSAGES)
        self.in_flight.setdefault(agent_id, {})[key] = start.attempt
        self.open_attempts[key] = self.open_attempts.get(key, 0) + 1

    def _record_cancel(self, message: CancelTasks) -> None:
        """Count a cancel of whole jobs, or of hedged attempts that lost."""
        jobs = [t.job_id for t in message.tasks if t.task == ALL_TASKS]
        cause = WasteCause.CANCELLED if jobs else WasteCause.HEDGE_LOSER
        self.count(cause, 1)
        for job_id in jobs:
            self.cancelled[job_id] = True
        _trim(self.cancelled)

    def _record_result(self, agent_id: str, result: TaskResult) -> None:
        key = (result.job_id, result.task)
        attempts = self.in_flight.get(agent_id, {})
        if attempts.get(key) != result.attempt:
            if key in self.ended:
                self.count(WasteCause.DUPLICATE_ANSWER, 1)
            return
        del attempts[key]
        self._close_attempt(key)
        cause = self._find_cause(key, result)
        if cause is not None:
            self.count(cause, ATTEMPT_MESSAGES)
        if cause is WasteCause.REFUSED_START:
            self.refused.add(key)
            if len(self.refused) > MAX_REMEMBERED_TASKS:
                self.refused.pop()
        elif not self.ended.get(key, False):
            self.ended[key] = result.succeeded
            _trim(self.ended)

    def _find_cause(
        self, key: TaskKey, result: TaskResult
    ) -> WasteCause | None:
        if self.ended.get(key, False):
            return WasteCause.HEDGE_LOSER
        if result.job_id in self.cancelled:
            return WasteCause.CANCELLED
        if result.verdict == Verdict.NOT_RUN.value:
            return WasteCause.REFUSED_START
        return None

    def _close_attempt(self, key: TaskKey) -> None:
        remaining = self.open_attempts.get(key, 1) - 1
        if remaining:
            self.open_attempts[key] = remaining
        else:
            self.open_attempts.pop(key, None)


def _trim(remembered: dict[bytes, bool] | dict[TaskKey, bool]) -> None:
    """Remove the oldest items of a dictionary that is too large."""
    while len(remembered) > MAX_REMEMBERED_TASKS:
        del remembered[next(iter(remembered))]  # type: ignore[arg-type]
