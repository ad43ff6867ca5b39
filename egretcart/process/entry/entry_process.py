"""Process of an entry: connections, timers and store access for `Entry`."""

from collections.abc import Iterable
import json
import random
import sys

import trio

from egretcart.connection.agent_messages import AgentHello
from egretcart.connection.agent_messages import FenceReply
from egretcart.connection.agent_messages import HeartbeatReply
from egretcart.connection.agent_messages import LedgerReply
from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import Roster
from egretcart.connection.dialler import Dialler
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import ConfigDocument
from egretcart.connection.entry_messages import ConfigRequest
from egretcart.connection.entry_messages import EntryBeat
from egretcart.connection.entry_messages import EntryHello
from egretcart.connection.entry_messages import EntryList
from egretcart.connection.entry_messages import Forward
from egretcart.connection.entry_messages import ForwardReply
from egretcart.connection.http_listener import HttpListener
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.leader_messages import Heartbeat
from egretcart.connection.link import Link
from egretcart.connection.messages import Message
from egretcart.connection.traffic import TrafficCounters
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.rosters import write_roster
from egretcart.process.clock import Clock
from egretcart.process.entry.caller_api import CallerApi
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.entry import Entry
from egretcart.process.entry.entry_effects import EntryEffect
from egretcart.process.entry.entry_effects import ReplyToCaller
from egretcart.process.entry.entry_effects import SendAgentConfig
from egretcart.process.entry.entry_effects import SendEntryList
from egretcart.process.entry.entry_effects import SendToPeer
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.process.entry.entry_observer import EntryObserver
from egretcart.process.logs import EventLog
from egretcart.process.logs import NullLog
from egretcart.process.metrics import Metrics
from egretcart.process.metrics import ProcessMetrics
from egretcart.process.operators.operator_api import OperatorApi
from egretcart.process.planned_stop import poll_until
from egretcart.process.settings import EntrySettings
from egretcart.process.store.etcd_platform import EtcdPlatform
from egretcart.process.store.platform import Platform
from egretcart.process.store.platform_follower import PlatformFollower
from egretcart.process.store.platform_metrics import PlatformMetrics
from egretcart.process.store.registration import Registrar
from egretcart.version.document import Configuration

TICK_INTERVAL_S = 0.02
TICKS_PER_STATE_CHECK = 5
# Wait before a failed roster write is reported to the entry.
ROSTER_WRITE_RETRY_S = 0.5
# Longest wait, at the end of a shutdown, for buffered messages to be sent.
FLUSH_TIMEOUT_S = 1.0
# Time within which an agent must send something after a heartbeat that asks
# for a reply.
HEARTBEAT_REPLY_TIMEOUT_S = 3.0
# Time without received data after which a link from another entry is closed.
# Longer than three of the longest heartbeat intervals between entries.
PEER_RECEIVE_TIMEOUT_S = 16.0
# Largest number of open links that entries and agents have dialled.
MAX_PEER_LINKS = 4096


class EntryProcess:
    """Runs one entry.

    Parameters
    ----------
    settings : EntrySettings
    limits : EntryLimits
    leader_limits : LeaderLimits
    clock : Clock
    log : EventLog, optional
        By default, nothing is logged.

    Attributes
    ----------
    platform : EtcdPlatform or None
        Client of the platform's store; None if the settings have no address
        of it.
    http : HttpListener
        Serves callers, and operators unless these have an address of their
        own.
    operator_http : HttpListener
        Serves operators; the same as `http` unless they have an address of
        their own.
    stop_limit_s : float
        Longest duration of `stop`, in seconds; after it, `abort` is called.
    address : EntryAddress
        Sent to other entries and to agents.
    http_port, operator_port, peer_port : int
        Ports for callers, for operators, and for entries and agents; 0
        before `run` listens.
    incarnation : int
        Unix time of the start of this process, in milliseconds.
    dialled_links, accepted_links : dict of str to Link
        Connections to other entries that this entry dialled, and those that
        it accepted, by entry id.
    agent_links : dict of str to Link
        Connections to agents, by agent id.
    open_peer_links : int
        Number of open links that entries and agents have dialled.
    registrar : Registrar or None
        Keeps this entry registered in the store; None without a store.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        limits: EntryLimits,
        leader_limits: LeaderLimits,
        clock: Clock,
        log: EventLog | None = None,
    ) -> None:
        self.settings = settings
        self.log = log or NullLog()
        self.traffic = TrafficCounters()
        self.metrics: Metrics = ProcessMetrics(traffic=self.traffic)
        self.observer: EntryObserver
        self.limits = limits
        self.leader_limits = leader_limits
        self.clock = clock
        self.platform: EtcdPlatform | None = None
        if settings.platform is not None:
            self.platform = EtcdPlatform(
                host=settings.platform.host,
                port=settings.platform.port,
                observer=PlatformMetrics(
                    process_id=settings.entry_id,
                    metrics=self.metrics,
                    log=self.log,
                ),
            )
        self.entry: Entry
        self.api: CallerApi
        self.http: HttpListener
        self.operator_http: HttpListener
        self.stop_limit_s = settings.stop_limit_s
        self.address: EntryAddress
        self.http_port = 0
        self.operator_port = 0
        self.peer_port = 0
        self.incarnation = clock.unix_ms()
        self.dialled_links: dict[str, Link] = {}
        self.accepted_links: dict[str, Link] = {}
        self.agent_links: dict[str, Link] = {}
        self.open_peer_links = 0
        self.dialler: Dialler
        self.nursery: trio.Nursery
        self.registrar: Registrar | None = None

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled."""
        peer = self.settings.peer
        peer_listeners = await trio.open_tcp_listeners(
            peer.port, host=peer.host
        )
        http = self.settings.http
        http_listeners = await trio.open_tcp_listeners(
            http.port, host=http.host
        )
        self.peer_port = peer_listeners[0].socket.getsockname()[1]
        self.http_port = http_listeners[0].socket.getsockname()[1]
        self.operator_port = self.http_port
        operators_address = self.settings.operators
        operator_listeners: list[trio.SocketListener] = []
        if operators_address is not None:
            operator_listeners = await trio.open_tcp_listeners(
                operators_address.port, host=operators_address.host
            )
            listener = operator_listeners[0]
            self.operator_port = listener.socket.getsockname()[1]
        advertised = self.settings.advertised
        self.address = EntryAddress(
            entry_id=self.settings.entry_id,
            host=advertised.host if advertised else peer.host,
            port=advertised.port if advertised else self.peer_port,
            weight=self.settings.weight,
            failure_domain=self.settings.failure_domain,
            http_host=(
                operators_address.host
                if operators_address is not None
                else http.host
            ),
            http_port=self.operator_port,
        )
        self.entry = Entry(
            address=self.address,
            incarnation=self.incarnation,
            configuration=Configuration(),
            limits=self.limits,
            leader_limits=self.leader_limits,
            clock=self.clock,
            has_platform=self.platform is not None,
        )
        self.observer = EntryObserver(
            entry=self.entry, metrics=self.metrics, log=self.log
        )
        operators = OperatorApi(
            entry=self.entry,
            platform=self.platform,
            metrics=self.metrics,
            guard=self.platform.guard if self.platform else None,
        )
        self.api = CallerApi(
            entry=self.entry,
            apply_effects=self.apply_effects,
            metrics=self.metrics,
            clock=self.clock,
            operators=operators if operators_address is None else None,
        )
        self.http = HttpListener(handler=self.api.handle, limits=HttpLimits())
        self.operator_http = self.http
        if operators_address is not None:
            self.operator_http = HttpListener(
                handler=operators.handle_operator_request, limits=HttpLimits()
            )
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(
                trio.serve_listeners, self._run_accepted_link, peer_listeners
            )
            nursery.start_soon(self.http.serve, http_listeners, nursery)
            if operators_address is not None:
                nursery.start_soon(
                    self.operator_http.serve, operator_listeners, nursery
                )
            self.dialler = Dialler(
                nursery=nursery,
                seeds=[(seed.host, seed.port) for seed in self.settings.seeds],
                run_connection=self._run_dialled_link,
                own=(self.address.host, self.address.port),
            )
            if self.platform is not None:
                self._follow_platform(self.platform)
            nursery.start_soon(self._tick)
            task_status.started()

    async def print_ready(self) -> None:
        """Print the ports on which the process listens, as JSON."""
        ports = {
            "role": "entry",
            "id": self.settings.entry_id,
            "http_port": self.http_port,
            "operator_port": self.operator_port,
            "peer_port": self.peer_port,
        }
        print(json.dumps(ports))
        sys.stdout.flush()

    # Graceful shutdown.

    async def stop(self) -> None:
        """Hand over the led cells; return when all callers are answered."""
        self.api.stopping = True
        self.http.stopping = self.operator_http.stopping = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hand_over)
            if self.registrar is not None:
                nursery.start_soon(self.registrar.leave)
            await trio.sleep(self.settings.stop_grace_s)
            await self.http.close()
            await self.operator_http.close()
            nursery.cancel_scope.cancel()
        await self._flush()

    async def _hand_over(self) -> None:
        """Resign as soon as another entry can take over."""
        await poll_until(self._has_successor)
        self.apply_effects(self.entry.leave())

    def _has_successor(self) -> bool:
        peers = self.entry.directory.live_peers(self.clock.monotonic())
        return any(not peer.leaving for peer in peers)

    async def abort(self) -> None:
        """Answer waiting callers with `MAY_HAVE_RUN` and close at once."""
        self.api.fail_waiting_requests()
        for listener in (self.http, self.operator_http):
            listener.abort_receiving()
            await listener.close()

    async def _flush(self) -> None:
        """Wait until the buffered messages of all links are sent."""
        links = [
            *self.dialled_links.values(),
            *self.accepted_links.values(),
            *self.agent_links.values(),
        ]
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            await poll_until(lambda: all(link.is_flushed for link in links))

    # Links.

    def _hello(self) -> EntryHello:
        return EntryHello(address=self.address, incarnation=self.incarnation)

    async def _run_dialled_link(self, stream: trio.SocketStream) -> None:
        await self._run_connection(stream, self.dialled_links)

    async def _run_accepted_link(self, stream: trio.SocketStream) -> None:
        if self.open_peer_links >= MAX_PEER_LINKS:
            await trio.aclose_forcefully(stream)
            return
        self.open_peer_links += 1
        try:
            await self._run_connection(stream, self.accepted_links)
        finally:
            self.open_peer_links -= 1

    async def _run_connection(
        self, stream: trio.SocketStream, entry_links: dict[str, Link]
    ) -> None:
        """Exchange messages with an entry or agent until the link ends.

        Parameters
        ----------
        stream : trio.SocketStream
        entry_links : dict of str to Link
            Where the link is kept if the peer is an entry.
        """
        # Each entry sends on the link that it dialled, so only accepted links
        # have a receive timeout.
        receives = entry_links is self.accepted_links
        receive_timeout_s = (
            PEER_RECEIVE_TIMEOUT_S if receives else float("inf")
        )
        link = Link(stream=stream, traffic=self.traffic)
        name = ""
        links: dict[str, Link] = {}

        def handle(message: Message) -> None:
            nonlocal name, links
            if isinstance(message, AgentHello):
                name, links = message.agent_id, self.agent_links
                link.confirm_hello()
                self._replace_link(name, links, link)
                self.apply_effects(self.entry.agent_connected(message))
            elif isinstance(message, EntryHello):
                name, links = message.address.entry_id, entry_links
                link.confirm_hello(receive_timeout_s=receive_timeout_s)
                self._replace_link(name, links, link)
                self._handle_peer_hello(message)
            elif links is self.agent_links:
                self._handle_agent_message(name, message)
            elif links is entry_links:
                self._handle_peer_message(name, message)

        await link.run(handle, first=[self._hello()])
        if links.get(name) is not link:
            return
        del links[name]
        self._handle_link_end(name, links)

    def _replace_link(
        self, name: str, links: dict[str, Link], link: Link
    ) -> None:
        """Keep a link by its peer's id; close an older one to that peer."""
        former = links.get(name)
        links[name] = link
        if former is None or former is link:
            return
        former.close()
        self._handle_link_end(name, links)

    def _handle_link_end(self, name: str, links: dict[str, Link]) -> None:
        """Handle the end of a link; messages sent on it may be lost."""
        if links is self.agent_links:
            self.observer.agent_lost(name)
            self.apply_effects(self.entry.agent_disconnected(name))
        else:
            self.apply_effects(self.entry.peer_lost(name))

    def _handle_peer_hello(self, hello: EntryHello) -> None:
        address = hello.address
        self.dialler.ensure_dialled(address.host, address.port)
        self.apply_effects(
            self.entry.peer_connected(address, hello.incarnation)
        )

    def _handle_agent_message(self, agent_id: str, message: Message) -> None:
        if isinstance(
            message, FenceReply | HeartbeatReply | LedgerReply | TaskResult
        ):
            self.observer.agent_message(agent_id, message)
            self.apply_effects(self.entry.agent_message(agent_id, message))

    def _handle_peer_message(self, entry_id: str, message: Message) -> None:
        if isinstance(message, EntryList):
            for address in message.entries:
                self.dialler.ensure_dialled(address.host, address.port)
        elif isinstance(
            message,
            EntryBeat
            | Forward
            | ForwardReply
            | ConfigRequest
            | ConfigDocument,
        ):
            self.apply_effects(self.entry.peer_message(entry_id, message))

    # Effects.

    def apply_effects(self, effects: Iterable[EntryEffect]) -> None:
        """Apply effects that the decision logic returned."""
        for effect in effects:
            self.observer.record_effect(effect)
            if isinstance(
                effect, SendToAgent | SendEntryList | SendAgentConfig
            ):
                link = self.agent_links.get(effect.agent_id)
                if link is not None:
                    self._send_to_agent(link, effect.message)
            elif isinstance(effect, SendToPeer):
                self._send_to_peer(effect)
            elif isinstance(effect, ReplyToCaller):
                self.api.deliver_reply(effect.request_id, effect.reply)
            else:
                self.nursery.start_soon(
                    self._write_roster, effect.cell, effect.roster
                )

    def _send_to_agent(self, link: Link, message: Message) -> None:
        link.send(message)
        if isinstance(message, Heartbeat) and message.round:
            link.require_receive_within(HEARTBEAT_REPLY_TIMEOUT_S)

    def _send_to_peer(self, effect: SendToPeer) -> None:
        link = self.dialled_links.get(
            effect.entry_id
        ) or self.accepted_links.get(effect.entry_id)
        if link is not None:
            link.send(effect.message)

    async def _write_roster(self, cell: Cell, roster: Roster) -> None:
        """Write a cell's roster and pass on the one that is stored then."""
        stored = None
        if self.platform is not None:
            stored = await write_roster(self.platform, cell, roster)
        if stored is None:
            await trio.sleep(ROSTER_WRITE_RETRY_S)
        self.apply_effects(self.entry.roster_known(cell, stored))

    def _follow_platform(self, platform: Platform) -> None:
        """Watch the store and keep this entry registered in it."""
        source = random.Random()
        entry = self.entry
        follower = PlatformFollower(
            platform=platform,
            source=source,
            on_read_started=entry.sync.platform_read_began,
            on_configuration=lambda document: self.apply_effects(
                entry.platform_configuration(document)
            ),
            on_entry=lambda address: self.dialler.ensure_dialled(
                address.host, address.port
            ),
            on_roster=entry.record_roster,
            on_failure=lambda: self.apply_effects(entry.platform_failed()),
        )
        self.registrar = Registrar(
            platform=platform, address=self.address, source=source
        )
        self.nursery.start_soon(follower.run)
        self.nursery.start_soon(self.registrar.run)

    async def _tick(self) -> None:
        while True:
            for _ in range(TICKS_PER_STATE_CHECK):
                self.apply_effects(self.entry.tick())
                await trio.sleep(TICK_INTERVAL_S)
            self.observer.record_state_changes()
