"""The cells that an entry leads, and its state for later takeovers."""

import dataclasses

from egretcart.connection.cell_types import NO_TERM
from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import Term
from egretcart.connection.entry_messages import CellLeader
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.effects import SendReply
from egretcart.process.cell.effects import StepDown
from egretcart.process.cell.leadership import Leadership
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.clock import Clock
from egretcart.process.entry.answers import AnswerCache
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.directory import Directory
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.process.entry.pending import CANCEL
from egretcart.process.entry.pending import READ
from egretcart.request.identity import JobId
from egretcart.request.job import parse_job
from egretcart.request.problem import bad_request
from egretcart.request.reply import NOT_LEADER
from egretcart.request.reply import problem_reply
from egretcart.version.document import Configuration


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderRequest:
    """A request for the leader of a cell.

    Attributes
    ----------
    cell : Cell
    token : RequestToken
    action : str
        One of `ACTIONS` in `egretcart.process.entry.pending`.
    job_id : JobId
    body : bytes
    """

    cell: Cell
    token: RequestToken
    action: str
    job_id: JobId
    body: bytes


class CellLeaderships:
    """Takes cells over for one entry and owns its leaderships.

    Parameters
    ----------
    incarnation : int
        The entry's incarnation, which becomes a part of its terms.
    directory : Directory
    limits : EntryLimits
    leader_limits : LeaderLimits
    clock : Clock
    answers : AnswerCache

    Attributes
    ----------
    started_at : float
        Monotonic time, in seconds, at which the entry was started.
    leaderships : dict of Cell to Leadership
        The cells that this entry leads or is taking over.
    rosters : dict of Cell to Roster
        Newest rosters known, for later takeovers.
    highest_terms : dict of Cell to Term
        Highest terms seen, which a takeover must exceed.
    not_before : dict of Cell to float
        Monotonic time in seconds before which a cell is not taken over
        again.
    """

    def __init__(
        self,
        *,
        incarnation: int,
        directory: Directory,
        limits: EntryLimits,
        leader_limits: LeaderLimits,
        clock: Clock,
        answers: AnswerCache,
    ) -> None:
        self.incarnation = incarnation
        self.directory = directory
        self.limits = limits
        self.leader_limits = leader_limits
        self.clock = clock
        self.answers = answers
        self.started_at = clock.monotonic()
        self.leaderships: dict[Cell, Leadership] = {}
        self.rosters: dict[Cell, Roster] = {}
        self.highest_terms: dict[Cell, Term] = {}
        self.not_before: dict[Cell, float] = {}

    @property
    def has_settled(self) -> bool:
        """Whether the wait after the start is over and takeovers may begin."""
        startup_wait_ends_at = self.started_at + self.limits.settle_s
        return self.clock.monotonic() >= startup_wait_ends_at

    def claimed(self) -> tuple[CellLeader, ...]:
        """Return the cells that this entry leads, as sent to other entries."""
        return tuple(
            CellLeader(
                service_name=cell.service,
                cell=cell.index,
                term=leadership.term,
            )
            for cell, leadership in sorted(self.leaderships.items())
        )

    def leader_of(self, cell: Cell) -> str | None:
        """Return the entry that leads or is taking over a cell."""
        claim = self.directory.highest_claim(cell, self.clock.monotonic())
        own = self.leaderships.get(cell)
        if own is not None and (claim is None or own.term > claim[0]):
            return self.directory.own.entry_id
        return claim[1] if claim is not None else None

    # State for later takeovers.

    def record_roster(self, cell: Cell, roster: Roster) -> None:
        """Keep a roster for a later takeover if it is newer than the last."""
        known = self.rosters.get(cell, Roster())
        if roster.version > known.version:
            self.rosters[cell] = roster

    def newest_rosters(self) -> dict[Cell, Roster]:
        """Return the newest roster of each cell, led or not."""
        rosters = dict(self.rosters)
        for cell, leadership in self.leaderships.items():
            rosters[cell] = leadership.quorum.roster
        return rosters

    def record_term(self, cell: Cell, term: Term) -> None:
        """Record a term that a later takeover must exceed."""
        highest = self.highest_terms.get(cell, NO_TERM)
        self.highest_terms[cell] = max(highest, term)

    # Takeover and its end.

    def should_take_over(self, cell: Cell) -> bool:
        """Return whether this entry should begin to lead a cell now."""
        now = self.clock.monotonic()
        if cell in self.leaderships or self.directory.leaving:
            return False
        if not self.has_settled:
            return False
        if now < self.not_before.get(cell, float("-inf")):
            return False
        if self.directory.highest_claim(cell, now) is not None:
            return False
        preferred_leader = self.directory.preferred_leader(cell, now)
        return preferred_leader == self.directory.own.entry_id

    def take_over(
        self, cell: Cell, configuration: Configuration
    ) -> Leadership:
        """Begin to lead a cell under a higher term than any seen before."""
        highest = self.highest_terms.get(cell, NO_TERM)
        term = Term(highest.counter + 1, self.incarnation)
        self.record_term(cell, term)
        leadership = Leadership(
            service=cell.service,
            cell=cell.index,
            term=term,
            roster=self.rosters.get(cell, Roster()),
            configuration=configuration,
            limits=self.leader_limits,
            clock=self.clock,
            answers=self.answers,
        )
        self.leaderships[cell] = leadership
        return leadership

    def stepped_down(self, cell: Cell, effect: StepDown) -> None:
        """Remove a leadership that has ended; keep its roster and term."""
        leadership = self.leaderships.pop(cell)
        self.record_roster(cell, leadership.quorum.roster)
        self.record_term(cell, effect.seen)
        backoff_s = self.limits.takeover_backoff_s
        self.not_before[cell] = self.clock.monotonic() + backoff_s

    # Requests.

    def lead(
        self, request: LeaderRequest, configuration: Configuration
    ) -> list[LeaderEffect]:
        """Pass a request to the leadership of its cell.

        Parameters
        ----------
        request : LeaderRequest
        configuration : Configuration
            Limits the number of tasks in a submission.

        Returns
        -------
        list of LeaderEffect
            The reply `NOT_LEADER` if this entry does not lead the cell.
        """
        token = request.token
        leadership = self.leaderships.get(request.cell)
        if leadership is None:
            return [SendReply(token, NOT_LEADER)]
        if request.action == READ:
            return leadership.read(token, request.job_id)
        if request.action == CANCEL:
            return leadership.cancel(token, request.job_id)
        parsed = parse_job(
            job_id=request.job_id,
            service=request.cell.service,
            body=request.body,
            max_tasks=configuration.max_tasks_per_job,
        )
        if parsed.is_err():
            refusal = bad_request(parsed.unwrap_err())
            return [SendReply(token, problem_reply(refusal))]
        return leadership.submit(token, parsed.unwrap())

    def prune(self, made_before_ms: int) -> None:
        """Remove jobs that are too old to be asked for.

        Parameters
        ----------
        made_before_ms : int
            Unix time in milliseconds; jobs made before it are removed.
        """
        for leadership in self.leaderships.values():
            leadership.job_manager.recovery.prune(made_before_ms)
