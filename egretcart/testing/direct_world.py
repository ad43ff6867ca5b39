"""Simulation of a whole deployment of direct dispatch, with faults.

Entries, agents, backend servers and callers exchange messages over links
with a delay, in simulated time. Links can be blocked and broken, processes
killed and paused, and backend servers can leave requests unanswered or
execute them late. Operators drain failure domains through a store that can be
out of reach. While it runs, the simulation checks five invariants: no task
runs on two backend servers at a time, no task of a refused job runs, no
backend server is sent more than its capacity, nothing is started in a
failure domain that the agent knows to be drained, or that has been drained
for longer than a bound, and a task starts only at a backend server of a
service to which some configuration sends its route.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import math
import random
from typing import Any

from egretcart.direct.agent.agent import DirectAgent
from egretcart.direct.agent.agent_types import AgentEffect
from egretcart.direct.agent.agent_types import CloseEntryLink
from egretcart.direct.agent.agent_types import DialEntry
from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import SendStartRequest
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import StartRequest
from egretcart.direct.backend.backend import StopRequest
from egretcart.direct.backend.suspicion import SuspicionLimits
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.working_set import WorkingSetLimits
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import CloseAgent
from egretcart.direct.entry.entry_types import ClosePeer
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import EntryEffect
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.policy.confinement import ConfinementLimits
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.request.job import TaskKey
from egretcart.direct.version.configuration import Route
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.direct.version.drained_domains import DrainedDomains
from egretcart.testing.fake_backend import FakeBackend
from egretcart.testing.fake_backend import TaskSize

TICK_INTERVAL_S = 0.05
# Agents poll their backend servers at this interval, and also as soon as a
# check finds the last answer of the server too old.
POLL_INTERVAL_S = 0.1
RENEWAL_CHECK_INTERVAL_S = 0.06
MAX_ANSWER_AGE_S = 0.13
# After this time, an agent handles a call as unanswered.
BACKEND_TIMEOUT_S = 0.25
# Entries and agents try to create missing links at this interval.
REDIAL_INTERVAL_S = 0.1
# Interval of the backend servers' reports of their state.
REPORT_INTERVAL_S = 1.5
# Time from the shrinking of a server until it may get no more than it has: in
# touch for 3 s, and one report later.
RESIZE_NOTICE_S = 3.0 + REPORT_INTERVAL_S
# Interval at which entries read the store again, in case that they have
# missed a change.
STORE_READ_INTERVAL_S = 1.0
# Time until a caller without an answer submits its job again.
RESUBMIT_DELAY_S = 1.3
# The backend servers advance every five steps.
SIMULATION_STEP_S = 0.001
SERVICE = "service"
DEFAULT_ROUTE = Route(
    name="route",
    host="host",
    prefix="/jobs/",
    service=SERVICE,
    max_attempts=4,
    stretch=1.6,
    slack_ms=60.0,
)


@dataclasses.dataclass(kw_only=True)
class CallerRequest:
    """A caller's job and its answer.

    Attributes
    ----------
    job : Job
    route : Route
        Route by which the entry accepts the job.
    sent_at : float
        Simulated time of the first submission, in seconds.
    entry_id : str
        Entry of the last submission; empty before the first one.
    submission_count : int
        Number of submissions so far; above 1 if the job was submitted again
        after a broken connection or an interrupted answer.
    answer : Answer or None
        None as long as there is no final answer; after an interrupted
        answer the job is submitted again.
    answered_at : float
        Simulated time of the final answer, in seconds; 0 before it.
    wait_limit_s : float
        How long the caller waits, in seconds from `sent_at`.
    caller_disconnected : bool
        Whether the caller has abandoned the request. The job is not
        submitted again, and a later answer is ignored.
    """

    job: Job
    route: Route
    sent_at: float
    entry_id: str = ""
    submission_count: int = 0
    answer: Answer | None = None
    answered_at: float = 0.0
    wait_limit_s: float = math.inf
    caller_disconnected: bool = False

    @property
    def elapsed_s(self) -> float:
        """Time from the first submission to the answer, in seconds."""
        return self.answered_at - self.sent_at


@dataclasses.dataclass(kw_only=True)
class SimulatedProcess:
    """State of a simulated entry or agent process.

    Attributes
    ----------
    name : str
        ID of the entry or of the agent.
    incarnation_number : int
        1 for the first incarnation of the process, one higher after each
        kill.
    is_up : bool
        False from a kill until the restart.
    paused : bool
        Whether the process does nothing but keeps its state.
    deferred_actions : list of callable
        Handlers of messages and answers that arrived during a pause; run
        in order when it ends.
    """

    name: str
    incarnation_number: int = 1
    is_up: bool = True
    paused: bool = False
    deferred_actions: list[Callable[[], None]] = dataclasses.field(
        default_factory=list
    )


class SimulatedDeployment:
    """A simulated deployment, whose time passes only in `run`.

    Parameters
    ----------
    entries, agents : int
        Number of entries, and of agents with a backend server each.
    seed : int
        Seed of all random choices.
    capacity : Room, optional
        Capacity of each backend server; 16 processors and 64 GB of memory
        by default.
    speeds : tuple of float, optional
        Speeds of the backend servers, assigned to them in turn. A task with
        10 ms of work runs for 5 ms on a server of speed 2.
    log : DecisionLog, optional
        Receives the decisions of all entries and agents; by default they
        are not recorded.
    working_set : WorkingSetLimits, optional
        How many entries an agent serves.
    suspicion : SuspicionLimits, optional
        When agents suspect their backend servers; never by default.
    failure_domains : tuple of str, optional
        Failure domains of the agents, assigned to them in turn. Without
        any, entries follow no drains.
    confinement : ConfinementLimits, optional
        When entries confine routes whose jobs crash servers; never by
        default.
    services : tuple of str, optional
        Services of the backend servers, assigned to them in turn.

    Attributes
    ----------
    now : float
        Simulated time in seconds.
    events : list of (float, int, callable)
        Heap of the scheduled actions: simulated time in seconds, a sequence
        number that keeps actions of the same time in order, and the action.
    sequence_numbers : itertools.count
        Source of the sequence numbers of `events` and of the numbers of
        links.
    task_behaviours : dict of str to TaskSize
        Actual size and outcome of the tasks of each job, by job ID.
    unanswered : float
        Share of the calls to backend servers that get no answer, from 0
        to 1.
    late : float
        Share of the unanswered calls that the backend server executes all
        the same, 2 to 12 s later; from 0 to 1.
    crash_downtime_s : float
        Time after which a backend server restarts that a task has crashed,
        in seconds.
    crashes_silently : bool
        Whether calls to a server that a task has crashed get no answer,
        rather than being refused.
    unreachable : set of str
        Agents whose backend server runs on, but breaks off each call.
    delay_s : float
        Time from the sending of a message to its arrival, in seconds.
    blocked_directions : set of (str, str)
        Pairs of sender and receiver between which nothing arrives.
    links : dict of (str, str) to int
        Number of the current link of two processes, by their names in
        alphabetical order. A new link has another number.
    silent : set of int
        Numbers of the links that have lost a message and deliver nothing
        more.
    processes : dict of str to SimulatedProcess
        Entries and agents by name.
    backends : dict of str to FakeBackend
        Backend servers, by the name of their agent.
    drained : DrainedDomains
        What the store has of the drained failure domains.
    drained_since : dict of str to float
        Simulated time of the drain of each drained failure domain.
    drain_bound_s : float
        Time after a drain from which a start in that failure domain is a
        violation, in seconds.
    unreached : set of str
        Entries that don't reach the store.
    configuration : RoutingConfiguration
        The newest one, which entries have from their start.
    services_of_route : dict of str to set of str
        Services to which any configuration has sent a route, by its name.
    waiting : dict of int to (CallerRequest, str)
        Submissions without an answer by request number, each with the name
        of its entry.
    requests : list of CallerRequest
        All requests of callers, in the order of their first submission.
    violations : list of str
        Descriptions of the violated invariants; empty in a correct run.
    """

    def __init__(
        self,
        *,
        entries: int,
        agents: int,
        seed: int,
        capacity: Room | None = None,
        speeds: tuple[float, ...] = (1.0,),
        log: DecisionLog | None = None,
        working_set: WorkingSetLimits | None = None,
        suspicion: SuspicionLimits | None = None,
        failure_domains: tuple[str, ...] = (),
        confinement: ConfinementLimits | None = None,
        services: tuple[str, ...] = (SERVICE,),
    ) -> None:
        self.source = random.Random(seed)
        self.agent_limits = DirectAgentLimits(
            working_set=working_set or WorkingSetLimits(),
            suspicion=suspicion or SuspicionLimits(),
        )
        self.confinement = confinement or ConfinementLimits()
        self.capacity = capacity or Room(16_000, 65_536, 0)
        self.log = log or NullDecisionLog()
        self.now = 1000.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()
        self.request_numbers = itertools.count(1)
        self.task_behaviours: dict[str, TaskSize] = {}
        self.unanswered = 0.0
        self.late = 0.5
        self.crash_downtime_s = 3.0
        self.crashes_silently = False
        self.unreachable: set[str] = set()
        self.delay_s = 0.0005
        self.blocked_directions: set[tuple[str, str]] = set()
        self.links: dict[tuple[str, str], int] = {}
        self.silent: set[int] = set()
        self.processes: dict[str, SimulatedProcess] = {}
        self.entries: dict[str, DirectEntry] = {}
        self.agents: dict[str, DirectAgent] = {}
        self.backends: dict[str, FakeBackend] = {}
        self.failure_domains = failure_domains
        self.drained = DrainedDomains(revision=1)
        self.drained_since: dict[str, float] = {}
        self.drain_bound_s = math.inf
        self.unreached: set[str] = set()
        self.waiting: dict[int, tuple[CallerRequest, str]] = {}
        self.requests: list[CallerRequest] = []
        self.violations: list[str] = []
        self.services = services
        self.configuration = RoutingConfiguration()
        self.services_of_route: dict[str, set[str]] = {}
        self.configure((DEFAULT_ROUTE,))
        for number in range(entries):
            self._add_entry(f"entry-{number}")
        for number in range(agents):
            speed = speeds[number % len(speeds)]
            self._add_agent(f"agent-{number}", speed)
        self._schedule_every(SIMULATION_STEP_S * 5, self._advance_backends)

    # Construction.

    def _add_entry(self, name: str) -> None:
        self.processes[name] = SimulatedProcess(name=name)
        self._create_entry(name)
        self._schedule_every(
            TICK_INTERVAL_S,
            lambda: self._run_if_active(name, self._tick_entry),
        )
        self._schedule_every(
            REDIAL_INTERVAL_S,
            lambda: self._run_if_active(name, self._dial_peers),
        )
        if self.failure_domains:
            self._schedule_every(
                STORE_READ_INTERVAL_S, lambda: self._read_store(name)
            )

    def _create_entry(self, name: str) -> None:
        entry = DirectEntry(
            entry_id=name,
            limits=DirectEntryLimits(confinement=self.confinement),
            log=self.log,
            source=random.Random(self.source.random()),
        )
        entry.recruiter.address = PeerAddress(host=name)
        entry.configure(self.configuration, "world")
        self.entries[name] = entry

    def _add_agent(self, name: str, speed: float) -> None:
        self.processes[name] = SimulatedProcess(name=name)
        self.backends[name] = FakeBackend(
            instance=name,
            service=self.services[_number_of(name) % len(self.services)],
            capacity=self.capacity,
            behaviour_of=lambda key: self.task_behaviours[key.job_id],
            speed=speed,
        )
        self._create_agent(name)
        self._schedule_every(
            TICK_INTERVAL_S,
            lambda: self._run_if_active(name, self._tick_agent),
        )
        self._schedule_every(
            REDIAL_INTERVAL_S,
            lambda: self._run_if_active(name, self._dial_entries),
        )
        self._schedule_every(
            REPORT_INTERVAL_S,
            lambda: self._run_if_active(name, self._send_backend_report),
        )
        self._schedule_every(
            POLL_INTERVAL_S,
            lambda: self._run_if_active(name, self._poll_backend),
        )
        self._schedule_every(
            RENEWAL_CHECK_INTERVAL_S,
            lambda: self._run_if_active(name, self._poll_if_due),
        )

    def _create_agent(self, name: str) -> None:
        self.agents[name] = DirectAgent(
            agent_id=name,
            incarnation=self.processes[name].incarnation_number,
            limits=self.agent_limits,
            log=self.log,
            seeds=[(entry_id, 0) for entry_id in self.entries],
            failure_domain=self.domain_of(name),
        )

    def domain_of(self, name: str) -> str:
        """Return the failure domain of an agent; empty if it has none."""
        if not self.failure_domains:
            return ""
        return self.failure_domains[
            _number_of(name) % len(self.failure_domains)
        ]

    # Operators and the store.

    def configure(self, routes: tuple[Route, ...]) -> None:
        """Apply a new configuration with these routes at all entries."""
        self.configuration = RoutingConfiguration(
            version=self.configuration.version + 1, routes=routes
        )
        for route in routes:
            services = self.services_of_route.setdefault(route.name, set())
            services.add(route.service)
        for entry in self.entries.values():
            entry.configure(self.configuration, "world")

    def drain(self, domain: str, *, drained: bool = True) -> None:
        """Drain a failure domain, or take it back; entries are told."""
        self.drained = self.drained.with_change(
            domain, self.drained.revision + 1, drained=drained
        )
        self.drained_since.pop(domain, None)
        if drained:
            self.drained_since[domain] = self.now
        for name in self.entries:
            self._read_store(name)

    def _read_store(self, name: str) -> None:
        """Deliver what the store has to an entry that reaches it."""
        drained = self.drained
        if name in self.unreached or not self.processes[name].is_up:
            return

        def learn() -> None:
            effects = self.entries[name].learn_drained_domains(
                drained, self.now
            )
            self._apply_entry_effects(name, effects)

        self._deliver(name, name, learn)

    def _check_drain(self, name: str) -> None:
        """Check that an agent may request a start now."""
        domain = self.domain_of(name)
        since = self.drained_since.get(domain, math.inf)
        if self.agents[name].drain.is_drained:
            self.violations.append(
                f"{self.now:.3f} {name} starts in {domain} although it knows"
            )
        if self.now - since > self.drain_bound_s:
            self.violations.append(
                f"{self.now:.3f} {name} starts in {domain}, drained at "
                f"{since:.3f}"
            )

    # Time.

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in simulated time."""
        heapq.heappush(
            self.events,
            (self.now + delay_s, next(self.sequence_numbers), action),
        )

    def _schedule_every(
        self, period_s: float, action: Callable[[], None]
    ) -> None:
        def run_and_reschedule() -> None:
            action()
            self.schedule(period_s, run_and_reschedule)

        self.schedule(self.source.uniform(0, period_s), run_and_reschedule)

    def run(self, seconds: float) -> None:
        """Advance simulated time and run the actions that fall due."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def _run_if_active(self, name: str, action: Callable[[str], None]) -> None:
        """Call an action with a process's name unless it is down or paused."""
        process = self.processes[name]
        if not process.is_up:
            return
        if process.paused:
            return
        action(name)

    # Faults.

    def kill(self, name: str, *, downtime_s: float) -> None:
        """Kill a process; it restarts without state after `downtime_s`."""
        process = self.processes[name]
        if not process.is_up:
            return
        process.is_up = False
        process.paused = False
        process.deferred_actions.clear()
        process.incarnation_number += 1
        self._break_links(name)
        self.schedule(downtime_s, lambda: self._restart_process(name))

    def _restart_process(self, name: str) -> None:
        self.processes[name].is_up = True
        if name in self.entries:
            self._create_entry(name)
        else:
            self._create_agent(name)

    def pause(self, name: str, *, duration_s: float) -> None:
        """Pause a process for `duration_s` seconds; it keeps its state.

        Messages that arrive during the pause are processed after it.
        """
        process = self.processes[name]
        incarnation_number = process.incarnation_number
        process.paused = True

        def resume() -> None:
            if process.incarnation_number != incarnation_number:
                return
            process.paused = False
            deferred_actions, process.deferred_actions = (
                process.deferred_actions,
                [],
            )
            for action in deferred_actions:
                action()

        self.schedule(duration_s, resume)

    def partition(
        self,
        sender: str,
        receiver: str,
        *,
        duration_s: float,
        is_bidirectional: bool,
    ) -> None:
        """Block messages between two processes for `duration_s` seconds.

        Messages from the receiver to the sender still arrive unless
        `is_bidirectional` is set.
        """
        pairs = {(sender, receiver)} | (
            {(receiver, sender)} if is_bidirectional else set()
        )
        self.blocked_directions |= pairs
        self.schedule(
            duration_s,
            lambda: self.blocked_directions.difference_update(pairs),
        )

    def crash_backend(self, name: str, *, downtime_s: float) -> None:
        """Crash an agent's backend server.

        A new incarnation starts after `downtime_s` seconds.
        """
        self.backends[name].crash()
        self._schedule_restart(name, downtime_s)

    def resize_backend(self, name: str, capacity: Room) -> None:
        """Change the capacity of a backend server while it runs.

        What has shrunk is checked once the server had time to report it.
        """
        backend = self.backends[name]
        backend.capacity = capacity

        def apply_limit() -> None:
            if backend.capacity == capacity:
                backend.limit = capacity

        if capacity.can_fit(backend.limit):
            backend.limit = capacity
        else:
            self.schedule(RESIZE_NOTICE_S, apply_limit)

    def _schedule_restart(self, name: str, downtime_s: float) -> None:
        """Restart a crashed backend server, which reports after a time."""
        born_ms = int(self.now * 1000)
        self.schedule(
            downtime_s, lambda: self.backends[name].restart(born_ms=born_ms)
        )

    def _refuse_call(self, name: str) -> None:
        """Let an agent find that no server listens at the address."""
        effects = self.agents[name].mark_backend_ended(
            "connection refused", self.now, is_refused=True
        )
        self._apply_agent_effects(name, effects)

    def _break_links(self, name: str) -> None:
        """Break the links of a killed process and its callers' connections."""
        for pair in [pair for pair in self.links if name in pair]:
            del self.links[pair]
            other = pair[0] if pair[1] == name else pair[1]
            notify = functools.partial(self._handle_disconnect, other, name)
            self._deliver(name, other, notify)
        for number, (request, entry_id) in list(self.waiting.items()):
            if entry_id == name:
                del self.waiting[number]
                self.schedule(
                    RESUBMIT_DELAY_S,
                    functools.partial(self.submit_to_live_entry, request),
                )

    def _handle_disconnect(self, name: str, other: str) -> None:
        """Report the end of a link, unless another one has replaced it."""
        if _link_key(name, other) in self.links:
            return
        if name in self.agents:
            self.agents[name].entry_disconnected(other)
        elif other in self.agents:
            self._apply_entry_effects(
                name, self.entries[name].agent_disconnected(other, self.now)
            )
        else:
            self.entries[name].peer_disconnected(other)

    # Links.

    def _deliver(
        self, sender: str, receiver: str, action: Callable[[], None]
    ) -> None:
        """Run an action at the receiver after the delay.

        The action is dropped if the direction is blocked on arrival, or if
        the receiver has been killed meanwhile. If the receiver is paused, the
        action runs after the pause.
        """
        process = self.processes[receiver]
        incarnation_number = process.incarnation_number

        def arrive() -> None:
            if (
                (
                    sender,
                    receiver,
                )
                in self.blocked_directions
                or process.incarnation_number != incarnation_number
            ):
                return
            if not process.is_up:
                return
            if process.paused:
                process.deferred_actions.append(action)
            else:
                action()

        self.schedule(self.delay_s, arrive)

    def _send(
        self, sender: str, receiver: str, action: Callable[[], None]
    ) -> None:
        """Run an action at the receiver, as a message over the link.

        The message is lost if there is no link, if the link was replaced
        before the arrival, or if the direction is blocked. A link that has
        lost a message in a blocked direction delivers nothing more.
        """
        number = self.links.get(_link_key(sender, receiver))
        if number is None or number in self.silent:
            return
        if (sender, receiver) in self.blocked_directions:
            # A stream delivers nothing more once a part of it is lost.
            self.silent.add(number)
            return

        def arrive() -> None:
            if self.links.get(_link_key(sender, receiver)) == number:
                action()

        self._deliver(sender, receiver, arrive)

    def _can_connect(self, sender: str, receiver: str) -> bool:
        process = self.processes[receiver]
        is_blocked = (sender, receiver) in self.blocked_directions or (
            receiver,
            sender,
        ) in self.blocked_directions
        return process.is_up and not process.paused and not is_blocked

    def _dial_entries(self, name: str) -> None:
        """Dial again the entries that an agent wants to be connected to."""
        for endpoint in self.agents[name].connections.working_set.wanted:
            self._dial_entry(name, endpoint)

    def _dial_entry(self, name: str, endpoint: tuple[str, int]) -> None:
        agent = self.agents[name]
        entry_id, _ = endpoint
        if _link_key(name, entry_id) in self.links:
            return
        if not self._can_connect(name, entry_id):
            agent.connections.working_set.mark_unreachable(endpoint)
            return
        self.links[_link_key(name, entry_id)] = next(self.sequence_numbers)
        effects = agent.entry_connected(
            entry_id,
            self.processes[entry_id].incarnation_number,
            self.now,
            PeerAddress(host=entry_id),
        )
        self._apply_agent_effects(name, effects)

    def _dial_peers(self, name: str) -> None:
        for other in self.entries:
            pair = _link_key(name, other)
            if other == name or pair in self.links:
                continue
            if self._can_connect(name, other):
                self.links[pair] = next(self.sequence_numbers)
                for sender, receiver in ((name, other), (other, name)):
                    effects = self.entries[sender].peer_connected(
                        receiver, self.now
                    )
                    self._apply_entry_effects(sender, effects)

    # Entries.

    def _tick_entry(self, name: str) -> None:
        self._apply_entry_effects(name, self.entries[name].tick(self.now))

    def _apply_entry_effects(
        self, name: str, effects: list[EntryEffect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, SendToAgent):
                self._send_to_agent(name, effect.agent_id, effect.message)
            elif isinstance(effect, CloseAgent):
                self._close(name, effect.agent_id)
            elif isinstance(effect, ClosePeer):
                self._close(name, effect.entry_id)
            elif isinstance(effect, Answer):
                self._handle_answer(name, effect)
            else:
                self._send_to_peer(name, effect.entry_id, effect.message)

    def _send_to_agent(self, name: str, agent_id: str, message: Any) -> None:
        self._send(
            name,
            agent_id,
            lambda: self._apply_agent_effects(
                agent_id,
                self.agents[agent_id].receive(name, message, self.now),
            ),
        )

    def _send_to_peer(self, name: str, entry_id: str, message: Any) -> None:
        def arrive() -> None:
            entry = self.entries[entry_id]
            if isinstance(message, Beat):
                entry.peer_heartbeat_received(
                    name, self.now, message.lateness_ms
                )
            else:
                effects = entry.receive_from_peer(name, message, self.now)
                self._apply_entry_effects(entry_id, effects)

        self._send(name, entry_id, arrive)

    def _close(self, sender: str, receiver: str) -> None:
        self.links.pop(_link_key(sender, receiver), None)
        self._deliver(
            sender, receiver, lambda: self._handle_disconnect(receiver, sender)
        )

    # Agents.

    def _tick_agent(self, name: str) -> None:
        self._apply_agent_effects(name, self.agents[name].tick(self.now))

    def _send_backend_report(self, name: str) -> None:
        backend = self.backends[name]
        if backend.is_up:
            self.report_to_agent(name, backend.report())

    def report_to_agent(self, name: str, report: BackendReport) -> None:
        """Deliver a report, of its backend server or not, to an agent."""
        agent = self.agents[name]
        effects = agent.receive_report(report, self.now)
        self._apply_agent_effects(name, effects)
        if agent.backend.candidate is report:
            self._poll_backend(name)

    def _apply_agent_effects(
        self, name: str, effects: list[AgentEffect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, SendToEntry):
                self._send_to_entry(name, effect.entry_id, effect.message)
            elif isinstance(effect, CloseEntryLink):
                self._close(name, effect.entry_id)
            elif isinstance(effect, DialEntry):
                self._dial_entry(name, effect.endpoint)
            elif isinstance(effect, SendStartRequest):
                self._send_start_request(name, effect.request)
            else:
                self._send_stop_request(name, effect.request)

    def _send_to_entry(self, name: str, entry_id: str, message: Any) -> None:
        def arrive() -> None:
            entry = self.entries[entry_id]
            if isinstance(message, AgentHello):
                effects = entry.agent_connected(message, self.now)
            else:
                effects = entry.receive(name, message, self.now)
                effects += entry.dispatch_waiting(self.now)
            self._apply_entry_effects(entry_id, effects)

        self._send(name, entry_id, arrive)

    def _poll_if_due(self, name: str) -> None:
        """Poll the backend server if its last answer is too old."""
        agent = self.agents[name]
        age_s = self.now - agent.lease.answered_at
        if agent.report is not None and age_s > MAX_ANSWER_AGE_S:
            self._poll_backend(name)

    def _poll_backend(self, name: str) -> None:
        agent = self.agents[name]
        request = agent.poll_request(self.now, wait_ms=0)
        if request is None:
            return
        asked_at = self.now
        backend = self.backends[name]

        def execute() -> Callable[[], None]:
            listing = backend.poll(request)
            is_other = request.lifetime.instance != backend.instance

            def answer() -> None:
                if is_other:
                    effects = self._end_incarnation(name, request.lifetime)
                elif listing is None:
                    clock_ms = int(backend.clock_ms)
                    effects = agent.poll_refused(request, clock_ms, self.now)
                else:
                    effects = agent.receive_listing(
                        listing, request.lifetime, asked_at, self.now
                    )
                self._apply_agent_effects(name, effects)

            return answer

        def fail() -> None:
            effects = agent.poll_failed(asked_at, self.now)
            self._apply_agent_effects(name, effects)

        self._call_backend(name, execute, fail)

    def _end_incarnation(
        self, name: str, lifetime: BackendIncarnation
    ) -> list[AgentEffect]:
        """Tell an agent that another server has answered its poll."""
        agent = self.agents[name]
        if agent.report is None or agent.report.lifetime != lifetime:
            return []
        return agent.mark_backend_ended("another lifetime answers", self.now)

    def _send_start_request(self, name: str, request: StartRequest) -> None:
        agent = self.agents[name]
        backend = self.backends[name]
        self._check_drain(name)

        def finish(answer: Any) -> None:
            effects = agent.start_answered(request, answer, self.now)
            self._apply_agent_effects(name, effects)

        def execute() -> Callable[[], None]:
            before = len(backend.started)
            answer = backend.start(request)
            if len(backend.started) > before:
                self._check_started_task(name, request.key)
            return lambda: finish(answer)

        self._call_backend(name, execute, lambda: finish(None))

    def _send_stop_request(self, name: str, request: StopRequest) -> None:
        agent = self.agents[name]

        def finish(answered: bool) -> None:
            effects = agent.stop_answered(request, answered, self.now)
            self._apply_agent_effects(name, effects)

        def execute() -> Callable[[], None]:
            self.backends[name].stop(request)
            return lambda: finish(True)

        self._call_backend(name, execute, lambda: finish(False))

    def _call_backend(
        self,
        name: str,
        execute: Callable[[], Callable[[], None]],
        time_out: Callable[[], None],
    ) -> None:
        """Call a backend server, subject to the active faults.

        Parameters
        ----------
        name : str
            Agent that calls its backend server.
        execute : callable
            Executes the call at the backend server; returns the action that
            handles the answer at the agent.
        time_out : callable
            Handles the timeout of an unanswered call at the agent.
        """
        incarnation_number = self.processes[name].incarnation_number
        born_ms = self.backends[name].born_ms

        def deliver_to_agent(action: Callable[[], None]) -> None:
            process = self.processes[name]
            if (
                process.incarnation_number != incarnation_number
                or not process.is_up
            ):
                return
            if process.paused:
                process.deferred_actions.append(action)
            else:
                action()

        def arrive() -> None:
            backend = self.backends[name]
            if backend.is_up and backend.born_ms == born_ms:
                answer = execute()
                self.schedule(self.delay_s, lambda: deliver_to_agent(answer))

        def arrive_without_reply() -> None:
            backend = self.backends[name]
            if backend.is_up and backend.born_ms == born_ms:
                execute()

        if name in self.unreachable:
            self.schedule(self.delay_s, lambda: deliver_to_agent(time_out))
            return
        if self.source.random() >= self.unanswered and (
            self.backends[name].is_up
        ):
            self.schedule(self.delay_s, arrive)
            return
        self.schedule(BACKEND_TIMEOUT_S, lambda: deliver_to_agent(time_out))
        if self.source.random() < self.late:
            self.schedule(self.source.uniform(2, 12), arrive_without_reply)

    def _advance_backends(self) -> None:
        for name, backend in self.backends.items():
            crashes = len(backend.crashed_by)
            if backend.advance(SIMULATION_STEP_S * 5 * 1000):
                self._run_if_active(name, self._poll_backend)
            if len(backend.crashed_by) > crashes:
                self._schedule_restart(name, self.crash_downtime_s)
                if not self.crashes_silently:
                    refuse = functools.partial(self._refuse_call, name)
                    self._deliver(name, name, refuse)
            self.violations += backend.violations
            backend.violations.clear()

    def _check_started_task(self, name: str, key: TaskKey) -> None:
        """Check that a started task neither runs elsewhere nor was refused.

        The refusal of a job that was submitted more than once proves
        nothing, because an earlier submission may have started its tasks.
        """
        for other, backend in self.backends.items():
            if other != name and backend.is_up and key in backend.runs:
                self.violations.append(
                    f"{self.now:.3f} {key} runs on both {other} and {name}"
                )
        service = self.backends[name].service
        for request in self.requests:
            if request.job.job_id != key.job_id:
                continue
            allowed = self.services_of_route.get(request.route.name)
            if allowed is not None and service not in allowed:
                self.violations.append(
                    f"{self.now:.3f} {key} of {request.route.name} starts on "
                    f"{name} of {service}"
                )
            answer = request.answer
            was_refused = (
                answer is not None
                and answer.state is None
                and not answer.interrupted
                and request.submission_count == 1
            )
            if was_refused:
                self.violations.append(
                    f"{key} runs although its job was refused"
                )

    # Callers.

    def submit(
        self,
        *,
        tasks: int,
        work_ms: float,
        room: Room,
        estimate_ms: float | None = None,
        route: Route | None = None,
        fails: bool = False,
        crashes_after_ms: float = math.inf,
        entry_id: str | None = None,
        wait_limit_s: float = math.inf,
    ) -> CallerRequest:
        """Submit a job of identical tasks to an entry.

        Parameters
        ----------
        tasks : int
            Number of tasks.
        work_ms : float
            Run time of each task on a server of speed 1, in milliseconds.
        room : Room
            Resources that each task requires and uses.
        estimate_ms : float or None, optional
            The caller's estimate of the run time of a task, in milliseconds;
            None for a correct one, `work_ms`.
        route : Route or None, optional
            Route of the request; None for `DEFAULT_ROUTE`.
        fails : bool, optional
            Whether each task fails at its end.
        crashes_after_ms : float, optional
            Part of its work after which each task crashes its server, in
            milliseconds; infinite if it doesn't.
        entry_id : str or None, optional
            The entry that gets the first submission if it is live; None for
            one chosen at random.
        wait_limit_s : float, optional
            How long the caller waits, in seconds; then it leaves.
        """
        job_id = f"{len(self.requests):016x}"
        self.task_behaviours[job_id] = TaskSize(
            room=room,
            work_ms=work_ms,
            fails=fails,
            crashes_after_ms=crashes_after_ms,
        )
        step = Step(
            count=tasks,
            room=room,
            estimate_ms=work_ms if estimate_ms is None else estimate_ms,
        )
        request = CallerRequest(
            job=Job(job_id=job_id, payload="payload", steps=(step,)),
            route=route or DEFAULT_ROUTE,
            sent_at=self.now,
            wait_limit_s=wait_limit_s,
        )
        self.requests.append(request)
        self.submit_to_live_entry(request, entry_id)
        if wait_limit_s < math.inf:
            self.schedule(wait_limit_s, lambda: self._leave(request))
        return request

    def submit_to_live_entry(
        self, request: CallerRequest, entry_id: str | None = None
    ) -> None:
        """Submit a job once more, unless its caller has its answer."""
        if request.answer is not None or request.caller_disconnected:
            return
        live = [
            name
            for name in self.entries
            if self.processes[name].is_up and not self.processes[name].paused
        ]
        if not live:
            self.schedule(
                RESUBMIT_DELAY_S, lambda: self.submit_to_live_entry(request)
            )
            return
        request.submission_count += 1
        name = entry_id if entry_id in live else self.source.choice(live)
        number = next(self.request_numbers)
        request.entry_id = name
        self.waiting[number] = (request, name)
        self._deliver_request(name, number, request)

    def _deliver_request(
        self, name: str, number: int, request: CallerRequest
    ) -> None:
        effects = self.entries[name].submit(
            number,
            request.job,
            request.route,
            self.now,
            wait_limit_s=request.sent_at + request.wait_limit_s - self.now,
        )
        self._apply_entry_effects(name, effects)

    def _leave(self, request: CallerRequest) -> None:
        """Let a caller leave that has waited for its whole time."""
        if request.answer is None:
            self.disconnect_caller(request)

    def disconnect_caller(self, request: CallerRequest) -> None:
        """Abandon a caller's request and notify the entry that handles it."""
        request.caller_disconnected = True
        for number, (waiting, name) in list(self.waiting.items()):
            if waiting is request:
                del self.waiting[number]
                self._apply_entry_effects(
                    name,
                    self.entries[name].caller_disconnected(
                        request.job.job_id, number, self.now
                    ),
                )

    def reconnect_caller(self, request: CallerRequest) -> None:
        """Break a caller's connection without a notification of its entry.

        After `RESUBMIT_DELAY_S` the caller submits its job again, to an entry
        chosen at random.
        """
        for number, (waiting, _) in list(self.waiting.items()):
            if waiting is request:
                del self.waiting[number]
                self.schedule(
                    RESUBMIT_DELAY_S,
                    lambda: self.submit_to_live_entry(request),
                )

    def _handle_answer(self, name: str, answer: Answer) -> None:
        pending = self.waiting.pop(answer.request_id, None)
        if pending is None:
            return
        request, _ = pending
        if answer.interrupted:
            self.schedule(
                RESUBMIT_DELAY_S, lambda: self.submit_to_live_entry(request)
            )
            return
        request.answer = answer
        request.answered_at = self.now
        has_started = any(
            key.job_id == request.job.job_id
            for backend in self.backends.values()
            for key, _ in backend.started
        )
        if (
            answer.state is None
            and has_started
            and request.submission_count == 1
        ):
            self.violations.append(
                f"{request.job.job_id} was refused although it has started"
            )

    def answered(self, state: JobState) -> list[CallerRequest]:
        """Return the requests whose final answer has the given job state."""
        return [
            request
            for request in self.requests
            if request.answer is not None and request.answer.state is state
        ]


def _number_of(name: str) -> int:
    """Return the number in the name of a process."""
    return int(name.rpartition("-")[2])


def _link_key(sender: str, receiver: str) -> tuple[str, str]:
    """Return the key of a link in `links`, the same for both directions."""
    return (sender, receiver) if sender < receiver else (receiver, sender)
