"""Metrics of a process, exported through OpenTelemetry.

Counters are plain numbers that OpenTelemetry reads only when the metrics
are rendered, on the event loop. So counting costs one dictionary update,
and no thread is needed.
"""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
import functools
import time
from typing import Protocol

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Histogram
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest

from egretcart.connection.traffic import TrafficCounters
from egretcart.process.metric_table import ALL_METRICS
from egretcart.process.metric_table import BYTES_RECEIVED
from egretcart.process.metric_table import BYTES_SENT
from egretcart.process.metric_table import CPU_TIME
from egretcart.process.metric_table import FRAMES_SENT
from egretcart.process.metric_table import MESSAGES_SENT
from egretcart.process.metric_table import Metric
from egretcart.process.metric_table import MetricKind

PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Metrics(Protocol):
    """Counters, gauges and histograms that a process updates."""

    def add(
        self, metric: Metric, amount: float = 1, *, label: str = ""
    ) -> None:
        """Increase a counter."""

    def observe(self, metric: Metric, value: float) -> None:
        """Record a value in a histogram."""

    def gauge(self, metric: Metric, callback: Callable[[], float]) -> None:
        """Set the function that returns a gauge's value."""

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""


class ProcessMetrics:
    """`Metrics` of one process, with its own registry.

    Parameters
    ----------
    traffic : TrafficCounters
        Messages, frames and bytes of the process's links.

    Attributes
    ----------
    counts : dict of (Metric, str) to float
        Value of each counter by metric and label value.
    gauges : dict of Metric to callable
        Functions that return the current values.
    histograms : dict of Metric to Histogram
        Instruments that values are recorded in.
    """

    def __init__(self, *, traffic: TrafficCounters) -> None:
        self.traffic = traffic
        self.counts: dict[tuple[Metric, str], float] = defaultdict(int)
        self.gauges: dict[Metric, Callable[[], float]] = {}
        self.histograms: dict[Metric, Histogram] = {}
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self.registry,
        )
        provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource({}),
            shutdown_on_exit=False,
        )
        self.meter = provider.get_meter("egretcart")
        for metric in ALL_METRICS:
            self._register(metric)

    def _register(self, metric: Metric) -> None:
        if metric.kind is MetricKind.HISTOGRAM:
            self.histograms[metric] = self.meter.create_histogram(
                metric.name,
                unit=metric.unit,
                description=metric.meaning,
                explicit_bucket_boundaries_advisory=metric.buckets,
            )
            return
        create = self.meter.create_observable_counter
        if metric.kind is MetricKind.GAUGE:
            create = self.meter.create_observable_gauge  # type: ignore
        create(
            metric.name,
            callbacks=[functools.partial(self._collect, metric)],
            unit=metric.unit,
            description=metric.meaning,
        )

    def _collect(
        self, metric: Metric, _options: CallbackOptions
    ) -> Iterable[Observation]:
        callback = self.gauges.get(metric)
        if callback is not None:
            yield Observation(callback())
        for (counted, label), value in self.counts.items():
            if counted is metric:
                yield Observation(
                    value, {metric.label: label} if metric.label else {}
                )

    def add(
        self, metric: Metric, amount: float = 1, *, label: str = ""
    ) -> None:
        """Increase a counter.

        Parameters
        ----------
        metric : Metric
        amount : float, optional
            In the metric's unit.
        label : str, optional
            Value of the metric's label; empty if the metric has none.
        """
        self.counts[metric, label] += amount

    def observe(self, metric: Metric, value: float) -> None:
        """Record a value in a histogram, in the metric's unit."""
        self.histograms[metric].record(value)

    def gauge(self, metric: Metric, callback: Callable[[], float]) -> None:
        """Set the function that `render` reads a gauge's value from."""
        self.gauges[metric] = callback

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for message_type, count in self.traffic.messages.items():
            self.counts[MESSAGES_SENT, message_type.__name__] = count
        self.counts[FRAMES_SENT, ""] = self.traffic.frames_sent
        self.counts[BYTES_SENT, ""] = self.traffic.bytes_sent
        self.counts[BYTES_RECEIVED, ""] = self.traffic.bytes_received
        self.counts[CPU_TIME, ""] = time.process_time()
        return generate_latest(self.registry)
