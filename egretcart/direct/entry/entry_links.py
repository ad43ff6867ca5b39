"""The links of an entry to agents and other entries."""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import trio

from egretcart.connection.accepting import serve_streams
from egretcart.connection.dialler import Dialler
from egretcart.connection.peer_link import PeerLink
from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.connection.accept_log import accept_logger
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import EntryHello
from egretcart.direct.connection.messages import EntryPeers
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.peer_messages import Routing
from egretcart.direct.connection.peer_messages import RoutingRequest
from egretcart.direct.connection.peer_registry import PeerRegistry
from egretcart.direct.connection.violations import log_violation
from egretcart.direct.connection.wire import DIRECT_PROTOCOL
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import CloseAgent
from egretcart.direct.entry.entry_types import ClosePeer
from egretcart.direct.entry.entry_types import EntryEffect
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import DependencyChanged
from egretcart.direct.version.configuration import decode_routing
from egretcart.direct.version.configuration import encode_routing
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.direct.version.configuration_pull import ConfigurationPull
from egretcart.direct.version.configuration_pull import ConfigurationPullLimits
from egretcart.process.clock import Clock


class EntryLinks:
    """Exchanges the messages of an entry with agents and other entries.

    Parameters
    ----------
    entry : DirectEntry
    clock : Clock
    log : DecisionLog
    traffic : TrafficCounters
        Counters of the messages on the links.
    address : PeerAddress
        Where agents and other entries connect to this entry.
    incarnation : int
        Start of the process, in Unix milliseconds.
    on_answer : callable
        Called with each answer of the entry.
    on_agent_message : callable
        Called after each message of an agent that says something new.
    on_configuration : callable
        Called with a configuration of another entry and that entry's id.

    Attributes
    ----------
    agent_links : dict of str to PeerLink
        Links that agents have opened, by agent id.
    peers : PeerRegistry
        Links to other entries, and the addresses of all that were reported.
    pull : ConfigurationPull
        Versions of the other entries, and the request to one of them.
    dialler : Dialler
        Opens links to other entries; set by `start`.
    """

    def __init__(
        self,
        *,
        entry: DirectEntry,
        clock: Clock,
        log: DecisionLog,
        traffic: TrafficCounters,
        address: PeerAddress,
        incarnation: int,
        on_answer: Callable[[Answer], None],
        on_agent_message: Callable[[], None],
        on_configuration: Callable[[RoutingConfiguration, str], None],
    ) -> None:
        self.entry = entry
        self.clock = clock
        self.log = log
        self.traffic = traffic
        self.address = address
        self.incarnation = incarnation
        self.on_answer = on_answer
        self.on_agent_message = on_agent_message
        self.on_configuration = on_configuration
        self.agent_links: dict[str, PeerLink] = {}
        self.peers = PeerRegistry(entry_id=entry.entry_id)
        self.pull = ConfigurationPull(
            limits=ConfigurationPullLimits(), choose=random.choice
        )
        self.dialler: Dialler

    def start(
        self, nursery: trio.Nursery, seeds: Iterable[tuple[str, int]]
    ) -> None:
        """Connect to the seeds, and to all entries that are reported."""
        seeds = list(seeds)
        for endpoint in seeds:
            if endpoint != self.address.endpoint:
                self.peers.known[endpoint] = ""
        self.dialler = Dialler(
            nursery=nursery,
            seeds=seeds,
            run_connection=self.serve_dialled,
            own=self.address.endpoint,
            policy=self.peers,
        )

    async def serve_listeners(
        self, listeners: list[trio.SocketListener]
    ) -> None:
        """Accept the links that agents and entries open, until cancelled."""
        await serve_streams(
            self.serve_accepted,
            listeners,
            on_change=accept_logger(self.log, "peers"),
        )

    async def serve_accepted(self, stream: trio.SocketStream) -> None:
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
                self.apply_effects(self.entry.agent_connected(message, now))
            elif agent_id and self.agent_links.get(agent_id) is link:
                self.apply_effects(self.entry.receive(agent_id, message, now))
                if not isinstance(message, Beat):
                    self.on_agent_message()

        await link.run(handle, first=[self._hello()])
        log_violation(self.log, link, agent_id or peer_id)
        self._peer_disconnected(peer_id, link)
        if agent_id and self.agent_links.get(agent_id) is link:
            del self.agent_links[agent_id]
            now = self.clock.monotonic()
            self.apply_effects(self.entry.agent_disconnected(agent_id, now))

    async def serve_dialled(self, stream: trio.SocketStream) -> None:
        """Exchange messages on a link to another entry opened from here."""
        link = self._make_link(stream)
        peer_id = ""

        def handle(message: Any) -> None:
            nonlocal peer_id
            now = self.clock.monotonic()
            if isinstance(message, EntryHello) and not peer_id:
                peer_id = message.entry_id
                self._peer_connected(message, link, self.entry.entry_id, now)
            elif peer_id:
                self._handle_peer_message(peer_id, link, message, now)

        await link.run(handle, first=[self._hello()])
        log_violation(self.log, link, peer_id)
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
            self.apply_effects(self.entry.agent_disconnected(agent_id, now))

    def _peer_connected(
        self, hello: EntryHello, link: PeerLink, dialled_by: str, now: float
    ) -> None:
        link.confirm_hello()
        self.add_entries([hello.address])
        if self.peers.adopt(hello, link, dialled_by=dialled_by):
            self._send_known_entries(link)
            self.apply_effects(self.entry.peer_connected(hello.entry_id, now))

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
            self.entry.peer_heartbeat_received(
                peer_id, now, message.lateness_ms
            )
        elif isinstance(message, EntryPeers):
            self.add_entries(message.entries)
        elif isinstance(message, RoutingRequest):
            self._send_routing(link, message)
        elif isinstance(message, Routing):
            self._handle_routing(peer_id, message)
        else:
            self.apply_effects(
                self.entry.receive_from_peer(peer_id, message, now)
            )

    def _hello(self) -> EntryHello:
        return EntryHello(
            entry_id=self.entry.entry_id,
            incarnation=self.incarnation,
            address=self.address,
        )

    def add_entries(self, addresses: Iterable[PeerAddress]) -> None:
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
        self.on_configuration(configuration, peer_id)

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

    def pull_configuration(self, now: float) -> None:
        """Ask another entry for a configuration that the store delays."""
        entry_id = self.pull.find_entry_to_ask(self.entry.version, now)
        link = self.peers.links.get(entry_id) if entry_id else None
        if link is not None:
            link.send(RoutingRequest(version=self.entry.version))

    def _close_peer(self, peer_id: str) -> None:
        """Close the link to a silent entry, and dial it anew."""
        hello = self.peers.hellos.get(peer_id)
        if hello is not None:
            self.peers.close(peer_id)
            self.pull.remove_entry(peer_id)
            self.dialler.ensure_dialled(*hello.address.endpoint)

    def apply_effects(self, effects: Iterable[EntryEffect]) -> None:
        """Send messages, close links and pass answers on."""
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
            else:
                self.on_answer(effect)
        for link in links_to_flush:
            link.flush()
