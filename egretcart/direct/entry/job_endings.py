"""Ends jobs: answers their callers and stops their runs. Free of I/O."""

from egretcart.direct.connection.messages import StopTasks
from egretcart.direct.entry.answer_memory import AnswerMemory
from egretcart.direct.entry.entry_state import EntryState
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.log.decisions import JobAnswered
from egretcart.direct.log.decisions import JobCancelled
from egretcart.direct.log.decisions import JobYielded
from egretcart.direct.request.held_job import HeldJob
from egretcart.direct.request.held_job import HeldTask
from egretcart.direct.request.held_job import TaskPhase
from egretcart.direct.request.job import JobState

CRASHES_CAUSE = "backend servers have crashed under a task"


class JobEndings:
    """Answers, cancels and yields accepted jobs, and stops their runs.

    Parameters
    ----------
    state : EntryState
    memory : AnswerMemory
    """

    def __init__(self, *, state: EntryState, memory: AnswerMemory) -> None:
        self.state = state
        self.memory = memory

    def cancel(self, held: HeldJob, cause: str, now: float) -> None:
        """Stop all runs of a job, and leave its requests unanswered."""
        job_id = held.job.job_id
        self.state.log.write(
            JobCancelled(
                job_id=job_id,
                cause=cause,
                elapsed_ms=round((now - held.accepted_at) * 1000),
            )
        )
        self.state.jobs.pop(job_id, None)
        held.waiting_request_ids.clear()
        self.stop_all(held)
        if not held.has_no_active_runs:
            self.state.stopping_jobs[job_id] = held

    def stop_all(self, held: HeldJob) -> None:
        """Stop all runs of a job."""
        for task in held.tasks.values():
            if task.phase is TaskPhase.SENT:
                self.stop_task(task)

    def stop_task(self, task: HeldTask) -> None:
        """Stop a task's run; its agent is asked only if it is not lost."""
        task.phase = TaskPhase.STOPPING
        stop = StopTasks(
            job_id=task.key.job_id,
            step=task.key.step,
            indexes=(task.key.index,),
        )
        if task.expires_at is None:
            self.state.effects.append(SendToAgent(task.agent_id, stop))

    def answer(
        self, held: HeldJob, state: JobState, now: float, cause: str = ""
    ) -> None:
        """Answer the requests that wait for a job."""
        job_id = held.job.job_id
        self.state.log.write(
            JobAnswered(
                job_id=job_id,
                state=state.value,
                elapsed_ms=round((now - held.accepted_at) * 1000),
                objective_ms=round(held.objective_ms),
                cause=cause,
            )
        )
        for request_id in held.waiting_request_ids:
            self.state.effects.append(
                Answer(request_id=request_id, state=state)
            )
        held.waiting_request_ids.clear()
        self.memory.record(job_id, state, now)

    def finish(
        self, held: HeldJob, state: JobState, now: float, cause: str = ""
    ) -> None:
        """Answer a job and stop its remaining runs."""
        self.answer(held, state, now, cause)
        self.state.jobs.pop(held.job.job_id, None)
        self.stop_all(held)
        if not held.has_no_active_runs:
            self.state.stopping_jobs[held.job.job_id] = held

    def yield_job(self, held: HeldJob, entry_id: str, now: float) -> None:
        """Yield a job to another entry, which its caller asks now."""
        self.state.log.write(
            JobYielded(
                job_id=held.job.job_id,
                entry=entry_id,
                state=held.state.value,
            )
        )
        for request_id in held.waiting_request_ids:
            self.state.effects.append(
                Answer(request_id=request_id, interrupted=True)
            )
        self.cancel(held, f"its caller asks {entry_id}", now)

    def interrupt(self, now: float) -> None:
        """Interrupt all waiting callers, so that they ask other entries."""
        for held in list(self.state.jobs.values()):
            for request_id in held.waiting_request_ids:
                self.state.effects.append(
                    Answer(request_id=request_id, interrupted=True)
                )
            self.cancel(held, "the entry leaves", now)
