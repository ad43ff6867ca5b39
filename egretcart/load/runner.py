"""Submits the planned jobs of a load profile to a deployment."""

from collections.abc import Callable
import dataclasses
import random

import msgspec
import trio

from egretcart.connection.caller import Caller
from egretcart.connection.caller import CallerAnswer
from egretcart.load.profile import CancelWave
from egretcart.load.profile import LoadProfile
from egretcart.load.workload import expected_echo
from egretcart.load.workload import plan_jobs
from egretcart.load.workload import PlannedJob
from egretcart.process.clock import Clock
from egretcart.request.identity import job_id_at
from egretcart.request.identity import JobId
from egretcart.request.json_decoding import decode_json

HTTP_OK = 200
CANCEL_TIMEOUT_S = 10.0
PROGRESS_INTERVAL_S = 1.0


class _Answer(msgspec.Struct, frozen=True, kw_only=True):
    """The results in the body of a complete answer."""

    results: list[dict[str, object]] = []


@dataclasses.dataclass(kw_only=True, slots=True)
class JobRun:
    """One planned job with its submissions and answers.

    Attributes
    ----------
    planned_job : PlannedJob
    job_id : JobId or None
        None until the job is submitted.
    submitted_at_s : float
        Time of the first submission, in seconds from the start of the run;
        0 until then.
    answered_at_s : float
        Time of the first caller's last answer, in seconds from the start
        of the run; 0 until then.
    answer : CallerAnswer or None
        Last answer to the first caller; None while it waits.
    repeated : CallerAnswer or None
        Last answer to the second caller; None if there is no second caller
        or while it waits.
    cancelled : bool
        Whether a cancel wave included the job.
    """

    planned_job: PlannedJob
    job_id: JobId | None = None
    submitted_at_s: float = 0.0
    answered_at_s: float = 0.0
    answer: CallerAnswer | None = None
    repeated: CallerAnswer | None = None
    cancelled: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether the first caller has got an answer with status 200."""
        return self.answer is not None and self.answer.status == HTTP_OK

    @property
    def is_open(self) -> bool:
        """Whether the first caller waits for an answer."""
        return self.job_id is not None and self.answer is None


def is_correct_answer(run: JobRun, answer: CallerAnswer) -> bool:
    """Return whether an answer has all results of this job, in order."""
    decoded = decode_json(answer.body, _Answer)
    expected = [
        {"echo": expected_echo(run.planned_job.number, task)}
        for task in range(len(run.planned_job.run_ms))
    ]
    return decoded.results == expected


class LoadRunner:
    """Submits each planned job of a profile at its planned time.

    Parameters
    ----------
    profile : LoadProfile
    clock : Clock
    show : callable
        Called with a progress line about once a second.

    Attributes
    ----------
    runs : list of JobRun
    elapsed_s : float
        Time until the last answer, in seconds; at least the profile's
        duration.
    """

    def __init__(
        self,
        *,
        profile: LoadProfile,
        clock: Clock,
        show: Callable[[str], None],
    ) -> None:
        self.profile = profile
        self.clock = clock
        self.show = show
        self.caller = Caller(
            addresses=[(e.host, e.port) for e in profile.entries],
            service=profile.service,
        )
        self.runs = [
            JobRun(planned_job=planned_job)
            for planned_job in plan_jobs(profile)
        ]
        self.random = random.Random(profile.seed + 1)
        self.started_at = 0.0
        self.elapsed_s = 0.0

    async def run(self) -> None:
        """Run until all jobs are answered or the time limit has passed."""
        self.started_at = trio.current_time()
        profile = self.profile
        with trio.move_on_after(profile.duration_s + profile.drain_s):
            async with trio.open_nursery() as progress_nursery:
                progress_nursery.start_soon(self._show_progress)
                async with trio.open_nursery() as nursery:
                    for wave in profile.cancel_waves:
                        nursery.start_soon(self._cancel_wave, wave)
                    await self._submit_all(nursery)
                progress_nursery.cancel_scope.cancel()
        answer_times_s = [run.answered_at_s for run in self.runs]
        self.elapsed_s = max([profile.duration_s, *answer_times_s])
        with trio.CancelScope(shield=True):
            await self.caller.aclose()

    def _now_s(self) -> float:
        return trio.current_time() - self.started_at

    async def _submit_all(self, nursery: trio.Nursery) -> None:
        for run in self.runs:
            await trio.sleep_until(self.started_at + run.planned_job.at_s)
            run.job_id = job_id_at(
                self.clock.unix_ms(), run.planned_job.id_suffix
            )
            run.submitted_at_s = self._now_s()
            nursery.start_soon(self._submit, run, run.job_id)
            if run.planned_job.resubmit_after_s is not None:
                nursery.start_soon(self._resubmit, run, run.job_id)

    async def _submit(self, run: JobRun, job_id: JobId) -> None:
        run.answer = await self._exchange(run, job_id, run.planned_job.number)
        run.answered_at_s = self._now_s()

    async def _resubmit(self, run: JobRun, job_id: JobId) -> None:
        await trio.sleep(run.planned_job.resubmit_after_s or 0.0)
        run.repeated = await self._exchange(
            run, job_id, run.planned_job.number + 1
        )

    async def _exchange(
        self, run: JobRun, job_id: JobId, first: int
    ) -> CallerAnswer:
        profile = self.profile
        return await self.caller.submit(
            job_id,
            run.planned_job.body,
            give_up_s=profile.come_back_s,
            time_limit_s=profile.duration_s + profile.drain_s,
            first=first,
        )

    async def _cancel_wave(self, wave: CancelWave) -> None:
        await trio.sleep_until(self.started_at + wave.at_s)
        open_runs = [run for run in self.runs if run.is_open]
        chosen = self.random.sample(
            open_runs, round(len(open_runs) * wave.share)
        )
        async with trio.open_nursery() as nursery:
            for run in chosen:
                run.cancelled = True
                nursery.start_soon(self._cancel, run)

    async def _cancel(self, run: JobRun) -> None:
        if run.job_id is not None:
            await self.caller.cancel(
                run.job_id,
                time_limit_s=CANCEL_TIMEOUT_S,
                entry=run.planned_job.number,
            )

    async def _show_progress(self) -> None:
        while True:
            submitted = sum(run.job_id is not None for run in self.runs)
            complete = sum(run.is_complete for run in self.runs)
            still_open = sum(run.is_open for run in self.runs)
            self.show(
                f"{self._now_s():.0f} s: {submitted} of {len(self.runs)} jobs "
                f"submitted, {complete} complete, {still_open} open"
            )
            await trio.sleep(PROGRESS_INTERVAL_S)
