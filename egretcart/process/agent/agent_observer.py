"""Metrics and log of an agent's process, and the HTTP handler for them."""

from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.http_server import HttpRequest
from egretcart.connection.http_server import HttpResponse
from egretcart.connection.http_server import problem_response
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_types import AgentEffect
from egretcart.process.agent.agent_types import BeginExchange
from egretcart.process.agent.agent_types import SendToEntry
from egretcart.process.logs import EventLog
from egretcart.process.metric_table import LEASE_LAPSES
from egretcart.process.metric_table import RESULTS
from egretcart.process.metric_table import STARTS
from egretcart.process.metric_table import STATE_CHANGES
from egretcart.process.metric_table import TASKS_QUEUED
from egretcart.process.metric_table import TASKS_RUNNING
from egretcart.process.metrics import Metrics
from egretcart.process.metrics import PROMETHEUS_CONTENT_TYPE
from egretcart.process.transitions import StateChange
from egretcart.process.transitions import StateChangeKind
from egretcart.request.problem import bad_request

SUCCEEDED = "succeeded"


class AgentObserver:
    """Counts an agent's effects and logs the changes of its state.

    Parameters
    ----------
    agent : Agent
    metrics : Metrics
    log : EventLog

    Attributes
    ----------
    had_lease : bool
        Whether the agent had a valid lease at the previous check.
    was_draining : bool
        Whether the agent's process was shutting down at the previous check.
    """

    def __init__(
        self, *, agent: Agent, metrics: Metrics, log: EventLog
    ) -> None:
        self.agent = agent
        self.metrics = metrics
        self.log = log
        self.had_lease = False
        self.was_draining = False
        metrics.gauge(TASKS_RUNNING, lambda: len(agent.running))
        metrics.gauge(TASKS_QUEUED, lambda: len(agent.queued))

    def record_effect(self, effect: AgentEffect) -> None:
        """Count an effect before it is applied."""
        if isinstance(effect, BeginExchange):
            self.metrics.add(STARTS)
        elif isinstance(effect, SendToEntry):
            message = effect.message
            if isinstance(message, TaskResult):
                label = SUCCEEDED if message.succeeded else message.verdict
                self.metrics.add(RESULTS, label=label)

    def record_state_changes(self) -> None:
        """Count and log the changes of state since the previous check."""
        agent = self.agent
        has_lease = agent.clock.monotonic() < agent.lease_until
        # Without work, leases expire in normal operation.
        has_work = bool(agent.running or agent.queued)
        if self.had_lease and not has_lease and has_work:
            self.metrics.add(LEASE_LAPSES)
            self._record_change(
                StateChangeKind.LEASE_LAPSED, str(agent.promised_term)
            )
        if agent.draining and not self.was_draining:
            self._record_change(StateChangeKind.DRAINING, "agent")
        self.had_lease = has_lease
        self.was_draining = agent.draining

    def _record_change(self, kind: StateChangeKind, subject: str) -> None:
        self.metrics.add(STATE_CHANGES, label=kind.value)
        self.log.record(
            self.agent.identity.agent_id, StateChange(kind, subject)
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request for the metrics or for the health check."""
        if request.method == "GET" and request.path == "/metrics":
            return HttpResponse(
                body=self.metrics.render(),
                content_type=PROMETHEUS_CONTENT_TYPE,
            )
        if request.method == "GET" and request.path == "/healthz":
            return HttpResponse(body=b'{"healthy":true}')
        refusal = bad_request(
            f"there is nothing at {request.path!r}; served are /healthz "
            "and /metrics",
            status=404,
        )
        return problem_response(refusal)
