"""Opens a process's decision log, with metrics if they are enabled."""

import trio

from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.log.decisions import DecisionLog


def open_metered_log(
    log: DecisionLog,
    listeners: list[trio.SocketListener] | None,
    traffic: TrafficCounters,
    nursery: trio.Nursery,
) -> DecisionLog:
    """Return a log that also counts decisions if metrics are enabled.

    Parameters
    ----------
    log : DecisionLog
        Log that the decisions are written to.
    listeners : list of trio.SocketListener or None
        Sockets of the metrics' address; None if metrics are not enabled.
    traffic : TrafficCounters
        Counters of the process's links.
    nursery : trio.Nursery
        Runs the server of the metrics.
    """
    if listeners is None:
        return log
    # The metrics modules take memory and time to import, so they are
    # imported on demand.
    from egretcart.direct.process.metered_log import MetricsServer

    server = MetricsServer(log=log, traffic=traffic)
    server.serve(listeners, nursery)
    return server.log
