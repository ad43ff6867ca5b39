"""Process of an agent of direct dispatch: the I/O of `DirectAgent`."""

from collections.abc import Iterable
from typing import Any

import trio

from egretcart.connection.dialler import Dialler
from egretcart.connection.http_listener import HttpListener
from egretcart.connection.http_server import Handler
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.peer_link import PeerLink
from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.agent.agent import DirectAgent
from egretcart.direct.agent.agent_types import AgentEffect
from egretcart.direct.agent.agent_types import CloseEntryLink
from egretcart.direct.agent.agent_types import DialEntry
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.backend.backend import Backend
from egretcart.direct.backend.backend import BackendCallError
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import IncarnationMismatchError
from egretcart.direct.backend.backend import StaleTokenError
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.backend.backend import StartRequest
from egretcart.direct.backend.backend import StopRequest
from egretcart.direct.backend.backend_report_store import BackendReportStore
from egretcart.direct.backend.lease import LeaseLimits
from egretcart.direct.backend.suspicion import Suspicion
from egretcart.direct.backend.suspicion import SuspicionLimits
from egretcart.direct.connection.accept_log import accept_logger
from egretcart.direct.connection.messages import EntryHello
from egretcart.direct.connection.messages import EntryPeers
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.violations import log_violation
from egretcart.direct.connection.wire import DIRECT_PROTOCOL
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.process.settings import DirectAgentSettings
from egretcart.process.clock import Clock
from egretcart.process.planned_stop import poll_until

TICK_INTERVAL_S = 0.05
# How long the server may wait for a run to end before it answers a poll, and
# how long after that the answer may take.
LISTING_WAIT_MS = 100
LISTING_TIMEOUT_S = 0.25
# Once the last answer is this old, a separate poll renews the lease, so that
# a lost answer does not let it expire.
MAX_ANSWER_AGE_S = 0.13
POLL_RETRY_DELAY_S = 0.05
MS_PER_S = 1000
# Fraction of the longest lease that the agent requests; the reasons for a
# length are those of `LeaseLimits.lease_ms`.
REQUESTED_LEASE_FRACTION = 0.5
REPORT_LIMITS = HttpLimits(max_connections=64, max_body_bytes=1 << 20)


def agent_limits(settings: DirectAgentSettings) -> DirectAgentLimits:
    """Return the limits that follow from an agent's settings."""
    return DirectAgentLimits(
        lease=LeaseLimits(
            lease_ms=int(REQUESTED_LEASE_FRACTION * settings.max_lease_ms),
            max_lease_ms=settings.max_lease_ms,
        ),
        suspicion=SuspicionLimits(is_on=settings.suspects_servers),
    )


class DirectAgentProcess:
    """Runs one agent.

    Parameters
    ----------
    settings : DirectAgentSettings
    limits : DirectAgentLimits
    clock : Clock
    log : DecisionLog
    traffic : TrafficCounters
        Counters that its links to entries update.
    backend : Backend
        Client of the backend server.
    report_store : BackendReportStore

    Attributes
    ----------
    stop_limit_s : float
        Longest duration of `stop`, in seconds.
    links : dict of str to PeerLink
        Links to entries, by entry id.
    """

    def __init__(
        self,
        *,
        settings: DirectAgentSettings,
        limits: DirectAgentLimits,
        clock: Clock,
        log: DecisionLog,
        traffic: TrafficCounters,
        backend: Backend,
        report_store: BackendReportStore,
    ) -> None:
        self.settings = settings
        self.stop_limit_s = settings.stop_grace_s
        self.clock = clock
        self.backend = backend
        self.report_store = report_store
        self.limits = limits
        self.agent = DirectAgent(
            agent_id=settings.node,
            incarnation=clock.unix_ms(),
            limits=limits,
            log=log,
            seeds=settings.seed_endpoints,
            failure_domain=settings.failure_domain,
        )
        self.traffic = traffic
        self.links: dict[str, PeerLink] = {}
        self.dialler: Dialler
        self.nursery: trio.Nursery

    def serve(
        self,
        nursery: trio.Nursery,
        listeners: dict[str, list[trio.SocketListener]],
        *,
        report_handler: Handler,
    ) -> None:
        """Serve open sockets, and connect; the nursery runs the tasks.

        Parameters
        ----------
        nursery : trio.Nursery
        listeners : dict of str to list of trio.SocketListener
            Sockets of the addresses in `settings.listening`, by their name.
        report_handler : Handler
            Handles requests at the control address.
        """
        self.nursery = nursery
        server = HttpListener(
            handler=report_handler,
            limits=REPORT_LIMITS,
            on_accept_change=accept_logger(self.agent.log, "control"),
        )
        nursery.start_soon(server.serve, listeners["control"], nursery)
        self.dialler = Dialler(
            nursery=nursery,
            seeds=self.settings.seed_endpoints,
            run_connection=self._run_connection,
            policy=self.agent.connections.working_set,
        )
        nursery.start_soon(self._restore_report)
        nursery.start_soon(self.report_store.run)
        nursery.start_soon(self._tick)
        nursery.start_soon(self._poll_continuously)

    def reload(self, settings: DirectAgentSettings) -> None:
        """Apply changed settings; addresses of this process don't change."""
        for host, port in settings.seed_endpoints:
            self.add_entry(PeerAddress(host=host, port=port))

    def add_entry(self, address: PeerAddress) -> None:
        """Record an entry, and connect to it if it is to be served."""
        self.agent.entries_reported((address,))

    def is_connected(self) -> bool:
        """Whether the agent is connected to an entry."""
        return bool(self.links)

    async def _restore_report(self) -> None:
        """Use the report of an earlier incarnation until a new one arrives."""
        report = await self.report_store.load_report()
        if report is not None and self.agent.report is None:
            now = self.clock.monotonic()
            self._apply_effects(self.agent.receive_report(report, now))

    def receive_report(self, report: BackendReport) -> None:
        """Handle a report of the backend server."""
        now = self.clock.monotonic()
        self._apply_effects(self.agent.receive_report(report, now))
        if self.agent.report is report:
            self.report_store.record(report)
        elif self.agent.backend.candidate is report:
            self.nursery.start_soon(self._poll_once, 0)

    def receive_shutdown_notice(self, instance: str) -> None:
        """Handle the backend server's notice that it shuts down."""
        report = self.agent.report
        if report is not None and report.lifetime.instance == instance:
            now = self.clock.monotonic()
            self._apply_effects(
                self.agent.mark_backend_ended(
                    "it said that it ends", now, is_announced=True
                )
            )

    async def stop(self) -> None:
        """Accept no new tasks and wait until all runs have ended."""
        self._apply_effects(self.agent.stop(self.clock.monotonic()))
        await poll_until(lambda: not self.agent.runs)

    async def abort(self) -> None:
        """Do nothing: the server ends the runs when their lease expires."""

    # The backend server.

    async def _poll_continuously(self) -> None:
        """Poll without a break; the server answers as soon as a run ends."""
        while True:
            if not await self._poll_once(LISTING_WAIT_MS):
                await trio.sleep(POLL_RETRY_DELAY_S)

    def _poll_if_due(self, now: float) -> None:
        """Renew the lease by a separate poll if the last answer is old.

        The lease of a silent server is not renewed, so that there is no need.
        """
        if self.agent.backend.suspected is Suspicion.SILENT:
            return
        age_s = now - self.agent.lease.answered_at
        if self.agent.report is not None and age_s > MAX_ANSWER_AGE_S:
            self.nursery.start_soon(self._poll_once, 0)

    async def _poll_once(self, wait_ms: int) -> bool:
        """Poll once; return whether the expected incarnation answered."""
        asked_at = self.clock.monotonic()
        request = self.agent.poll_request(asked_at, wait_ms=wait_ms)
        if request is None:
            return False
        timeout_s = request.wait_ms / MS_PER_S + LISTING_TIMEOUT_S
        try:
            listing = await self.backend.poll(request, time_limit_s=timeout_s)
        except BackendCallError as error:
            if error.refused:
                self._mark_backend_refused(request.lifetime, error)
            elif not error.answered:
                now = self.clock.monotonic()
                self._apply_effects(self.agent.poll_failed(asked_at, now))
            return False
        except StaleTokenError as error:
            now = self.clock.monotonic()
            self._apply_effects(
                self.agent.poll_refused(request, error.clock_ms, now)
            )
            return True
        except IncarnationMismatchError:
            self._mark_backend_ended(
                request.lifetime, "another lifetime answers"
            )
            return False
        now = self.clock.monotonic()
        self._apply_effects(
            self.agent.receive_listing(
                listing, request.lifetime, asked_at, now
            )
        )
        return True

    def _mark_backend_refused(
        self, lifetime: BackendIncarnation, error: BackendCallError
    ) -> None:
        """Record that no server listens at the address any more."""
        self._mark_backend_ended(lifetime, str(error), is_refused=True)

    def _mark_backend_ended(
        self,
        lifetime: BackendIncarnation,
        reason: str,
        *,
        is_refused: bool = False,
    ) -> None:
        report = self.agent.report
        if report is not None and report.lifetime == lifetime:
            now = self.clock.monotonic()
            self._apply_effects(
                self.agent.mark_backend_ended(
                    reason, now, is_refused=is_refused
                )
            )

    async def _start(self, request: StartRequest) -> None:
        answer = None
        try:
            answer = await self.backend.start(request)
        except BackendCallError as error:
            if error.refused:
                answer = StartAnswer.NOT_SENT
                self._mark_backend_refused(request.lifetime, error)
        now = self.clock.monotonic()
        self._apply_effects(self.agent.start_answered(request, answer, now))

    async def _stop(self, request: StopRequest) -> None:
        answered = False
        try:
            await self.backend.stop(request)
            answered = True
        except BackendCallError as error:
            if error.refused:
                self._mark_backend_refused(request.lifetime, error)
        now = self.clock.monotonic()
        self._apply_effects(self.agent.stop_answered(request, answered, now))

    # Entries.

    async def _run_connection(self, stream: trio.SocketStream) -> None:
        link = PeerLink(
            stream=stream, protocol=DIRECT_PROTOCOL, traffic=self.traffic
        )
        entry_id = ""

        def handle(message: Any) -> None:
            nonlocal entry_id
            now = self.clock.monotonic()
            if isinstance(message, EntryHello) and not entry_id:
                entry_id = message.entry_id
                link.confirm_hello()
                former = self.links.get(entry_id)
                self.links[entry_id] = link
                if former is not None:
                    former.close()
                self._apply_effects(
                    self.agent.entry_connected(
                        entry_id, message.incarnation, now, message.address
                    )
                )
            elif isinstance(message, EntryPeers):
                self.agent.entries_reported(message.entries)
            elif entry_id and self.links.get(entry_id) is link:
                self._apply_effects(self.agent.receive(entry_id, message, now))

        await link.run(handle, first=[])
        log_violation(self.agent.log, link, entry_id)
        if entry_id and self.links.get(entry_id) is link:
            del self.links[entry_id]
            self.agent.entry_disconnected(entry_id)

    def _apply_effects(self, effects: Iterable[AgentEffect]) -> None:
        links_to_flush: set[PeerLink] = set()
        for effect in effects:
            if isinstance(effect, SendToEntry):
                link = self.links.get(effect.entry_id)
                if link is not None:
                    link.post(effect.message)
                    links_to_flush.add(link)
            elif isinstance(effect, CloseEntryLink):
                link = self.links.pop(effect.entry_id, None)
                if link is not None:
                    link.close()
            elif isinstance(effect, DialEntry):
                self.dialler.ensure_dialled(*effect.endpoint)
            elif isinstance(effect, SendStartRequest):
                self.nursery.start_soon(self._start, effect.request)
            else:
                self.nursery.start_soon(self._stop, effect.request)
        for link in links_to_flush:
            link.flush()

    async def _tick(self) -> None:
        while True:
            now = self.clock.monotonic()
            self._poll_if_due(now)
            self._apply_effects(self.agent.tick(now))
            await trio.sleep(TICK_INTERVAL_S)
