"""Cell of one agent that a new leader takes over, without processes."""

from msgspec.structs import replace

from egretcart.connection.agent_messages import FenceReply
from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import RosterMember
from egretcart.connection.cell_types import Term
from egretcart.connection.cell_types import UNKNOWN_MS
from egretcart.connection.leader_messages import LedgerQuery
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.agent.agent_types import SendToEntry
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.effects import WriteRoster
from egretcart.process.cell.leadership import Leadership
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.limits import MS_PER_S
from egretcart.process.entry.answers import AnswerCache
from egretcart.request.identity import job_id_at
from egretcart.request.job import parse_job
from egretcart.testing.clock import ManualClock
from egretcart.version.document import Configuration
from egretcart.version.document import Service

AGENT_ID = "a"
MAX_TASKS = 99
TICK_S = 0.1


def idempotent_body(tasks):
    payloads = ", ".join(['{"payload": 1}'] * tasks)
    return f'{{"idempotent": true, "tasks": [{payloads}]}}'.encode()


class OneAgentCell:
    """A new leader and the only agent of its cell, in incarnation 2.

    Parameters
    ----------
    age_s : int
        Time since the agent was started, in seconds.
    roster_incarnation : int
        Incarnation of the agent that the roster lists.
    begun_job_age_s : int, optional
        Age of a job that the agent has begun in a former term, in seconds;
        None if it has begun no job.
    reports_newest_job : bool
        Whether the agent's fence reply contains the time at which the newest
        job was created.
    """

    def __init__(
        self,
        *,
        age_s,
        roster_incarnation,
        begun_job_age_s=None,
        reports_newest_job=True,
    ):
        self.clock = ManualClock()
        self.taken_over_ms = self.clock.unix_ms()
        self.reports_newest_job = reports_newest_job
        self.queries = []
        self.slots = 8
        self.limits = LeaderLimits()
        member = RosterMember(
            agent_id=AGENT_ID, incarnation=roster_incarnation
        )
        self.leadership = Leadership(
            service="s",
            cell=0,
            term=Term(2, 2),
            roster=Roster(version=1, members=(member,)),
            configuration=Configuration(services=(Service(name="s"),)),
            limits=self.limits,
            clock=self.clock,
            answers=AnswerCache(max_bytes=1000),
        )
        self.job_manager = self.leadership.job_manager
        self.agent = Agent(
            identity=AgentIdentity(
                agent_id=AGENT_ID,
                incarnation=2,
                service="s",
                failure_domain="d",
                slots=self.slots,
                connections=8,
            ),
            limits=AgentLimits(),
            clock=self.clock,
        )
        self.agent.started_ms -= age_s * MS_PER_S
        if begun_job_age_s is not None:
            begun_ms = self.taken_over_ms - begun_job_age_s * MS_PER_S
            self.agent.ledger.begin(
                job_id=job_id_at(begun_ms, 99).value,
                digest=b"d",
                task=0,
                attempt=1,
            )
        self.deliver(self.leadership.agent_connected(self.agent.hello()))

    def deliver(self, effects):
        """Deliver messages until none is left.

        Rosters are treated as written to the store.
        """
        for effect in effects:
            if isinstance(effect, WriteRoster):
                written = self.leadership.roster_written(effect.roster)
                self.deliver(written)
            if not isinstance(effect, SendToAgent):
                continue
            if isinstance(effect.message, LedgerQuery):
                self.queries.append(effect.message)
            for reply in self.agent.receive("e", effect.message):
                if isinstance(reply, SendToEntry):
                    self.reply(reply.message)

    def reply(self, message):
        if isinstance(message, FenceReply) and not self.reports_newest_job:
            message = replace(message, newest_job_ms=UNKNOWN_MS)
        self.deliver(self.leadership.receive(AGENT_ID, message))

    def advance(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self.deliver(self.leadership.tick())

    def submit(self, tasks, created_ms):
        job = parse_job(
            job_id=job_id_at(created_ms, 1),
            service="s",
            body=idempotent_body(tasks),
            max_tasks=MAX_TASKS,
        ).unwrap()
        token = RequestToken("e", 1)
        self.deliver(self.leadership.submit(token, job))
        self.advance(2 * TICK_S)
