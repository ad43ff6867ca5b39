"""Moves runs off backend servers that leave too early. Free of I/O."""

from egretcart.direct.connection.messages import TaskLate
from egretcart.direct.connection.views import AgentView
from egretcart.direct.entry.entry_state import EntryState
from egretcart.direct.entry.job_endings import JobEndings
from egretcart.direct.log.decisions import LeavingRunJudged
from egretcart.direct.policy.leaving import should_move
from egretcart.direct.policy.leaving import ThreatenedRun
from egretcart.direct.request.held_job import HeldJob
from egretcart.direct.request.held_job import HeldTask
from egretcart.direct.request.held_job import TaskPhase
from egretcart.direct.request.job import Room


class LeavingRuns:
    """Decides whether runs at leaving servers stay, and stops the others.

    Parameters
    ----------
    state : EntryState
    endings : JobEndings

    Attributes
    ----------
    moving : list of (HeldTask, str)
        Tasks whose run is being stopped, and that start anew elsewhere, with
        their service.
    """

    def __init__(self, *, state: EntryState, endings: JobEndings) -> None:
        self.state = state
        self.endings = endings
        self.moving: list[tuple[HeldTask, str]] = []

    def judge(
        self, held: HeldJob, task: HeldTask, message: TaskLate, now: float
    ) -> None:
        """Move a run if its caller gains from that."""
        best = self._best_elsewhere(held, task)
        run = ThreatenedRun(
            whole_ms=message.whole_ms,
            completed_share=message.percent / 100,
            leaves_in_ms=message.leaves_in_ms,
            slowdown=self.state.agents[task.agent_id].slowdown,
            elsewhere_slowdown=best.slowdown if best is not None else None,
            objective_ms=held.objective_ms,
            job_age_ms=(now - held.accepted_at) * 1000,
        )
        moved = should_move(run, self.state.limits.rescheduling)
        if moved or task.kept_run != task.run:
            self._log(run, task, moved, best, now)
        if moved:
            self.moving.append((task, held.route.service))
            self.endings.stop_task(task)
        else:
            task.kept_run = task.run

    def _best_elsewhere(
        self, held: HeldJob, task: HeldTask
    ) -> AgentView | None:
        """Return the fastest other agent that has room left for the task.

        None if the tasks that are being moved need all the free capacity.
        """
        room = held.job.steps[task.key.step].room
        views = self.state.free_agents_elsewhere(held, task)
        if self._places(views, room) <= self._count_moving(held.route.service):
            return None
        return min(views, key=lambda view: view.slowdown, default=None)

    def _places(self, views: list[AgentView], room: Room) -> int:
        most = len(self.moving) + 1
        return sum(view.free.count_fitting(room, most) for view in views)

    def _count_moving(self, service: str) -> int:
        """Return how many tasks of a service are being moved."""
        self.moving = [
            (task, of_service)
            for task, of_service in self.moving
            if task.phase is TaskPhase.STOPPING
        ]
        return sum(of_service == service for _, of_service in self.moving)

    def _log(
        self,
        run: ThreatenedRun,
        task: HeldTask,
        moved: bool,
        best: AgentView | None,
        now: float,
    ) -> None:
        status_age_s = now - best.status_at if best is not None else 0.0
        self.state.log.write(
            LeavingRunJudged(
                job_id=task.key.job_id,
                step=task.key.step,
                index=task.key.index,
                run=task.run,
                agent=task.agent_id,
                moved=moved,
                leaves_in_ms=round(run.leaves_in_ms),
                percent=round(run.completed_share * 100),
                whole_ms=round(run.whole_ms),
                pace=run.slowdown,
                elsewhere_pace=run.elsewhere_slowdown or 0.0,
                status_age_ms=round(status_age_s * 1000),
            )
        )
