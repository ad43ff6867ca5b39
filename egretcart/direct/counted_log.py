"""Where a process writes its decisions, with the counts that it serves."""

import trio

from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.decisions import DecisionLog
from egretcart.direct.settings import DirectSettings


async def open_metered_log(
    log: DecisionLog,
    settings: DirectSettings,
    traffic: TrafficCounters,
    nursery: trio.Nursery,
) -> DecisionLog:
    """Return a log that counts as well, if the settings ask for metrics.

    Parameters
    ----------
    log : DecisionLog
        Where lines are written.
    settings : DirectSettings
    traffic : Traffic
        Counts of the process's links.
    nursery : trio.Nursery
        Runs what serves the counts.
    """
    if not settings.metrics:
        return log
    # Metrics take memory and time to load, so they are loaded on demand.
    from egretcart.direct.metered_log import MetricsServer

    server = MetricsServer(log=log, traffic=traffic)
    await server.serve(settings.metrics, nursery)
    return server.log
