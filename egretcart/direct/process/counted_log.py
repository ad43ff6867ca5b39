"""Opens a process's decision log, with metrics if they are enabled."""

import trio

from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.process.settings import DirectSettings


async def open_metered_log(
    log: DecisionLog,
    settings: DirectSettings,
    traffic: TrafficCounters,
    nursery: trio.Nursery,
) -> DecisionLog:
    """Return a log that also counts decisions if metrics are enabled.

    Parameters
    ----------
    log : DecisionLog
        Log that the decisions are written to.
    settings : DirectSettings
        Metrics are enabled if `settings.metrics` is an address.
    traffic : TrafficCounters
        Counters of the process's links.
    nursery : trio.Nursery
        Runs the server of the metrics.
    """
    if not settings.metrics:
        return log
    # The metrics modules take memory and time to import, so they are
    # imported on demand.
    from egretcart.direct.process.metered_log import MetricsServer

    server = MetricsServer(log=log, traffic=traffic)
    await server.serve(settings.metrics, nursery)
    return server.log
