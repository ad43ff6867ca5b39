"""Caller threads that submit jobs under faults and resubmit lost ones."""

import dataclasses
import http.client
import itertools
import threading
import time

from egretcart.request.identity import new_job_id

VERDICTS = ("not_run", "may_have_run", "ran")
UNAVAILABLE = 503
MAX_TRIES = 12


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """The last answer to a job.

    `tries` counts the submissions; `began` and `ended` are the monotonic
    times of the first submission and of the answer, in seconds.
    """

    job_id: str
    tasks: int
    tries: int
    status: int
    answer: dict
    began: float
    ended: float

    @property
    def is_whole(self):
        expected = [{"echo": f"{self.job_id}/{n}"} for n in range(self.tasks)]
        return self.status == 200 and self.answer["results"] == expected


class Callers:
    """Threads that submit jobs, each through the next entry until answered.

    A lost submission and one that is refused with status 503 are repeated,
    up to `MAX_TRIES` submissions; with `resubmits=False` there is only one.
    If all were refused or lost, the last refusal is the answer; if there was
    none, the job is recorded in `errors`.
    """

    def __init__(
        self,
        deployment,
        entries,
        *,
        jobs,
        tasks,
        run_ms=5,
        threads=12,
        idempotent=False,
        resubmits=True,
        limit_s=8,
        pause_s=0.0,
        deadline_ms=None,
    ):
        self.deployment = deployment
        self.entries = entries
        self.jobs = jobs
        self.tasks = tasks
        self.run_ms = run_ms
        self.idempotent = idempotent
        self.tries = MAX_TRIES if resubmits else 1
        self.limit_s = limit_s
        self.job_numbers = iter(range(jobs))
        self.outcomes = []
        self.open_ids = set()
        self.errors = []
        self.stopped = False
        self.pause_s = pause_s
        self.deadline_ms = deadline_ms
        self.threads = [
            threading.Thread(target=self._work, daemon=True)
            for _ in range(threads)
        ]
        for thread in self.threads:
            thread.start()

    def _work(self):
        while not self.stopped:
            try:
                number = next(self.job_numbers)
            except StopIteration:
                return
            try:
                self.outcomes.append(self._submit_job(number))
                time.sleep(self.pause_s)
            except Exception as error:
                self.errors.append(repr(error))

    def _submit_job(self, number):
        job_id = str(new_job_id())
        tasks = [
            {"payload": {"run_ms": self.run_ms, "echo": f"{job_id}/{n}"}}
            for n in range(self.tasks)
        ]
        self.open_ids.add(job_id)
        try:
            return self._submit_until_answered(number, job_id, tasks)
        finally:
            self.open_ids.discard(job_id)

    def _submit_until_answered(self, number, job_id, tasks):
        began = time.monotonic()
        ports = itertools.cycle(e.ready["http_port"] for e in self.entries)
        ports = itertools.islice(ports, number % len(self.entries), None)
        error = refusal = None
        for tries in range(1, self.tries + 1):
            try:
                status, answer = self.deployment.submit_to(
                    next(ports),
                    tasks,
                    job_id=job_id,
                    limit_s=self.limit_s,
                    idempotent=self.idempotent,
                    deadline_ms=self.deadline_ms,
                )
            except (OSError, http.client.HTTPException) as problem:
                error = problem
                time.sleep(0.05)
                continue
            outcome = Outcome(
                job_id=job_id,
                tasks=self.tasks,
                tries=tries,
                status=status,
                answer=answer,
                began=began,
                ended=time.monotonic(),
            )
            if status != UNAVAILABLE:
                return outcome
            refusal = outcome
            if tries < self.tries:
                time.sleep(min(answer.get("retry_after_s", 0.2), 0.5))
        if refusal is None:
            raise AssertionError(f"job {job_id}: no answer: {error!r}")
        return refusal

    def wait_for(self, answers, limit_s=120):
        """Wait until this number of jobs is answered."""
        end = time.monotonic() + limit_s
        while len(self.outcomes) < answers:
            assert time.monotonic() < end, (
                f"{len(self.outcomes)} of {answers} answered; {self.errors}"
            )
            time.sleep(0.005)

    def finish(self, limit_s=240):
        """Wait until all jobs are answered."""
        end = time.monotonic() + limit_s
        for thread in self.threads:
            thread.join(max(0, end - time.monotonic()))
            assert not thread.is_alive(), "a caller got no answer"

    def gap_s(self, since, until):
        """Return the longest time in s without a whole answer in a period.

        The last gap ends with the period, or with the last answer of all
        if that came before the end of the period.
        """
        answered = [outcome.ended for outcome in self.outcomes]
        whole = sorted(
            outcome.ended
            for outcome in self.outcomes
            if since <= outcome.ended <= until and outcome.is_whole
        )
        end = max(since, min(until, max(answered, default=since)))
        times = [since, *whole, end]
        return max(b - a for a, b in itertools.pairwise(times))
