"""A decision log that counts decisions, and the server of the metrics."""

import http

import trio

from egretcart.connection.http_listener import HttpListener
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpRequest
from egretcart.connection.http_server import HttpResponse
from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.connection.accept_log import accept_logger
from egretcart.direct.log.agent_decisions import BackendChanged
from egretcart.direct.log.agent_decisions import BackendCrashed
from egretcart.direct.log.agent_decisions import RunEnded
from egretcart.direct.log.agent_decisions import RunStarted
from egretcart.direct.log.agent_decisions import SUSPECT_STATE
from egretcart.direct.log.decisions import Decision
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import DomainsDrained
from egretcart.direct.log.decisions import JobAnswered
from egretcart.direct.log.decisions import JobRefused
from egretcart.direct.log.decisions import LeavingRunJudged
from egretcart.direct.log.decisions import RoutesConfined
from egretcart.process.metric_table import DECISIONS
from egretcart.process.metric_table import DOMAINS_DRAINED
from egretcart.process.metric_table import JOBS
from egretcart.process.metric_table import JOBS_REFUSED
from egretcart.process.metric_table import QUEUE_TIME
from egretcart.process.metric_table import RESPONSE_TIME
from egretcart.process.metric_table import ROUTES_CONFINED
from egretcart.process.metric_table import RUN_ENDINGS
from egretcart.process.metric_table import RUN_TIME
from egretcart.process.metric_table import RUNS_THREATENED
from egretcart.process.metric_table import SERVERS_CRASHED
from egretcart.process.metric_table import SERVERS_SUSPECTED
from egretcart.process.metrics import Metrics
from egretcart.process.metrics import ProcessMetrics
from egretcart.process.metrics import PROMETHEUS_CONTENT_TYPE

MS_PER_S = 1000
METRICS_PATH = "/metrics"
# Only these causes become label values: others say what is wrong with one
# job, which must not appear in a label.
REFUSAL_CAUSES = frozenset(
    (
        "no configuration is known yet",
        "no room in time",
        "waited in vain",
        "the entry leaves",
        "all failure domains are drained",
        "its route is confined",
    )
)
OTHER_CAUSE = "not served"
# Enough connections for a metrics collector and an operator.
HTTP_LIMITS = HttpLimits(max_connections=16, max_body_bytes=0)


class MeteredLog:
    """A `DecisionLog` that passes decisions on to another and counts them.

    Parameters
    ----------
    log : DecisionLog
    metrics : Metrics
    """

    def __init__(self, *, log: DecisionLog, metrics: Metrics) -> None:
        self.log = log
        self.metrics = metrics

    def write(self, decision: Decision) -> None:
        """Pass a decision on, and count it even if no line is written."""
        self.log.write(decision)
        self.metrics.add(DECISIONS, label=type(decision).__name__)
        if isinstance(decision, JobAnswered):
            self.metrics.add(JOBS, label=decision.state)
            self.metrics.observe(RESPONSE_TIME, decision.elapsed_ms / MS_PER_S)
        elif isinstance(decision, JobRefused):
            known = decision.cause in REFUSAL_CAUSES
            cause = decision.cause if known else OTHER_CAUSE
            self.metrics.add(JOBS, label="refused")
            self.metrics.add(JOBS_REFUSED, label=cause)
        elif isinstance(decision, LeavingRunJudged):
            verdict = "moved" if decision.moved else "kept"
            self.metrics.add(RUNS_THREATENED, label=verdict)
        elif isinstance(decision, BackendChanged):
            if decision.state == SUSPECT_STATE:
                self.metrics.add(SERVERS_SUSPECTED, label=decision.cause)
        elif isinstance(decision, BackendCrashed):
            self.metrics.add(SERVERS_CRASHED)
        elif isinstance(decision, RunStarted):
            self.metrics.observe(QUEUE_TIME, decision.waited_ms / MS_PER_S)
        elif isinstance(decision, RunEnded):
            self.metrics.add(RUN_ENDINGS, label=decision.ending)
            self.metrics.observe(RUN_TIME, decision.run_ms / MS_PER_S)
        elif isinstance(decision, RoutesConfined):
            confined = len(decision.routes)
            self.metrics.gauge(ROUTES_CONFINED, lambda: confined)
        elif isinstance(decision, DomainsDrained):
            count = len(decision.domains)
            self.metrics.gauge(DOMAINS_DRAINED, lambda: count)


class MetricsServer:
    """Counts the decisions of a process and serves its metrics.

    Parameters
    ----------
    log : DecisionLog
        Log that the decisions are passed on to.
    traffic : TrafficCounters
        Counters of the process's links.

    Attributes
    ----------
    log : MeteredLog
        Log that counts the decisions written to it.
    """

    def __init__(self, *, log: DecisionLog, traffic: TrafficCounters) -> None:
        self.metrics = ProcessMetrics(traffic=traffic)
        self.log = MeteredLog(log=log, metrics=self.metrics)

    def serve(
        self, listeners: list[trio.SocketListener], nursery: trio.Nursery
    ) -> None:
        """Serve open sockets; the nursery runs the server."""
        server = HttpListener(
            handler=self._handle,
            limits=HTTP_LIMITS,
            on_accept_change=accept_logger(self.log, "metrics"),
        )
        nursery.start_soon(server.serve, listeners, nursery)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if (request.method, request.path) != ("GET", METRICS_PATH):
            return HttpResponse(status=http.HTTPStatus.NOT_FOUND)
        return HttpResponse(
            body=self.metrics.render(), content_type=PROMETHEUS_CONTENT_TYPE
        )
