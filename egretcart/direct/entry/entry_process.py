"""The process of an entry: network links and servers for `DirectEntry`."""

import math
import random

import trio

from egretcart.connection.http_listener import HttpListener
from egretcart.connection.http_server import Handler
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.connection.accept_log import accept_logger
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_links import EntryLinks
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.process.settings import DirectEntrySettings
from egretcart.direct.request.job import Job
from egretcart.direct.version.configuration import Route
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.direct.version.drained_domains import DrainedDomains
from egretcart.process.clock import Clock
from egretcart.process.planned_stop import poll_until

# The balancer removes an entry from its rotation after two failed readiness
# checks, a second apart.
READINESS_DETECTION_S = 2.3
# Time at the end of a graceful shutdown for sending the last answers.
RESPONSE_FLUSH_S = 0.5
MAX_CONNECTIONS = 3000
CALLERS_LISTENER = 0


class DirectEntryProcess:
    """Runs one entry.

    Parameters
    ----------
    settings : DirectEntrySettings
    limits : DirectEntryLimits
    clock : Clock
    log : DecisionLog
    traffic : TrafficCounters
        Counters of the messages on its links.

    Attributes
    ----------
    stop_limit_s : float
        Longest duration of `stop`, in seconds.
    links : EntryLinks
        Links to agents and other entries.
    answers : dict of int to Answer
        Answers by request id, until `submit` returns them.
    answer_events : dict of int to trio.Event
        Set when the answer to a request has come, by request id.
    dispatch_needed : trio.Event
        Set after messages of agents, so that waiting tasks are sent.
    listeners : list of HttpListener
        HTTP servers of this process.
    """

    def __init__(
        self,
        *,
        settings: DirectEntrySettings,
        limits: DirectEntryLimits,
        clock: Clock,
        log: DecisionLog,
        traffic: TrafficCounters,
    ) -> None:
        self.settings = settings
        self.stop_limit_s = settings.stop_grace_s - RESPONSE_FLUSH_S
        self.clock = clock
        self.entry = DirectEntry(
            entry_id=settings.node,
            limits=limits,
            log=log,
            source=random.Random(),
        )
        address = PeerAddress(
            host=settings.host,
            port=settings.peer_port,
            failure_domain=settings.failure_domain,
        )
        self.entry.recruiter.address = address
        self.links = EntryLinks(
            entry=self.entry,
            clock=clock,
            log=log,
            traffic=traffic,
            address=address,
            incarnation=clock.unix_ms(),
            on_answer=self._handle_answer,
            on_agent_message=self._request_dispatch,
            on_configuration=self._accept_configuration,
        )
        self.answers: dict[int, Answer] = {}
        self.answer_events: dict[int, trio.Event] = {}
        self.last_request_id = 0
        self.dispatch_needed = trio.Event()
        self.listeners: list[HttpListener] = []
        self.nursery: trio.Nursery

    def serve(
        self,
        nursery: trio.Nursery,
        listeners: dict[str, list[trio.SocketListener]],
        *,
        callers: Handler,
        balancer: Handler,
        report_handler: Handler,
    ) -> None:
        """Serve open sockets, and connect; the nursery runs the tasks.

        Parameters
        ----------
        nursery : trio.Nursery
        listeners : dict of str to list of trio.SocketListener
            Sockets of the addresses in `settings.listening`, by their name.
        callers : Handler
            Handles requests of callers.
        balancer : Handler
            Handles readiness checks of the load balancer.
        report_handler : Handler
            Handles requests at the control address, if there is one.
        """
        self.nursery = nursery
        nursery.start_soon(self.links.serve_listeners, listeners["peers"])
        self.links.start(nursery, self.settings.seed_endpoints)
        self._serve_http("callers", listeners, callers)
        self._serve_http("readiness", listeners, balancer)
        if "control" in listeners:
            self._serve_http("control", listeners, report_handler)
        nursery.start_soon(self._tick)
        nursery.start_soon(self._run_dispatch_loop)

    def reload(self, settings: DirectEntrySettings) -> None:
        """Connect to the seeds of changed settings.

        The addresses on which this process listens don't change.
        """
        for host, port in settings.seed_endpoints:
            self.add_entry(PeerAddress(host=host, port=port))

    def _serve_http(
        self,
        name: str,
        listeners: dict[str, list[trio.SocketListener]],
        handler: Handler,
    ) -> None:
        listener = HttpListener(
            handler=handler,
            limits=self._http_limits(),
            on_accept_change=accept_logger(self.entry.log, name),
        )
        self.nursery.start_soon(listener.serve, listeners[name], self.nursery)
        self.listeners.append(listener)

    def _http_limits(self) -> HttpLimits:
        configuration = self.entry.configuration
        if configuration is None:
            return HttpLimits(allows_half_close=False)
        return HttpLimits(
            max_body_bytes=configuration.limits.max_body_bytes,
            max_header_bytes=configuration.limits.max_header_bytes,
            request_timeout_s=configuration.limits.header_timeout_s,
            idle_timeout_s=configuration.limits.idle_timeout_s,
            max_connections=MAX_CONNECTIONS,
            allows_half_close=False,
        )

    # Called for callers and operators, and by the followers of the store.

    def configure(
        self, configuration: RoutingConfiguration, *, source: str = "store"
    ) -> None:
        """Activate a configuration if it is newer than the active one."""
        if not self.entry.configure(configuration, source):
            return
        for listener in self.listeners:
            listener.limits = self._http_limits()

    def _accept_configuration(
        self, configuration: RoutingConfiguration, source: str
    ) -> None:
        self.configure(configuration, source=source)

    def learn_drained_domains(self, drained: DrainedDomains) -> None:
        """Apply the drained failure domains as the store has them."""
        now = self.clock.monotonic()
        self.links.apply_effects(
            self.entry.learn_drained_domains(drained, now)
        )

    def add_entry(self, address: PeerAddress) -> None:
        """Connect to another entry, and report it to agents and entries."""
        self.links.add_entries([address])

    def is_connected(self) -> bool:
        """Whether this entry is connected to another one."""
        return bool(self.links.peers.links)

    async def submit(
        self, job: Job, route: Route, *, wait_limit_s: float = math.inf
    ) -> Answer:
        """Submit a job to the entry and return its answer.

        Cancelling this coroutine means that the caller has disconnected.

        Parameters
        ----------
        job : Job
        route : Route
        wait_limit_s : float, optional
            How long the caller waits, in seconds; infinite if not known.
        """
        self.last_request_id += 1
        request_id = self.last_request_id
        answer_event = self.answer_events[request_id] = trio.Event()
        now = self.clock.monotonic()
        self.links.apply_effects(
            self.entry.submit(
                request_id, job, route, now, wait_limit_s=wait_limit_s
            )
        )
        try:
            await answer_event.wait()
            return self.answers[request_id]
        finally:
            del self.answer_events[request_id]
            if self.answers.pop(request_id, None) is None:
                now = self.clock.monotonic()
                self.links.apply_effects(
                    self.entry.caller_disconnected(job.job_id, request_id, now)
                )

    def cancel(self, job_id: str) -> None:
        """Cancel a job at its caller's request."""
        now = self.clock.monotonic()
        self.links.apply_effects(self.entry.cancel(job_id, now))

    # Stopping.

    async def stop(self) -> None:
        """Leave the balancer's rotation, then finish open requests.

        Connections are accepted until the balancer must have noticed that
        the entry is not ready.
        """
        now = self.clock.monotonic()
        self.entry.stop(now + self.stop_limit_s, now)
        await trio.sleep(READINESS_DETECTION_S)
        for listener in self.listeners:
            listener.stopping = True
        async with trio.open_nursery() as nursery:
            for listener in self.listeners:
                nursery.start_soon(listener.close)

    async def abort(self) -> None:
        """Answer all waiting callers at once, so that they ask elsewhere."""
        self.links.apply_effects(self.entry.interrupt(self.clock.monotonic()))
        await poll_until(lambda: not self.answer_events)

    # Answers and time.

    def _handle_answer(self, answer: Answer) -> None:
        if answer.request_id in self.answer_events:
            self.answers[answer.request_id] = answer
            self.answer_events[answer.request_id].set()

    def _request_dispatch(self) -> None:
        self.dispatch_needed.set()

    async def _run_dispatch_loop(self) -> None:
        """Dispatch waiting tasks once after each batch of messages."""
        while True:
            await self.dispatch_needed.wait()
            self.dispatch_needed = trio.Event()
            self.links.apply_effects(
                self.entry.dispatch_waiting(self.clock.monotonic())
            )

    def _follow_rotation(self, now: float) -> None:
        """Close callers' connections once the balancer sends them elsewhere.

        An open connection would stay with this entry.
        """
        rotation = self.entry.rotation
        callers = self.listeners[CALLERS_LISTENER]
        if self.entry.admission.stop_deadline is not None:
            return
        is_left = (
            rotation.is_out
            and now >= rotation.changed_at + READINESS_DETECTION_S
        )
        if is_left and not callers.stopping:
            for connection in list(callers.connections):
                connection.close_if_idle()
        callers.stopping = is_left

    async def _tick(self) -> None:
        while True:
            now = self.clock.monotonic()
            self.links.apply_effects(self.entry.tick(now))
            self.links.pull_configuration(now)
            self._follow_rotation(now)
            await trio.sleep(self.entry.limits.tick_interval_s)
