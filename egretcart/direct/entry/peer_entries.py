"""The other entries that an entry is connected to. Free of I/O."""

from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import PeerMessage
from egretcart.direct.connection.messages import RecruitAgents
from egretcart.direct.connection.peer_messages import CrashScoresRaised
from egretcart.direct.connection.peer_messages import JobReleased
from egretcart.direct.connection.peer_messages import JobsTaken
from egretcart.direct.connection.peer_messages import ReleaseJob
from egretcart.direct.entry.answer_memory import AnswerMemory
from egretcart.direct.entry.drain_relay import DrainRelay
from egretcart.direct.entry.entry_state import EntryState
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import ClosePeer
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.entry.job_endings import JobEndings
from egretcart.direct.entry.job_releases import JobReleases
from egretcart.direct.entry.pending_claims import PendingClaim
from egretcart.direct.entry.pending_claims import PendingClaims
from egretcart.direct.entry.recruiting import AgentRecruiter
from egretcart.direct.log.decisions import JobJoined
from egretcart.direct.log.decisions import JobYielded
from egretcart.direct.log.decisions import PeerChanged
from egretcart.direct.policy.rotation import Rotation
from egretcart.direct.request.crash_scores import CrashScore
from egretcart.direct.request.job import JobState
from egretcart.direct.version.drained_domains import DrainedDomains

MS_PER_S = 1000


class PeerEntries:
    """Exchanges heartbeats, claims and releases with other entries.

    Parameters
    ----------
    state : EntryState
    endings : JobEndings
    memory : AnswerMemory
    pending : PendingClaims
    releases : JobReleases
    recruiter : AgentRecruiter
    drains : DrainRelay
    rotation : Rotation

    Attributes
    ----------
    last_heartbeat_at : float
        When heartbeats were last sent to other entries; 0 before the
        first.
    """

    def __init__(
        self,
        *,
        state: EntryState,
        endings: JobEndings,
        memory: AnswerMemory,
        pending: PendingClaims,
        releases: JobReleases,
        recruiter: AgentRecruiter,
        drains: DrainRelay,
        rotation: Rotation,
    ) -> None:
        self.state = state
        self.endings = endings
        self.memory = memory
        self.pending = pending
        self.releases = releases
        self.recruiter = recruiter
        self.drains = drains
        self.rotation = rotation
        self.last_heartbeat_at = 0.0

    def connected(self, entry_id: str, now: float) -> None:
        """Record a connected entry and report recently accepted jobs to it."""
        self._record_former_runs(entry_id)
        self.state.peers[entry_id] = self.state.peers_connected_at[
            entry_id
        ] = now
        self.state.log.write(PeerChanged(peer=entry_id, state="connected"))
        taken = JobsTaken(job_ids=self.state.claims.own_job_ids())
        self.state.effects.append(SendToPeer(entry_id, taken))
        scores = self.state.crash_scores.all_scores()
        if scores:
            raised = CrashScoresRaised(tasks=scores)
            self.state.effects.append(SendToPeer(entry_id, raised))
        self.drains.peer_connected(entry_id)

    def heartbeat_received(
        self, entry_id: str, now: float, lateness_ms: int
    ) -> None:
        """Record a heartbeat on the link to another entry."""
        if entry_id in self.state.peers:
            self.state.peers[entry_id] = now
            self.rotation.others_s[entry_id] = lateness_ms / MS_PER_S

    def disconnected(self, entry_id: str) -> None:
        """Record that the link to another entry has ended."""
        if entry_id not in self.state.peers:
            return
        self._record_former_runs(entry_id)
        del self.state.peers[entry_id]
        del self.state.peers_connected_at[entry_id]
        self.rotation.others_s.pop(entry_id, None)
        self.state.log.write(PeerChanged(peer=entry_id, state="disconnected"))
        self.pending.set_entry_expiry(
            entry_id, self.state.former_runs_expire_at[entry_id]
        )
        self.releases.owner_disconnected(entry_id)

    def _record_former_runs(self, entry_id: str) -> None:
        """Record when the runs expire that an entry has now."""
        if entry_id in self.state.peers:
            self.state.former_runs_expire_at[entry_id] = (
                self.state.peers[entry_id] + self.state.limits.runs_expiry_s
            )

    def receive(self, entry_id: str, message: PeerMessage, now: float) -> None:
        """Handle a message of another entry."""
        if isinstance(message, JobsTaken):
            for job_id in message.job_ids:
                self._handle_job_taken(entry_id, job_id, now)
        elif isinstance(message, CrashScoresRaised):
            for score in message.tasks:
                self._learn_crash_score(score, now)
        elif isinstance(message, ReleaseJob):
            self._handle_release_job(entry_id, message, now)
        elif isinstance(message, JobReleased):
            self._handle_job_released(entry_id, message)
        elif isinstance(message, RecruitAgents):
            self.recruiter.send_agents(entry_id, message)
        elif isinstance(message, DrainedDomains):
            self.drains.learn(message, entry_id, now)

    def _learn_crash_score(self, score: CrashScore, now: float) -> None:
        self.state.crash_scores.learn(score, now)
        if self.state.is_given_up(score.score):
            self.state.confinement.record(score.job_id, score.route, now)

    def _handle_job_taken(
        self, entry_id: str, job_id: str, now: float
    ) -> None:
        """Record another entry's claim; yield a job accepted here earlier."""
        held = self.state.jobs.get(job_id)
        if held is not None:
            if (
                now - held.accepted_at
                < self.state.limits.concurrent_claim_window_s
            ):
                return
            self.endings.yield_job(held, entry_id, now)
        self.state.claims.record_peer(job_id, entry_id, now)
        self.pending.ask_owner(job_id, entry_id)

    def _yield_pending(self, pending: PendingClaim, entry_id: str) -> None:
        """Yield a job that was not accepted yet to another entry."""
        self.state.log.write(
            JobYielded(
                job_id=pending.job.job_id, entry=entry_id, state="claimed"
            )
        )
        self.pending.interrupt(pending)

    def _handle_release_job(
        self, entry_id: str, message: ReleaseJob, now: float
    ) -> None:
        """Yield a job to the entry that asks, or report how it has ended."""
        if self.releases.is_for_other(message):
            self.releases.relay(entry_id, message)
            return
        ended = self.memory.state_of(message.job_id)
        if ended is not None:
            self.releases.answer_ended(entry_id, message, ended.value)
            return
        claimant = message.claimant or entry_id
        held = self.state.jobs.get(message.job_id)
        pending = self.pending.by_job.get(message.job_id)
        if held is not None:
            self.endings.yield_job(held, claimant, now)
        elif pending is not None:
            self._yield_pending(pending, claimant)
        # A caller that asks this entry again must not start the job anew.
        self.state.claims.record_peer(message.job_id, claimant, now)
        self.releases.answer_once_over(entry_id, message)

    def _handle_job_released(
        self, entry_id: str, message: JobReleased
    ) -> None:
        """Answer a claimed job with the state in which it has ended."""
        if self.releases.relay_answer(message):
            return
        self.pending.confirm_ended(message.number, entry_id)
        pending = self.pending.find(message.number)
        if pending is None or not message.state:
            return
        state = JobState(message.state)
        if state not in (JobState.COMPLETED, JobState.FAILED):
            return
        self.pending.remove(pending)
        self.state.log.write(
            JobJoined(job_id=pending.job.job_id, state=state.value)
        )
        for request_id in pending.request_ids:
            self.state.effects.append(
                Answer(request_id=request_id, state=state)
            )

    def check_silence(self, now: float) -> None:
        """Close links whose heartbeat timed out; they are opened again.

        All recently accepted jobs are reported on a new link.
        """
        for entry_id, last_message_at in list(self.state.peers.items()):
            if (
                now - last_message_at
                > self.state.limits.peer_heartbeat_timeout_s
            ):
                self.state.effects.append(ClosePeer(entry_id))
                self.disconnected(entry_id)

    def send_heartbeats(self, now: float) -> None:
        """Send heartbeats and newly accepted jobs when it is time."""
        interval_s = self.state.limits.peer_heartbeat_interval_s
        if now - self.last_heartbeat_at < interval_s:
            return
        self.last_heartbeat_at = now
        heartbeat = Beat(
            version=self.state.version,
            lateness_ms=round(self.rotation.reported_s * MS_PER_S),
        )
        unreported = self.state.claims.pop_unreported()
        scores = self.state.crash_scores.pop_unreported()
        for entry_id in self.state.peers:
            self.state.effects.append(SendToPeer(entry_id, heartbeat))
            if unreported:
                taken = JobsTaken(job_ids=unreported)
                self.state.effects.append(SendToPeer(entry_id, taken))
            if scores:
                raised = CrashScoresRaised(tasks=scores)
                self.state.effects.append(SendToPeer(entry_id, raised))
