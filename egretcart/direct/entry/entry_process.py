"""The process of an entry: network links and servers for `DirectEntry`."""

from collections.abc import Iterable
import math
import random
from typing import Any

import trio

from egretcart.connection.dialler import Dialler
from egretcart.connection.http_listener import HttpListener
from egretcart.connection.http_server import Handler
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.peer_link import PeerLink
from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import EntryHello
from egretcart.direct.connection.messages import EntryPeers
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.messages import Routing
from egretcart.direct.connection.messages import RoutingRequest
from egretcart.direct.connection.peer_registry import PeerRegistry
from egretcart.direct.connection.wire import DIRECT_PROTOCOL
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import CloseAgent
from egretcart.direct.entry.entry_types import ClosePeer
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import EntryEffect
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import DependencyChanged
from egretcart.direct.process.settings import DirectEntrySettings
from egretcart.direct.process.settings import split_address
from egretcart.direct.request.job import Job
from egretcart.direct.version.configuration import decode_routing
from egretcart.direct.version.configuration import encode_routing
from egretcart.direct.version.configuration import Route
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.direct.version.configuration_pull import ConfigurationPull
from egretcart.direct.version.configuration_pull import ConfigurationPullLimits
from egretcart.process.clock import Clock
from egretcart.process.planned_stop import poll_until

# The balancer removes an entry from its rotation after two failed readiness
# checks, a second apart.
READINESS_DETECTION_S = 2.3
# Time at the end of a graceful shutdown for sending the last answers.
RESPONSE_FLUSH_S = 0.5
MAX_CONNECTIONS = 3000


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
    incarnation : int
        Start of the process, in Unix milliseconds.
    address : PeerAddress
        Where agents and other entries connect to this entry.
    agent_links : dict of str to PeerLink
        Links that agents have opened, by agent id.
    peers : PeerRegistry
        Links to other entries, and the addresses of all that were reported.
    pull : ConfigurationPull
        Versions of the other entries, and the request to one of them.
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
        self.incarnation = clock.unix_ms()
        self.entry = DirectEntry(
            entry_id=settings.node,
            limits=limits,
            log=log,
            source=random.Random(),
        )
        self.log = log
        self.traffic = traffic
        self.address = PeerAddress(
            host=settings.host,
            port=settings.peer_port,
            failure_domain=settings.failure_domain,
        )
        self.entry.recruiter.address = self.address
        self.agent_links: dict[str, PeerLink] = {}
        self.peers = PeerRegistry(entry_id=settings.node)
        self.pull = ConfigurationPull(
            limits=ConfigurationPullLimits(), choose=random.choice
        )
        self.answers: dict[int, Answer] = {}
        self.answer_events: dict[int, trio.Event] = {}
        self.last_request_id = 0
        self.dispatch_needed = trio.Event()
        self.listeners: list[HttpListener] = []
        self.dialler: Dialler
        self.nursery: trio.Nursery

    async def serve(
        self,
        nursery: trio.Nursery,
        *,
        callers: Handler,
        balancer: Handler,
        report_handler: Handler,
    ) -> None:
        """Listen, connect, and return; the nursery runs the rest.

        Parameters
        ----------
        nursery : trio.Nursery
        callers : Handler
            Handles requests of callers, at the address `settings.callers`.
        balancer : Handler
            Handles readiness checks of the load balancer, at the address
            `settings.readiness`.
        report_handler : Handler
            Handles requests at the address `settings.control`, if it is not
            empty.
        """
        self.nursery = nursery
        peers = await trio.open_tcp_listeners(
            self.settings.peer_port, host=self.settings.host
        )
        nursery.start_soon(
            trio.serve_listeners, self._serve_accepted_link, peers
        )
        for endpoint in self.settings.seed_endpoints:
            if endpoint != self.address.endpoint:
                self.peers.known[endpoint] = ""
        self.dialler = Dialler(
            nursery=nursery,
            seeds=self.settings.seed_endpoints,
            run_connection=self._serve_dialled_link,
            own=self.address.endpoint,
            policy=self.peers,
        )
        await self._serve_http(self.settings.callers, callers)
        await self._serve_http(self.settings.readiness, balancer)
        if self.settings.control:
            await self._serve_http(self.settings.control, report_handler)
        nursery.start_soon(self._tick)
        nursery.start_soon(self._run_dispatch_loop)

    def reload(self, settings: DirectEntrySettings) -> None:
        """Connect to the seeds of changed settings.

        The addresses on which this process listens don't change.
        """
        for host, port in settings.seed_endpoints:
            self.add_entry(PeerAddress(host=host, port=port))

    async def _serve_http(self, address: str, handler: Handler) -> None:
        host, port = split_address(address)
        listener = HttpListener(handler=handler, limits=self._http_limits())
        listeners = await trio.open_tcp_listeners(port, host=host)
        self.nursery.start_soon(listener.serve, listeners, self.nursery)
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

    def add_entry(self, address: PeerAddress) -> None:
        """Connect to another entry, and report it to agents and entries."""
        self._add_entries([address])

    def is_connected(self) -> bool:
        """Whether this entry is connected to another one."""
        return bool(self.peers.links)

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
        self._apply_effects(
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
                self._apply_effects(
                    self.entry.caller_disconnected(job.job_id, request_id, now)
                )

    def cancel(self, job_id: str) -> None:
        """Cancel a job at its caller's request."""
        now = self.clock.monotonic()
        self._apply_effects(self.entry.cancel(job_id, now))

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
        self._apply_effects(self.entry.interrupt(self.clock.monotonic()))
        await poll_until(lambda: not self.answer_events)

    # Links.

    async def _serve_accepted_link(self, stream: trio.SocketStream) -> None:
        """Exchange messages on a link that an agent or entry has opened."""
        link = self._make_link(stream)
        agent_id = peer_id = ""

        def handle(message: Any) -> None:
            nonlocal agent_id, peer_id
            now = self.clock.monotonic()
            if isinstance(message, EntryHello) and not peer_id:
                peer_id = message.entry_id
                self._peer_connected(message, link, peer_id, now)
            elif peer_id:
                self._handle_peer_message(peer_id, link, message, now)
            elif isinstance(message, AgentHello) and not agent_id:
                agent_id = message.status.agent_id
                link.confirm_hello()
                self._replace_agent_link(agent_id, link, now)
                self._send_known_entries(link)
                self._apply_effects(self.entry.agent_connected(message, now))
            elif agent_id and self.agent_links.get(agent_id) is link:
                self._apply_effects(self.entry.receive(agent_id, message, now))
                self._request_dispatch()

        await link.run(handle, first=[self._hello()])
        self._peer_disconnected(peer_id, link)
        if agent_id and self.agent_links.get(agent_id) is link:
            del self.agent_links[agent_id]
            now = self.clock.monotonic()
            self._apply_effects(self.entry.agent_disconnected(agent_id, now))

    async def _serve_dialled_link(self, stream: trio.SocketStream) -> None:
        """Exchange messages on a link to another entry opened from here."""
        link = self._make_link(stream)
        peer_id = ""

        def handle(message: Any) -> None:
            nonlocal peer_id
            now = self.clock.monotonic()
            if isinstance(message, EntryHello) and not peer_id:
                peer_id = message.entry_id
                self._peer_connected(message, link, self.settings.node, now)
            elif peer_id:
                self._handle_peer_message(peer_id, link, message, now)

        await link.run(handle, first=[self._hello()])
        self._peer_disconnected(peer_id, link)

    def _make_link(self, stream: trio.SocketStream) -> PeerLink:
        return PeerLink(
            stream=stream, protocol=DIRECT_PROTOCOL, traffic=self.traffic
        )

    def _send_known_entries(self, link: PeerLink) -> None:
        """Report all known entries on a link that gets later ones as well."""
        link.send(
            EntryPeers(
                entries=tuple(
                    PeerAddress(host=host, port=port, failure_domain=domain)
                    for (host, port), domain in self.peers.known.items()
                )
            )
        )

    def _replace_agent_link(
        self, agent_id: str, link: PeerLink, now: float
    ) -> None:
        former = self.agent_links.get(agent_id)
        self.agent_links[agent_id] = link
        if former is not None:
            former.close()
            self._apply_effects(self.entry.agent_disconnected(agent_id, now))

    def _peer_connected(
        self, hello: EntryHello, link: PeerLink, dialled_by: str, now: float
    ) -> None:
        link.confirm_hello()
        self._add_entries([hello.address])
        if self.peers.adopt(hello, link, dialled_by=dialled_by):
            self._send_known_entries(link)
            self._apply_effects(self.entry.peer_connected(hello.entry_id, now))

    def _peer_disconnected(self, peer_id: str, link: PeerLink) -> None:
        hello = self.peers.hellos.get(peer_id)
        if hello is None or not self.peers.discard(peer_id, link):
            return
        self.pull.remove_entry(peer_id)
        self.entry.peer_disconnected(peer_id)
        self.dialler.ensure_dialled(*hello.address.endpoint)

    def _handle_peer_message(
        self, peer_id: str, link: PeerLink, message: Any, now: float
    ) -> None:
        if isinstance(message, Beat):
            self.pull.record_version(peer_id, message.version)
            self.entry.peer_heartbeat_received(peer_id, now)
        elif isinstance(message, EntryPeers):
            self._add_entries(message.entries)
        elif isinstance(message, RoutingRequest):
            self._send_routing(link, message)
        elif isinstance(message, Routing):
            self._handle_routing(peer_id, message)
        else:
            self._apply_effects(
                self.entry.receive_from_peer(peer_id, message, now)
            )

    def _hello(self) -> EntryHello:
        return EntryHello(
            entry_id=self.settings.node,
            incarnation=self.incarnation,
            address=self.address,
        )

    def _add_entries(self, addresses: Iterable[PeerAddress]) -> None:
        """Connect to entries that were unknown, and report them to all.

        An entry is reported again once its failure domain is known.
        """
        new_addresses = [
            address for address in addresses if self._is_news(address)
        ]
        if not new_addresses:
            return
        for address in new_addresses:
            self.peers.known[address.endpoint] = address.failure_domain
            self.dialler.ensure_dialled(*address.endpoint)
        message = EntryPeers(entries=tuple(new_addresses))
        for link in (*self.agent_links.values(), *self.peers.links.values()):
            link.send(message)

    def _is_news(self, address: PeerAddress) -> bool:
        if address.endpoint == self.address.endpoint:
            return False
        known_domain = self.peers.known.get(address.endpoint)
        return known_domain is None or (
            address.failure_domain not in ("", known_domain)
        )

    def _handle_routing(self, peer_id: str, message: Routing) -> None:
        if message.version <= self.entry.version:
            return
        try:
            configuration = decode_routing(message.document)
        except ValueError as error:
            # Another release may write a document that this one can't read.
            # This version also arrives from the store.
            self.log.write(
                DependencyChanged(
                    name=peer_id,
                    state="unreadable configuration",
                    cause=str(error),
                )
            )
            return
        self.configure(configuration, source=peer_id)

    def _send_routing(self, link: PeerLink, request: RoutingRequest) -> None:
        """Send the active configuration to an entry that has an older one."""
        configuration = self.entry.configuration
        if configuration is None or request.version >= configuration.version:
            return
        link.send(
            Routing(
                version=configuration.version,
                document=encode_routing(configuration),
            )
        )

    def _pull_configuration(self, now: float) -> None:
        """Ask another entry for a configuration that the store delays."""
        entry_id = self.pull.find_entry_to_ask(self.entry.version, now)
        link = self.peers.links.get(entry_id) if entry_id else None
        if link is not None:
            link.send(RoutingRequest(version=self.entry.version))

    # Effects.

    def _apply_effects(self, effects: Iterable[EntryEffect]) -> None:
        links_to_flush: set[PeerLink] = set()
        for effect in effects:
            if isinstance(effect, SendToAgent):
                link = self.agent_links.get(effect.agent_id)
                if link is not None:
                    link.post(effect.message)
                    links_to_flush.add(link)
            elif isinstance(effect, SendToPeer):
                link = self.peers.links.get(effect.entry_id)
                if link is not None:
                    link.post(effect.message)
                    links_to_flush.add(link)
            elif isinstance(effect, CloseAgent):
                link = self.agent_links.pop(effect.agent_id, None)
                if link is not None:
                    link.close()
            elif isinstance(effect, ClosePeer):
                self._close_peer(effect.entry_id)
            elif effect.request_id in self.answer_events:
                self.answers[effect.request_id] = effect
                self.answer_events[effect.request_id].set()
        for link in links_to_flush:
            link.flush()

    def _close_peer(self, peer_id: str) -> None:
        """Close the link to a silent entry, and dial it anew."""
        hello = self.peers.hellos.get(peer_id)
        if hello is not None:
            self.peers.close(peer_id)
            self.pull.remove_entry(peer_id)
            self.dialler.ensure_dialled(*hello.address.endpoint)

    def _request_dispatch(self) -> None:
        self.dispatch_needed.set()

    async def _run_dispatch_loop(self) -> None:
        """Dispatch waiting tasks once after each batch of messages."""
        while True:
            await self.dispatch_needed.wait()
            self.dispatch_needed = trio.Event()
            self._apply_effects(
                self.entry.dispatch_waiting(self.clock.monotonic())
            )

    async def _tick(self) -> None:
        while True:
            now = self.clock.monotonic()
            self._apply_effects(self.entry.tick(now))
            self._pull_configuration(now)
            await trio.sleep(self.entry.limits.tick_interval_s)
