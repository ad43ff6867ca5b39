"""Accepts, joins or refuses the jobs that callers submit. Free of I/O."""

from collections.abc import Iterable
import math

from egretcart.direct.entry.answer_memory import AnswerMemory
from egretcart.direct.entry.drain_relay import DrainRelay
from egretcart.direct.entry.entry_state import EntryState
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import RUN_NUMBERS_PER_TAKEOVER
from egretcart.direct.entry.job_endings import CRASHES_CAUSE
from egretcart.direct.entry.job_endings import JobEndings
from egretcart.direct.entry.pending_claims import PendingClaim
from egretcart.direct.entry.pending_claims import PendingClaims
from egretcart.direct.log.decisions import JobAccepted
from egretcart.direct.log.decisions import JobJoined
from egretcart.direct.log.decisions import JobRefused
from egretcart.direct.policy.admission import can_end_in_time
from egretcart.direct.policy.admission import estimate_load
from egretcart.direct.policy.admission import retry_after_s
from egretcart.direct.request.claims import Claim
from egretcart.direct.request.held_job import HeldJob
from egretcart.direct.request.job import find_job_violation
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import JobKind
from egretcart.direct.request.job import JobState
from egretcart.direct.version.configuration import Route

NO_CONFIGURATION_CAUSE = "no configuration is known yet"
ALL_DRAINED_CAUSE = "all failure domains are drained"
CONFINED_CAUSE = "its route is confined"
NO_SERVER_CAUSE = "no backend server of its service is known"


def _find_refusal_cause(job: Job, route: Route) -> str | None:
    """Return why a job is not served at all, or None."""
    violation = find_job_violation(job)
    if violation is not None:
        return violation
    if job.kind is not JobKind.TRANSIENT:
        return f"{job.kind.value} jobs are not served"
    if route.needs_advice:
        return f'route "{route.name}" needs advice, which is not asked for'
    return None


class JobAdmission:
    """Decides about requests, and about jobs that wait too long.

    Parameters
    ----------
    state : EntryState
    endings : JobEndings
    memory : AnswerMemory
    pending : PendingClaims
    drains : DrainRelay

    Attributes
    ----------
    stop_deadline : float or None
        When the process ends; None unless it is stopping. A job whose
        latency objective ends later is not accepted.
    """

    def __init__(
        self,
        *,
        state: EntryState,
        endings: JobEndings,
        memory: AnswerMemory,
        pending: PendingClaims,
        drains: DrainRelay,
    ) -> None:
        self.state = state
        self.endings = endings
        self.memory = memory
        self.pending = pending
        self.drains = drains
        self.stop_deadline: float | None = None

    def submit(
        self,
        request_id: int,
        job: Job,
        route: Route,
        now: float,
        *,
        wait_limit_s: float = math.inf,
    ) -> None:
        """Handle a request that submits a job.

        If a job of the same id is known here, the request gets its answer.
        If the job may run for another entry, it waits as a pending claim.
        Otherwise it is accepted or refused.

        Parameters
        ----------
        request_id : int
            Unique at this entry; `Answer` repeats it.
        job : Job
        route : Route
        now : float
        wait_limit_s : float, optional
            How long the caller waits, in seconds; infinite if not given.
        """
        claim = self.state.claims.claim_of(job.job_id)
        held = self.state.jobs.get(job.job_id)
        if held is None and claim is None:
            held = self.state.stopping_jobs.get(job.job_id)
        pending = self.pending.by_job.get(job.job_id)
        ended = self.memory.state_of(job.job_id)
        refusal_cause = _find_refusal_cause(job, route)
        if refusal_cause is not None:
            self._refuse_unserved(request_id, job, route, refusal_cause)
        elif held is not None:
            held.waiting_request_ids.add(request_id)
            self.state.stopping_jobs.pop(job.job_id, None)
            self.state.jobs[job.job_id] = held
            self._log_joined(job.job_id, held.state.value)
        elif pending is not None:
            pending.request_ids.add(request_id)
            self._log_joined(job.job_id, "claimed")
        elif ended is not None:
            self._log_joined(job.job_id, ended.value)
            self.state.effects.append(
                Answer(request_id=request_id, state=ended)
            )
        elif claim is not None:
            self.pending.start_claim(
                request_id,
                job,
                route,
                holders={claim.entry_id},
                peers=self.state.peers,
                agents=self.state.agents,
                lost_agents=self.state.lost_agents,
                former_expires_at=self._former_runs_expiry(claim),
                wait_deadline_at=math.inf,
                wait_limit_s=wait_limit_s,
            )
        elif now < self.state.claims_missing_until:
            # Its caller may have submitted it elsewhere while this process
            # was paused.
            self.pending.start_claim(
                request_id,
                job,
                route,
                holders=self._unconnected_entries(),
                peers=self.state.peers,
                agents=self.state.agents,
                lost_agents={},
                former_expires_at=self.state.claims_missing_until,
                wait_deadline_at=self.state.claims_missing_until
                + self.state.limits.unconnected_wait_s,
                wait_limit_s=wait_limit_s,
            )
        elif unconnected := self._unconnected_entries():
            self.pending.start_claim(
                request_id,
                job,
                route,
                holders=unconnected,
                peers=self.state.peers,
                agents=self.state.agents,
                lost_agents={},
                former_expires_at=0.0,
                wait_deadline_at=now + self.state.limits.unconnected_wait_s,
                wait_limit_s=wait_limit_s,
            )
        else:
            self._admit(
                {request_id},
                job,
                route,
                now,
                first_run=1,
                wait_limit_s=wait_limit_s,
            )

    def _former_runs_expiry(self, claim: Claim) -> float:
        """Return when runs have expired whose owner can't be asked.

        That is an entry that is not connected, or that has been
        disconnected since it reported the job and may have lost its state.
        """
        connected_at = self.state.peers_connected_at.get(
            claim.entry_id, math.inf
        )
        if claim.claimed_at >= connected_at:
            return 0.0
        return self.state.former_runs_expire_at.get(claim.entry_id, 0.0)

    def _unconnected_entries(self) -> set[str]:
        """Return entries that agents serve but that are not connected here.

        This entry does not know which jobs they have accepted, so any job
        may already run for one of them.
        """
        served = {
            entry_id
            for view in self.state.agents.values()
            for entry_id in view.entries
        }
        return served - self.state.peers.keys() - {self.state.entry_id}

    def _refuse_unserved(
        self, request_id: int, job: Job, route: Route, cause: str
    ) -> None:
        invalid = find_job_violation(job) is not None
        self.state.log.write(
            JobRefused(job_id=job.job_id, route=route.name, cause=cause)
        )
        self.state.effects.append(
            Answer(request_id=request_id, cause=cause, invalid=invalid)
        )

    @property
    def unconfigured_retry_s(self) -> float:
        """Time after which to retry while no configuration is known, in s."""
        return self.state.limits.admission.min_retry_s

    def log_unconfigured(self, job_id: str) -> None:
        """Log that a job is refused, as no configuration is known."""
        self.state.log.write(
            JobRefused(
                job_id=job_id,
                route="",
                cause=NO_CONFIGURATION_CAUSE,
                retry_after_s=math.ceil(self.unconfigured_retry_s),
            )
        )

    def _log_joined(self, job_id: str, state: str) -> None:
        self.state.log.write(JobJoined(job_id=job_id, state=state))

    def admit_claimed(self, pending: PendingClaim, now: float) -> None:
        """Accept or refuse a job whose claim need not wait any longer."""
        cause = _find_refusal_cause(pending.job, pending.route)
        if cause is not None:
            # Its route has changed since, and another entry may have run it.
            self._refuse_claimed(pending, cause)
            return
        self._admit(
            pending.request_ids,
            pending.job,
            pending.route,
            now,
            first_run=1 + RUN_NUMBERS_PER_TAKEOVER * pending.number,
            wait_limit_s=pending.wait_limit_s,
            may_have_run=True,
        )

    def _refuse_claimed(self, pending: PendingClaim, cause: str) -> None:
        self.state.log.write(
            JobRefused(
                job_id=pending.job.job_id,
                route=pending.route.name,
                cause=cause,
            )
        )
        for request_id in pending.request_ids:
            self.state.effects.append(
                Answer(request_id=request_id, cause=cause, interrupted=True)
            )

    def _admit(
        self,
        request_ids: set[int],
        job: Job,
        route: Route,
        now: float,
        *,
        first_run: int,
        wait_limit_s: float,
        may_have_run: bool = False,
    ) -> None:
        """Accept a job, or refuse it if it can't be served in time."""
        held = HeldJob(
            job=job,
            route=route,
            now=now,
            first_run=first_run,
            may_have_run=may_have_run,
            wait_limit_s=wait_limit_s,
        )
        self._recall_crash_scores(held)
        if any(
            self.state.is_given_up(task.crash_score)
            for task in held.tasks.values()
        ):
            held.waiting_request_ids |= request_ids
            self.endings.answer(held, JobState.FAILED, now, CRASHES_CAUSE)
            return
        if self._is_due_after_stop(held, now):
            min_retry_s = self.state.limits.admission.min_retry_s
            self._refuse(
                held, request_ids, "the entry leaves", 0.0, min_retry_s
            )
            return
        wait_ms, retry_s = self._estimate_wait(held, now)
        if retry_s is not None:
            cause = self._no_room_cause(route, now)
            self._refuse(held, request_ids, cause, wait_ms, retry_s)
            return
        held.waiting_request_ids |= request_ids
        self.state.jobs[job.job_id] = held
        self.state.claims.record_own(job.job_id, now)
        self.state.confinement.record_accepted(route.name, route.service, now)
        self.state.log.write(
            JobAccepted(
                job_id=job.job_id,
                route=route.name,
                version=self.state.version,
                tasks=len(held.tasks),
                objective_ms=round(held.objective_ms),
                patience_ms=(
                    round(wait_limit_s * 1000)
                    if wait_limit_s < math.inf
                    else None
                ),
                expected_wait_ms=round(wait_ms),
                estimate_ms=round(job.steps[0].estimate_ms),
                data_rack=job.steps[0].data_rack,
            )
        )

    def _recall_crash_scores(self, held: HeldJob) -> None:
        """Apply what this or another entry knows of crashes under a job."""
        if not self.state.crash_scores.known:
            return
        for task in held.tasks.values():
            task.crash_score = self.state.crash_scores.score_of(task.key)

    def _no_room_cause(self, route: Route, now: float) -> str:
        if self._are_all_agents_drained(route.service, now):
            return ALL_DRAINED_CAUSE
        if route.name in self.state.confinement.routes:
            return CONFINED_CAUSE
        if not self.state.agents_of(route.service):
            return NO_SERVER_CAUSE
        return "no room in time"

    def _are_all_agents_drained(self, service: str, now: float) -> bool:
        """Whether only drained agents were found, and others had time."""
        has_searched = now >= self.state.discovery_ends_at
        return has_searched and self.drains.covers_all_agents(service)

    def _is_due_after_stop(self, held: HeldJob, now: float) -> bool:
        """Whether the latency objective ends after this entry has stopped."""
        return (
            self.stop_deadline is not None and held.due_at > self.stop_deadline
        )

    def _estimate_wait(
        self, held: HeldJob, now: float
    ) -> tuple[float, float | None]:
        """Return the expected wait, and when to retry if it is too long.

        The wait is in milliseconds. The time after which the caller may
        retry is in seconds, or None if the job can be served in time. Each
        other entry that shares agents with this one is assumed to have as
        much work waiting as this one. Work for other services does not count.
        """
        service = held.route.service
        sort_key = held.sort_key(now)
        jobs_ahead = [
            job
            for job in self.state.jobs.values()
            if job is not held
            and job.route.service == service
            and job.sort_key(now) <= sort_key
        ]
        ahead_cpu_milli_ms = sum(
            job.unsent_cpu_milli_ms() for job in jobs_ahead
        )
        discovery_wait_ms = None
        if now < self.state.discovery_ends_at:
            discovery_wait_s = min(
                self.state.discovery_ends_at - now,
                self.state.limits.first_discovery_s,
            )
            discovery_wait_ms = discovery_wait_s * 1000
        load = estimate_load(
            held.job.steps[0],
            self.state.views_for(held.route),
            service=service,
            queued_cpu_milli_ms=ahead_cpu_milli_ms
            * self._entries_per_agent(service),
            far_factor=self.state.limits.far_factor,
            discovery_wait_ms=discovery_wait_ms,
        )
        useful_until = min(
            held.accepted_at
            + self.state.limits.admission.useful_latency_factor
            * held.objective_ms
            / 1000,
            held.wait_deadline,
        )
        useful_ms = (useful_until - now) * 1000
        retry_s = retry_after_s(
            load,
            useful_ms,
            self.state.limits.admission,
            is_accepted=held.job.job_id in self.state.jobs,
        )
        wait_ms = min(load.wait_ms, 1e6)
        return wait_ms, retry_s

    def _entries_per_agent(self, service: str) -> float:
        """Return how many entries share an agent of a service, in the mean."""
        counts = [
            len(view.entries)
            for view in self.state.agents.values()
            if view.entries and view.service in ("", service)
        ]
        if not counts:
            return 1 + len(self.state.peers)
        return sum(counts) / len(counts)

    def _refuse(
        self,
        held: HeldJob,
        request_ids: Iterable[int],
        cause: str,
        wait_ms: float,
        retry_s: float,
    ) -> None:
        self.state.log.write(
            JobRefused(
                job_id=held.job.job_id,
                route=held.route.name,
                cause=cause,
                objective_ms=round(held.objective_ms),
                expected_wait_ms=round(wait_ms),
                retry_after_s=math.ceil(retry_s),
                tasks=len(held.tasks),
            )
        )
        for request_id in request_ids:
            self.state.effects.append(
                Answer(
                    request_id=request_id,
                    retry_after_s=retry_s,
                    cause=cause,
                    interrupted=held.may_have_run,
                )
            )

    def caller_disconnected(
        self, job_id: str, request_id: int, now: float
    ) -> None:
        """Record that a caller no longer waits for its job."""
        self.pending.remove_request(job_id, request_id)
        held = self.state.jobs.get(job_id)
        if held is not None and request_id in held.waiting_request_ids:
            held.waiting_request_ids.discard(request_id)
            if not held.waiting_request_ids:
                self.endings.cancel(held, "the caller has left", now)

    def cancel(self, job_id: str, now: float) -> None:
        """Cancel a job at its caller's request."""
        held = self.state.jobs.get(job_id)
        if held is not None:
            self.endings.answer(held, JobState.CANCELLED, now, "its caller")
            self.endings.cancel(held, "the caller took it back", now)

    def refuse_overdue(self, now: float) -> None:
        """Refuse unstarted jobs that can't be served any more."""
        for held in list(self.state.jobs.values()):
            if held.has_begun:
                continue
            must_end = self._caller_leaves_before_end(held, now)
            if now < held.due_at and not must_end:
                continue
            wait_ms, retry_s = self._estimate_wait(held, now)
            must_end = must_end or self._has_waited_long(held, now)
            if retry_s is None and not must_end:
                continue
            retry_s = retry_s or self.state.limits.admission.min_retry_s
            self.state.jobs.pop(held.job.job_id)
            self._refuse(
                held,
                held.waiting_request_ids,
                "waited in vain",
                wait_ms,
                retry_s,
            )

    def _caller_leaves_before_end(self, held: HeldJob, now: float) -> bool:
        """Whether a caller won't be there at the end of its job.

        That is so if its job can't end in time once it begins after the
        next tick. It is told before it leaves, not at the end of its wait.
        """
        next_tick_at = now + self.state.limits.tick_interval_s
        return not can_end_in_time(
            (held.wait_deadline - next_tick_at) * 1000,
            held.critical_path_ms,
            self.state.limits.admission,
        )

    def _has_waited_long(self, held: HeldJob, now: float) -> bool:
        """Whether a job would have been refused if its wait had been known.

        That is so if its wait passes the longest one by the next tick.
        """
        admission = self.state.limits.admission
        longest_ms = (
            admission.max_useful_share
            * admission.useful_latency_factor
            * held.objective_ms
        )
        next_tick_at = now + self.state.limits.tick_interval_s
        return (next_tick_at - held.accepted_at) * 1000 > longest_ms
