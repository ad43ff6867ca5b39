"""Routing of callers' requests from an entry to the leaders of cells."""

from collections.abc import Container
from typing import Protocol

from result import Err
from result import Ok
from result import Result

from egretcart.connection.entry_messages import Forward
from egretcart.connection.entry_messages import ForwardReply
from egretcart.process.cell.cell_leaderships import LeaderRequest
from egretcart.process.cell.effects import RequestToken
from egretcart.process.clock import Clock
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.directory import cell_of_job
from egretcart.process.entry.entry_effects import EntryEffect
from egretcart.process.entry.entry_effects import ReplyToCaller
from egretcart.process.entry.entry_effects import SendToPeer
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.process.entry.pending import PendingRequest
from egretcart.process.entry.pending import SUBMIT
from egretcart.request.identity import JobId
from egretcart.request.job import parse_job
from egretcart.request.problem import bad_request
from egretcart.request.problem import Problem
from egretcart.request.problem import unavailable
from egretcart.request.reply import NOT_LEADER
from egretcart.request.reply import problem_reply
from egretcart.request.reply import Reply
from egretcart.request.reply import ReplyOutcome
from egretcart.request.verdict import Verdict
from egretcart.version.document import Configuration

MS_PER_S = 1000
# Bits by which the incarnation is shifted to form the first request number.
REQUEST_ID_BITS = 20


class CellLeaders(Protocol):
    """Finds the leaders of cells and handles requests for cells led here."""

    def leader_of(self, cell: Cell) -> str | None:
        """Return the entry that leads or is taking over a cell.

        None if no live entry claims the cell.
        """

    def lead(self, request: LeaderRequest) -> list[EntryEffect]:
        """Handle a request as the leader of its cell."""


class CallerRequests:
    """Routes callers' requests to leaders, and leaders' replies back.

    Parameters
    ----------
    entry_id : str
        The entry to which the callers are connected.
    incarnation : int
        Number of this start of the entry; makes request numbers unique
        over restarts.
    limits : EntryLimits
    clock : Clock
    leaders : CellLeaders

    Attributes
    ----------
    pending : dict of int to PendingRequest
        Requests without a reply, by request number.
    next_request_id : int
        Number of the next request. Numbers of earlier incarnations are
        never reused.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        incarnation: int,
        limits: EntryLimits,
        clock: Clock,
        leaders: CellLeaders,
    ) -> None:
        self.entry_id = entry_id
        self.limits = limits
        self.clock = clock
        self.leaders = leaders
        self.pending: dict[int, PendingRequest] = {}
        self.next_request_id = (incarnation << REQUEST_ID_BITS) + 1

    # From callers.

    def open(
        self,
        action: str,
        service: str,
        job_id: JobId,
        body: bytes,
        configuration: Configuration,
    ) -> tuple[int, list[EntryEffect]]:
        """Accept a caller's request; see `Entry.request`."""
        request_id = self.next_request_id
        self.next_request_id += 1
        located = self._locate(action, service, job_id, body, configuration)
        if located.is_err():
            reply = problem_reply(located.unwrap_err())
            return request_id, [ReplyToCaller(request_id, reply)]
        pending = PendingRequest(
            request_id=request_id,
            action=action,
            service=service,
            job_id=job_id,
            body=body,
            cell=located.unwrap(),
            leaderless_since=self.clock.monotonic(),
        )
        self.pending[request_id] = pending
        return request_id, self._route(pending)

    def forget(self, request_id: int) -> None:
        """Remove a request whose caller has closed the connection."""
        self.pending.pop(request_id, None)

    def _locate(
        self,
        action: str,
        service: str,
        job_id: JobId,
        body: bytes,
        configuration: Configuration,
    ) -> Result[Cell, Problem]:
        """Return the cell of a request, or why the request is refused."""
        if configuration.version == 0:
            return Err(
                unavailable(
                    "the entry has not learned the configuration yet",
                    verdict=Verdict.MAY_HAVE_RUN,
                    retry_after_s=self.limits.leaderless_retry_s,
                )
            )
        found = configuration.find_service(service)
        if found is None:
            return Err(
                bad_request(
                    f"service {service!r} is not configured; configured are "
                    f"{sorted(s.name for s in configuration.services)}",
                    status=404,
                )
            )
        if action == SUBMIT:
            parsed = parse_job(
                job_id=job_id,
                service=service,
                body=body,
                max_tasks=configuration.max_tasks_per_job,
            )
            if parsed.is_err():
                return Err(bad_request(parsed.unwrap_err()))
        return Ok(cell_of_job(service, job_id, found.cells))

    # To leaders.

    def _route(self, pending: PendingRequest) -> list[EntryEffect]:
        """Send a request to the leader of its cell, if there is one."""
        leader = self.leaders.leader_of(pending.cell)
        pending.routed_to = leader
        if leader is None:
            return []
        pending.routed_at = self.clock.monotonic()
        if leader != self.entry_id:
            forward = Forward(
                request_id=pending.request_id,
                action=pending.action,
                service_name=pending.service,
                job_id=pending.job_id.value,
                body=pending.body,
            )
            return [SendToPeer(leader, forward)]
        request = LeaderRequest(
            cell=pending.cell,
            token=RequestToken(self.entry_id, pending.request_id),
            action=pending.action,
            job_id=pending.job_id,
            body=pending.body,
        )
        return self.leaders.lead(request)

    def route_waiting(self, peers: Container[str]) -> list[EntryEffect]:
        """Route requests whose leader is unknown, lost or replaced.

        A leader counts as lost if its entry is not connected.

        Parameters
        ----------
        peers : container of str
            Ids of the connected entries.

        Returns
        -------
        list of EntryEffect
        """
        effects: list[EntryEffect] = []
        for pending in list(self.pending.values()):
            routed = pending.routed_to
            if routed is not None and routed != self.entry_id:
                if routed not in peers:
                    self._mark_leaderless(pending)
                elif self.leaders.leader_of(pending.cell) not in (
                    routed,
                    None,
                ):
                    self._reset_route(pending)
            if pending.routed_to is None:
                effects += self._route(pending)
        return effects

    def peer_lost(self, entry_id: str) -> None:
        """Reset requests routed to an entry whose connection is lost."""
        for pending in self.pending.values():
            if pending.routed_to == entry_id:
                self._mark_leaderless(pending)

    def handle_forward(
        self, entry_id: str, message: Forward, configuration: Configuration
    ) -> list[EntryEffect]:
        """Handle a request that another entry has forwarded here."""
        token = RequestToken(entry_id, message.request_id)
        service = configuration.find_service(message.service_name)
        if service is None:
            return self.deliver(token, NOT_LEADER)
        job_id = JobId(message.job_id)
        request = LeaderRequest(
            cell=cell_of_job(message.service_name, job_id, service.cells),
            token=token,
            action=message.action,
            job_id=job_id,
            body=message.body,
        )
        return self.leaders.lead(request)

    def _reset_route(self, pending: PendingRequest) -> None:
        """Reset a request routed to an entry that no longer leads its cell.

        The wait for a leader restarts only if the request was routed to the
        entry for at least `leaderless_limit_s`. If it restarted every time,
        a request could be forwarded between entries forever.
        """
        now = self.clock.monotonic()
        pending.routed_to = None
        if now >= pending.routed_at + self.limits.leaderless_limit_s:
            pending.leaderless_since = now

    def _mark_leaderless(self, pending: PendingRequest) -> None:
        """Reset a request's route and restart its wait for a leader."""
        pending.routed_to = None
        pending.leaderless_since = self.clock.monotonic()

    # Replies.

    def deliver(self, token: RequestToken, reply: Reply) -> list[EntryEffect]:
        """Send a leader's reply to the entry where the caller waits."""
        if token.entry_id == self.entry_id:
            return self._handle_reply(token.request_id, reply)
        retry_after_ms = 0
        if reply.retry_after_s is not None:
            retry_after_ms = int(reply.retry_after_s * MS_PER_S)
        message = ForwardReply(
            request_id=token.request_id,
            outcome=reply.outcome.value,
            body=reply.body,
            status=reply.status,
            retry_after_ms=retry_after_ms,
        )
        return [SendToPeer(token.entry_id, message)]

    def handle_forward_reply(
        self, entry_id: str, message: ForwardReply
    ) -> list[EntryEffect]:
        """Handle a reply from the entry to which a request was forwarded."""
        pending = self.pending.get(message.request_id)
        if pending is None or pending.routed_to != entry_id:
            return []
        retry_after_s = None
        if message.retry_after_ms:
            retry_after_s = message.retry_after_ms / MS_PER_S
        reply = Reply(
            outcome=ReplyOutcome(message.outcome),
            status=message.status,
            body=message.body,
            retry_after_s=retry_after_s,
        )
        return self._handle_reply(message.request_id, reply)

    def _handle_reply(
        self, request_id: int, reply: Reply
    ) -> list[EntryEffect]:
        """Answer the caller, or route again after `NOT_LEADER`.

        Ignored if the request is no longer pending.
        """
        pending = self.pending.get(request_id)
        if pending is None:
            return []
        if reply.outcome is ReplyOutcome.NOT_LEADER:
            self._reset_route(pending)
            return []
        del self.pending[request_id]
        return [ReplyToCaller(request_id, reply)]

    def time_out_leaderless(self) -> list[EntryEffect]:
        """Answer requests whose wait for a leader has timed out."""
        now = self.clock.monotonic()
        effects: list[EntryEffect] = []
        limit_s = self.limits.leaderless_limit_s
        for pending in list(self.pending.values()):
            if pending.routed_to is not None:
                continue
            if now < pending.leaderless_since + limit_s:
                continue
            del self.pending[pending.request_id]
            problem = unavailable(
                f"no leader for service {pending.service!r} was found in "
                f"{limit_s} s",
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after_s=self.limits.leaderless_retry_s,
            )
            effects.append(
                ReplyToCaller(pending.request_id, problem_reply(problem))
            )
        return effects
