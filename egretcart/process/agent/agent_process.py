"""Process of an agent: does the network I/O for the logic in `Agent`."""

from collections.abc import Iterable
import contextlib
import json
import random
import sys
import urllib.parse

import trio

from egretcart.connection.dialler import Dialler
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import AgentConfig
from egretcart.connection.entry_messages import EntryHello
from egretcart.connection.entry_messages import EntryList
from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.connection.http_listener import HttpListener
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.leader_messages import LeaderMessage
from egretcart.connection.leader_messages import Start
from egretcart.connection.link import Link
from egretcart.connection.messages import Message
from egretcart.connection.traffic import TrafficCounters
from egretcart.process.agent.agent import Agent
from egretcart.process.agent.agent_observer import AgentObserver
from egretcart.process.agent.agent_types import AbortExchange
from egretcart.process.agent.agent_types import AgentEffect
from egretcart.process.agent.agent_types import AgentIdentity
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.agent.agent_types import BeginExchange
from egretcart.process.agent.agent_types import ExchangeOutcome
from egretcart.process.agent.agent_types import SendToEntry
from egretcart.process.agent.agent_types import TaskKey
from egretcart.process.clock import Clock
from egretcart.process.logs import EventLog
from egretcart.process.logs import NullLog
from egretcart.process.metrics import Metrics
from egretcart.process.metrics import ProcessMetrics
from egretcart.process.planned_stop import poll_until
from egretcart.process.settings import Address
from egretcart.process.settings import AgentSettings
from egretcart.process.store.etcd_platform import EtcdPlatform
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform_metrics import PlatformMetrics
from egretcart.process.store.registration import list_entries
from egretcart.request.identity import JobId
from egretcart.request.verdict import Verdict

TICK_INTERVAL_S = 0.1
# Longest wait, at the end of a shutdown, for buffered messages to be sent.
FLUSH_TIMEOUT_S = 1.0
# Longest wait of a shutdown for the agent's removal from the roster.
REMOVAL_TIMEOUT_S = 3.0
SUCCESS_STATUSES = range(200, 300)
MS_PER_S = 1000
# Time between look-ups of entries in the store while none is connected. It
# doubles with each look-up up to the maximum; jitter reduces it by half at
# most.
DISCOVERY_INTERVAL_S = 1.0
MAX_DISCOVERY_INTERVAL_S = 15.0
# Health checks and metrics need few connections and no request bodies.
HTTP_LIMITS = HttpLimits(max_connections=64, max_body_bytes=0)


class AgentProcess:
    """Runs one agent.

    Parameters
    ----------
    settings : AgentSettings
    limits : AgentLimits
    clock : Clock
    log : EventLog, optional
        By default, nothing is logged.

    Attributes
    ----------
    stop_limit_s : float
        Longest duration of `stop`, in seconds; after it, `abort` is called.
    http_port : int
        Port of the health checks and metrics; 0 if they are not served.
    links : dict of str to Link
        Connections to entries, by entry id.
    exchanges : dict of TaskKey to trio.CancelScope
        Cancel scopes of the running exchanges with the backend server.
    """

    def __init__(
        self,
        *,
        settings: AgentSettings,
        limits: AgentLimits,
        clock: Clock,
        log: EventLog | None = None,
    ) -> None:
        self.settings = settings
        self.stop_limit_s = settings.stop_limit_s
        self.clock = clock
        self.agent = Agent(
            identity=AgentIdentity(
                agent_id=settings.agent_id,
                incarnation=clock.unix_ms(),
                service=settings.service,
                failure_domain=settings.failure_domain,
                slots=settings.slots,
                connections=settings.connections,
            ),
            limits=limits,
            clock=clock,
        )
        self.traffic = TrafficCounters()
        self.metrics: Metrics = ProcessMetrics(traffic=self.traffic)
        self.log = log or NullLog()
        self.observer = AgentObserver(
            agent=self.agent, metrics=self.metrics, log=self.log
        )
        self.http_port = 0
        self.client = HttpClient(
            host=settings.backend.host,
            port=settings.backend.port,
            max_connections=settings.connections,
        )
        self.links: dict[str, Link] = {}
        self.exchanges: dict[TaskKey, trio.CancelScope] = {}
        self.dialler: Dialler
        self.nursery: trio.Nursery

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await self._listen()
            self.dialler = Dialler(
                nursery=nursery,
                seeds=[(seed.host, seed.port) for seed in self.settings.seeds],
                run_connection=self._run_connection,
            )
            if self.settings.platform is not None:
                nursery.start_soon(
                    self._discover_entries, self.settings.platform
                )
            nursery.start_soon(self._tick)
            task_status.started()

    async def stop(self) -> None:
        """Shut down gracefully.

        Admits no new starts, waits until the running tasks have ended and
        the agent is removed from the roster, and sends the messages that
        are still buffered.
        """
        self._apply_effects(self.agent.drain())
        await poll_until(lambda: not self.exchanges)
        # Without the removal, the cell would lack this member's vote until
        # it removes the lost agent. The wait is limited because the removal
        # is impossible while the platform is down.
        with trio.move_on_after(REMOVAL_TIMEOUT_S):
            await poll_until(lambda: not self.agent.is_roster_member)
        await self._flush()

    async def abort(self) -> None:
        """Abort the running exchanges and report this to the leader."""
        for scope in self.exchanges.values():
            scope.cancel()
        await poll_until(lambda: not self.exchanges)
        await self._flush()

    async def _flush(self) -> None:
        """Wait until the buffered messages of all links are sent."""
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            await poll_until(
                lambda: all(link.is_flushed for link in self.links.values())
            )

    async def print_ready(self) -> None:
        """Print a JSON line that reports the process as ready."""
        ready = {
            "role": "agent",
            "id": self.settings.agent_id,
            "http_port": self.http_port,
        }
        print(json.dumps(ready))
        sys.stdout.flush()

    async def _listen(self) -> None:
        """Serve health checks and metrics if the settings have an address."""
        address = self.settings.http
        if address is None:
            return
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host
        )
        self.http_port = listeners[0].socket.getsockname()[1]
        server = HttpListener(handler=self.observer.handle, limits=HTTP_LIMITS)
        self.nursery.start_soon(server.serve, listeners, self.nursery)

    async def _discover_entries(self, address: Address) -> None:
        """Look up entries in the platform's store while none is connected."""
        platform = EtcdPlatform(
            host=address.host,
            port=address.port,
            observer=PlatformMetrics(
                process_id=self.settings.agent_id,
                metrics=self.metrics,
                log=self.log,
            ),
        )
        interval_s = DISCOVERY_INTERVAL_S
        while True:
            if self.links:
                interval_s = DISCOVERY_INTERVAL_S
            else:
                with contextlib.suppress(PlatformError):
                    self._connect_to_entries(await list_entries(platform))
                interval_s = min(MAX_DISCOVERY_INTERVAL_S, interval_s * 2)
            await trio.sleep(interval_s * random.uniform(0.5, 1.0))

    async def _run_connection(self, stream: trio.SocketStream) -> None:
        """Exchange messages with an entry until the connection ends."""
        link = Link(stream=stream, traffic=self.traffic)
        entry_id: str | None = None

        def handle(message: Message) -> None:
            nonlocal entry_id
            if isinstance(message, EntryHello):
                entry_id = message.address.entry_id
                link.confirm_hello()
                replaced = self.links.get(entry_id)
                if replaced is not None:
                    replaced.close()
                self.links[entry_id] = link
            elif isinstance(message, EntryList):
                self._connect_to_entries(message.entries)
            elif isinstance(message, AgentConfig):
                self._apply_effects(self.agent.configure(message))
            elif entry_id is not None and isinstance(message, LeaderMessage):
                self._apply_effects(self.agent.receive(entry_id, message))

        await link.run(handle, first=[self.agent.hello()])
        if entry_id is not None and self.links.get(entry_id) is link:
            del self.links[entry_id]
            self.agent.disconnected(entry_id)

    def _connect_to_entries(self, entries: Iterable[EntryAddress]) -> None:
        for entry in entries:
            self.dialler.ensure_dialled(entry.host, entry.port)

    def _apply_effects(self, effects: Iterable[AgentEffect]) -> None:
        for effect in effects:
            self.observer.record_effect(effect)
            if isinstance(effect, SendToEntry):
                link = self.links.get(effect.entry_id)
                if link is not None:
                    link.send(effect.message)
            elif isinstance(effect, BeginExchange):
                scope = trio.CancelScope()
                key = (effect.start.job_id, effect.start.task)
                self.exchanges[key] = scope
                self.nursery.start_soon(
                    self._exchange, effect.start, effect.time_limit_s, scope
                )
            elif isinstance(effect, AbortExchange):
                self.exchanges[effect.key].cancel()

    async def _exchange(
        self, start: Start, time_limit_s: float, scope: trio.CancelScope
    ) -> None:
        """Run one task as an HTTP exchange with the backend server."""
        key = (start.job_id, start.task)
        began_at = self.clock.monotonic()
        outcome = ExchangeOutcome(
            succeeded=False,
            verdict=Verdict.MAY_HAVE_RUN,
            error="the exchange was broken off",
        )
        with scope:
            outcome = await self._post(start, time_limit_s, began_at)
        del self.exchanges[key]
        self._apply_effects(self.agent.exchange_ended(key, outcome))

    async def _post(
        self, start: Start, time_limit_s: float, began_at: float
    ) -> ExchangeOutcome:
        """Post a task's payload to the backend server.

        Parameters
        ----------
        start : Start
        time_limit_s : float
            Time limit of the exchange, in seconds.
        began_at : float
            Monotonic time, in seconds, from which the run time is counted.

        Returns
        -------
        ExchangeOutcome
        """
        job_id = JobId(start.job_id)
        headers = (
            ("Idempotency-Key", f"{job_id}/{start.task}"),
            ("Egretcart-Time-Left-Ms", str(int(time_limit_s * MS_PER_S))),
            ("Egretcart-Kind", urllib.parse.quote(start.kind)),
        )
        try:
            response = await self.client.exchange(
                "POST",
                self.settings.backend_path,
                body=start.payload,
                headers=headers,
                time_limit_s=time_limit_s,
                check_before_send=lambda: self.agent.reason_not_to_send(start),
            )
        except ExchangeError as error:
            return ExchangeOutcome(
                succeeded=False,
                verdict=error.verdict,
                error=str(error),
                run_time_s=self.clock.monotonic() - began_at,
            )
        succeeded = response.status in SUCCESS_STATUSES
        return ExchangeOutcome(
            succeeded=succeeded,
            verdict=Verdict.RAN,
            body=response.body if succeeded else b"",
            content_type=response.headers.get("content-type", ""),
            error="" if succeeded else f"status {response.status}",
            run_time_s=self.clock.monotonic() - began_at,
        )

    async def _tick(self) -> None:
        while True:
            self._apply_effects(self.agent.tick())
            self.observer.record_state_changes()
            await trio.sleep(TICK_INTERVAL_S)
