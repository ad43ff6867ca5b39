"""Definitions of all metrics; docs/metrics.md lists them in a table."""

import dataclasses
import enum


class MetricKind(enum.Enum):
    """Type of a metric, as in OpenTelemetry."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class Metric:
    """Definition of one metric.

    Attributes
    ----------
    name : str
        OpenTelemetry name.
    kind : MetricKind
    unit : str
        Unit in UCUM notation.
    label : str
        Name of the metric's only label; empty if it has none.
    meaning : str
        Description of the metric.
    buckets : tuple of float
        Upper bounds of a histogram's buckets, in the metric's unit; empty
        for a counter or gauge.
    """

    name: str
    kind: MetricKind
    unit: str
    label: str = ""
    meaning: str
    buckets: tuple[float, ...] = ()


def _counter(name: str, unit: str, meaning: str, label: str = "") -> Metric:
    return Metric(
        name=name,
        kind=MetricKind.COUNTER,
        unit=unit,
        label=label,
        meaning=meaning,
    )


def _gauge(name: str, unit: str, meaning: str) -> Metric:
    return Metric(name=name, kind=MetricKind.GAUGE, unit=unit, meaning=meaning)


# Tasks last from milliseconds to seconds.
TASK_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
MESSAGES_SENT = _counter(
    "egretcart.messages.sent",
    "{message}",
    "messages to the system's other processes, at the sender",
    "type",
)
FRAMES_SENT = _counter(
    "egretcart.frames.sent", "{frame}", "batches that carried the messages"
)
BYTES_SENT = _counter("egretcart.traffic.sent", "By", "bytes of frames sent")
BYTES_RECEIVED = _counter(
    "egretcart.traffic.received", "By", "bytes of frames received"
)
MESSAGES_WASTED = _counter(
    "egretcart.messages.wasted",
    "{message}",
    "messages that brought no answer nearer, see docs/measures.md",
    "cause",
)
HTTP_REQUESTS = _counter(
    "egretcart.http.requests",
    "{request}",
    "HTTP requests received from callers and operators",
    "method",
)
STARTS = _counter(
    "egretcart.starts", "{start}", "exchanges begun with the backend server"
)
RESULTS = _counter(
    "egretcart.results",
    "{result}",
    "results that an agent sent: succeeded, or the failure's verdict",
    "verdict",
)
JOBS = _counter(
    "egretcart.jobs",
    "{job}",
    "submissions answered: complete, refused (not run) or failed",
    "outcome",
)
REFUSALS = _counter(
    "egretcart.refusals",
    "{job}",
    "submissions answered with a problem, by its verdict",
    "verdict",
)
RESPONSE_TIME = Metric(
    name="egretcart.response.time",
    kind=MetricKind.HISTOGRAM,
    unit="s",
    meaning="time from a whole submission to its complete answer",
    buckets=(
        0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
    ),
)  # fmt: skip
QUEUE_TIME = Metric(
    name="egretcart.queue.time",
    kind=MetricKind.HISTOGRAM,
    unit="s",
    meaning="direct dispatch: time from a task's arrival to its order",
    buckets=TASK_BUCKETS_S,
)
RUN_TIME = Metric(
    name="egretcart.run.time",
    kind=MetricKind.HISTOGRAM,
    unit="s",
    meaning="direct dispatch: time from a run's order to its end",
    buckets=TASK_BUCKETS_S,
)
RUN_ENDINGS = _counter(
    "egretcart.runs",
    "{run}",
    "direct dispatch: runs that have ended at an agent",
    "ending",
)
RUNS_THREATENED = _counter(
    "egretcart.runs.threatened",
    "{run}",
    "direct dispatch: runs that a leaving backend server may cut off",
    "verdict",
)
SERVERS_SUSPECTED = _counter(
    "egretcart.servers.suspected",
    "{change}",
    "direct dispatch: times that an agent began to suspect its server",
    "cause",
)
SERVERS_CRASHED = _counter(
    "egretcart.servers.crashed",
    "{crash}",
    "direct dispatch: times that an agent's server ended unannounced",
)
JOBS_REFUSED = _counter(
    "egretcart.jobs.refused",
    "{job}",
    "direct dispatch: jobs refused as not run",
    "cause",
)
DECISIONS = _counter(
    "egretcart.decisions",
    "{decision}",
    "direct dispatch: decisions by the kind of their log line",
    "kind",
)
HEARTBEAT_TIME = Metric(
    name="egretcart.heartbeat.time",
    kind=MetricKind.HISTOGRAM,
    unit="s",
    meaning="message round from the leader to an agent and back",
    buckets=(
        0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1,
    ),
)  # fmt: skip
TAKEOVERS = _counter(
    "egretcart.takeovers", "{takeover}", "cells that began to be served"
)
LEASE_LAPSES = _counter(
    "egretcart.lease.lapses",
    "{lapse}",
    "leases that lapsed at an agent with work",
)
ROSTER_CHANGES = _counter(
    "egretcart.roster.changes", "{change}", "rosters written to the store"
)
STATE_CHANGES = _counter(
    "egretcart.state.changes",
    "{change}",
    "changes of state, as in the log",
    "change",
)
PLATFORM_CALLS = _counter(
    "egretcart.platform.calls",
    "{call}",
    "attempts at calls to the platform's store, retries included",
    "kind",
)
PLATFORM_FAILURES = _counter(
    "egretcart.platform.failures",
    "{call}",
    "attempts without a usable answer: time-outs, lost connections, errors",
    "kind",
)
PLATFORM_THROTTLED = _counter(
    "egretcart.platform.throttled",
    "{call}",
    "attempts that the store refused for its rate limit",
    "kind",
)
PLATFORM_REFUSALS = _counter(
    "egretcart.platform.refusals",
    "{call}",
    "attempts that the store refused for another reason",
    "kind",
)
PLATFORM_ABANDONED = _counter(
    "egretcart.platform.abandoned",
    "{call}",
    "attempts whose end nobody waited for",
    "kind",
)
PLATFORM_CALL_TIME = Metric(
    name="egretcart.platform.call.time",
    kind=MetricKind.HISTOGRAM,
    unit="s",
    meaning="time from an attempt to the store's answer, or a watch's start",
    buckets=(
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5,
    ),
)  # fmt: skip
PLATFORM_RETRIES = _counter(
    "egretcart.platform.retries", "{call}", "attempts made again"
)
PLATFORM_HELD_BACK = _counter(
    "egretcart.platform.held_back",
    "{call}",
    "calls not made, for the cap on calls a second or the open circuit",
    "cause",
)
PLATFORM_WATCHES_BROKEN = _counter(
    "egretcart.platform.watches.broken",
    "{call}",
    "watches that broke off after their start",
)
PLATFORM_CIRCUIT = _gauge(
    "egretcart.platform.circuit",
    "{state}",
    "circuit to the store: 0 closed, 1 probing, 2 open",
)
PLATFORM_CIRCUIT_CHANGES = _counter(
    "egretcart.platform.circuit.changes",
    "{change}",
    "changes of the circuit, by its new state",
    "state",
)
PLATFORM_VERSIONS_BEHIND = _gauge(
    "egretcart.platform.versions.behind",
    "{version}",
    "accepted configuration versions that the store has lost",
)
ROUTES_CONFINED = _gauge(
    "egretcart.routes.confined",
    "{route}",
    "direct dispatch: routes that may use only a part of the agents",
)
DOMAINS_DRAINED = _gauge(
    "egretcart.domains.drained",
    "{domain}",
    "direct dispatch: drained failure domains that the process knows",
)
AGENTS_CONNECTED = _gauge(
    "egretcart.agents.connected", "{agent}", "agents linked to the entry"
)
REQUESTS_OPEN = _gauge(
    "egretcart.requests.open", "{request}", "callers that wait at the entry"
)
TASKS_RUNNING = _gauge(
    "egretcart.tasks.running", "{task}", "exchanges open at the agent"
)
TASKS_QUEUED = _gauge(
    "egretcart.tasks.queued", "{task}", "starts that wait at the agent"
)
CPU_TIME = _counter(
    "egretcart.cpu.time", "s", "processor time used by the process"
)

ALL_METRICS = (
    MESSAGES_SENT,
    FRAMES_SENT,
    BYTES_SENT,
    BYTES_RECEIVED,
    MESSAGES_WASTED,
    HTTP_REQUESTS,
    STARTS,
    RESULTS,
    JOBS,
    REFUSALS,
    RESPONSE_TIME,
    QUEUE_TIME,
    RUN_TIME,
    RUN_ENDINGS,
    RUNS_THREATENED,
    SERVERS_SUSPECTED,
    SERVERS_CRASHED,
    JOBS_REFUSED,
    DECISIONS,
    HEARTBEAT_TIME,
    TAKEOVERS,
    LEASE_LAPSES,
    ROSTER_CHANGES,
    STATE_CHANGES,
    PLATFORM_CALLS,
    PLATFORM_FAILURES,
    PLATFORM_THROTTLED,
    PLATFORM_REFUSALS,
    PLATFORM_ABANDONED,
    PLATFORM_CALL_TIME,
    PLATFORM_RETRIES,
    PLATFORM_HELD_BACK,
    PLATFORM_WATCHES_BROKEN,
    PLATFORM_CIRCUIT,
    PLATFORM_CIRCUIT_CHANGES,
    PLATFORM_VERSIONS_BEHIND,
    ROUTES_CONFINED,
    DOMAINS_DRAINED,
    AGENTS_CONNECTED,
    REQUESTS_OPEN,
    TASKS_RUNNING,
    TASKS_QUEUED,
    CPU_TIME,
)


def markdown_table() -> str:
    """Return the table of all metrics that docs/metrics.md contains."""
    lines = [
        "| metric | kind | unit | label | meaning |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| `{metric.name}` | {metric.kind.value} | `{metric.unit}` | "
        f"{metric.label or '-'} | {metric.meaning} |"
        for metric in ALL_METRICS
    ]
    return "\n".join(lines) + "\n"
