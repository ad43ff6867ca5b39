"""A whole deployment of direct dispatch in simulated time.

Entries, agents, backend servers and callers exchange messages over links
with a delay. Links can be cut and reset, processes killed and paused, and
backend servers can leave orders unanswered or carry them out late. The world
checks the promises while it runs.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random
from typing import Any

from egretcart.direct.agent import DirectAgent
from egretcart.direct.agent_types import AgentEffect
from egretcart.direct.agent_types import CloseEntry
from egretcart.direct.agent_types import DirectAgentLimits
from egretcart.direct.agent_types import OrderStart
from egretcart.direct.agent_types import SendToEntry
from egretcart.direct.backend import StartRequest
from egretcart.direct.backend import StopRequest
from egretcart.direct.configuration import Route
from egretcart.direct.configuration import RoutingConfiguration
from egretcart.direct.decisions import DecisionLog
from egretcart.direct.decisions import NullDecisionLog
from egretcart.direct.entry import DirectEntry
from egretcart.direct.entry_types import Answer
from egretcart.direct.entry_types import CloseAgent
from egretcart.direct.entry_types import ClosePeer
from egretcart.direct.entry_types import DirectEntryLimits
from egretcart.direct.entry_types import EntryEffect
from egretcart.direct.entry_types import SendToAgent
from egretcart.direct.job import Job
from egretcart.direct.job import JobState
from egretcart.direct.job import Room
from egretcart.direct.job import Step
from egretcart.direct.job import TaskKey
from egretcart.direct.messages import AgentHello
from egretcart.direct.messages import Beat
from egretcart.testing.fake_backend import FakeBackend
from egretcart.testing.fake_backend import TaskSize

TICK_S = 0.05
LISTING_S = 0.1
RENEWAL_S = 0.06
RENEWAL_AGE_S = 0.13
ANSWER_LIMIT_S = 0.25
REDIAL_S = 0.1
REPORT_S = 1.5
RESEND_S = 1.3
STEP_S = 0.001
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
class Request:
    """A caller's job, and what became of it."""

    job: Job
    route: Route
    sent_at: float
    entry_id: str = ""
    tries: int = 0
    answer: Answer | None = None
    answered_at: float = 0.0
    left: bool = False

    @property
    def elapsed_s(self) -> float:
        """Time from the first try to the answer."""
        return self.answered_at - self.sent_at


@dataclasses.dataclass(kw_only=True)
class Host:
    """A process; `epoch` rises with each of its lives."""

    name: str
    epoch: int = 1
    is_up: bool = True
    paused: bool = False
    held_back: list[Callable[[], None]] = dataclasses.field(
        default_factory=list
    )


class World:
    """A deployment that moves only by `run`.

    Parameters
    ----------
    entries, agents : int
    seed : int
    capacity : Room, optional
        Of each backend server.
    speeds : tuple of float, optional
        Of the backend servers, in turn.
    log : DecisionLog, optional

    Attributes
    ----------
    unanswered, late : float
        Share of orders that bring no answer, and of those the share that
        is carried out seconds later.
    cuts : set of (str, str)
        Directions in which nothing arrives.
    requests : list of Request
    violations : list of str
        Promises that were broken.
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
    ) -> None:
        self.source = random.Random(seed)
        self.capacity = capacity or Room(16_000, 65_536, 0)
        self.log = log or NullDecisionLog()
        self.now = 1000.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.request_numbers = itertools.count(1)
        self.sizes: dict[str, TaskSize] = {}
        self.unanswered = 0.0
        self.late = 0.5
        self.delay_s = 0.0005
        self.cuts: set[tuple[str, str]] = set()
        self.links: dict[tuple[str, str], int] = {}
        self.silent: set[int] = set()
        self.hosts: dict[str, Host] = {}
        self.entries: dict[str, DirectEntry] = {}
        self.agents: dict[str, DirectAgent] = {}
        self.backends: dict[str, FakeBackend] = {}
        self.waiting: dict[int, tuple[Request, str]] = {}
        self.requests: list[Request] = []
        self.violations: list[str] = []
        self.configuration = RoutingConfiguration(
            version=1, routes=(DEFAULT_ROUTE,)
        )
        for number in range(entries):
            self._add_entry(f"entry-{number}")
        for number in range(agents):
            speed = speeds[number % len(speeds)]
            self._add_agent(f"agent-{number}", speed)
        self._every(STEP_S * 5, self._advance_backends)

    # Building.

    def _add_entry(self, name: str) -> None:
        self.hosts[name] = Host(name=name)
        self._begin_entry(name)
        self._every(TICK_S, lambda: self._on(name, self._tick_entry))
        self._every(REDIAL_S, lambda: self._on(name, self._dial_peers))

    def _begin_entry(self, name: str) -> None:
        entry = DirectEntry(
            entry_id=name,
            limits=DirectEntryLimits(),
            log=self.log,
            source=random.Random(self.source.random()),
        )
        entry.configure(self.configuration, "world")
        self.entries[name] = entry

    def _add_agent(self, name: str, speed: float) -> None:
        self.hosts[name] = Host(name=name)
        self.backends[name] = FakeBackend(
            instance=name,
            service=SERVICE,
            capacity=self.capacity,
            size_of=lambda key: self.sizes[key.job_id],
            speed=speed,
        )
        self._begin_agent(name)
        self._every(TICK_S, lambda: self._on(name, self._tick_agent))
        self._every(REDIAL_S, lambda: self._on(name, self._dial_entries))
        self._every(REPORT_S, lambda: self._on(name, self._report))
        self._every(LISTING_S, lambda: self._on(name, self._hold))
        self._every(RENEWAL_S, lambda: self._on(name, self._renew))

    def _begin_agent(self, name: str) -> None:
        self.agents[name] = DirectAgent(
            agent_id=name,
            incarnation=self.hosts[name].epoch,
            limits=DirectAgentLimits(),
            log=self.log,
        )

    # Time.

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a while."""
        heapq.heappush(
            self.events, (self.now + delay_s, next(self.numbers), action)
        )

    def _every(self, period_s: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.at(period_s, again)

        self.at(self.source.uniform(0, period_s), again)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = end

    def _on(self, name: str, action: Callable[[str], None]) -> None:
        """Do something at a process; a paused one does it on waking."""
        host = self.hosts[name]
        if not host.is_up:
            return
        if host.paused:
            return
        action(name)

    # Faults.

    def kill(self, name: str, *, down_s: float) -> None:
        """End a process; it starts again later and knows nothing."""
        host = self.hosts[name]
        if not host.is_up:
            return
        host.is_up = False
        host.paused = False
        host.held_back.clear()
        host.epoch += 1
        self._break_links(name)
        self.at(down_s, lambda: self._start_again(name))

    def _start_again(self, name: str) -> None:
        self.hosts[name].is_up = True
        if name in self.entries:
            self._begin_entry(name)
        else:
            self._begin_agent(name)

    def pause(self, name: str, *, for_s: float) -> None:
        """Let a process stand still, then go on where it was."""
        host = self.hosts[name]
        epoch = host.epoch
        host.paused = True

        def wake() -> None:
            if host.epoch != epoch:
                return
            host.paused = False
            held_back, host.held_back = host.held_back, []
            for action in held_back:
                action()

        self.at(for_s, wake)

    def cut(self, near: str, far: str, *, for_s: float, both: bool) -> None:
        """Let nothing arrive between two processes."""
        pairs = {(near, far)} | ({(far, near)} if both else set())
        self.cuts |= pairs
        self.at(for_s, lambda: self.cuts.difference_update(pairs))

    def crash_backend(self, name: str, *, down_s: float) -> None:
        """End a backend server; a new lifetime follows."""
        self.backends[name].crash()
        born_ms = int(self.now * 1000)
        self.at(down_s, lambda: self.backends[name].restart(born_ms=born_ms))

    def _break_links(self, name: str) -> None:
        for pair in [pair for pair in self.links if name in pair]:
            del self.links[pair]
            other = pair[0] if pair[1] == name else pair[1]
            gone = functools.partial(self._disconnected, other, name)
            self._deliver(name, other, gone)
        for number, (request, entry_id) in list(self.waiting.items()):
            if entry_id == name:
                del self.waiting[number]
                self.at(RESEND_S, functools.partial(self._try, request))

    def _disconnected(self, name: str, other: str) -> None:
        if name in self.agents:
            self.agents[name].entry_disconnected(other)
        elif other in self.agents:
            self._entry_does(
                name, self.entries[name].agent_disconnected(other, self.now)
            )
        else:
            self.entries[name].peer_disconnected(other)

    # Links.

    def _deliver(
        self, near: str, far: str, action: Callable[[], None]
    ) -> None:
        """Let something arrive unless the way is cut."""
        host = self.hosts[far]
        epoch = host.epoch

        def arrive() -> None:
            if (near, far) in self.cuts or host.epoch != epoch:
                return
            if not host.is_up:
                return
            if host.paused:
                host.held_back.append(action)
            else:
                action()

        self.at(self.delay_s, arrive)

    def _send(self, near: str, far: str, action: Callable[[], None]) -> None:
        """Send on the link of two processes, if it still stands on arrival."""
        number = self.links.get(_pair(near, far))
        if number is None or number in self.silent:
            return
        if (near, far) in self.cuts:
            # Nothing can follow on a stream that lacks a part.
            self.silent.add(number)
            return

        def arrive() -> None:
            if self.links.get(_pair(near, far)) == number:
                action()

        self._deliver(near, far, arrive)

    def _can_connect(self, near: str, far: str) -> bool:
        host = self.hosts[far]
        is_cut = (near, far) in self.cuts or (far, near) in self.cuts
        return host.is_up and not host.paused and not is_cut

    def _dial_entries(self, name: str) -> None:
        agent = self.agents[name]
        for entry_id in self.entries:
            if _pair(name, entry_id) in self.links:
                continue
            if not self._can_connect(name, entry_id):
                continue
            self.links[_pair(name, entry_id)] = next(self.numbers)
            epoch = self.hosts[entry_id].epoch
            self._agent_does(
                name, agent.entry_connected(entry_id, epoch, self.now)
            )

    def _dial_peers(self, name: str) -> None:
        for other in self.entries:
            pair = _pair(name, other)
            if other == name or pair in self.links:
                continue
            if self._can_connect(name, other):
                self.links[pair] = next(self.numbers)
                for near, far in ((name, other), (other, name)):
                    effects = self.entries[near].peer_connected(far, self.now)
                    self._entry_does(near, effects)

    # Entries.

    def _tick_entry(self, name: str) -> None:
        self._entry_does(name, self.entries[name].tick(self.now))

    def _entry_does(self, name: str, effects: list[EntryEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToAgent):
                self._to_agent(name, effect.agent_id, effect.message)
            elif isinstance(effect, CloseAgent):
                self._close(name, effect.agent_id)
            elif isinstance(effect, ClosePeer):
                self._close(name, effect.entry_id)
            elif isinstance(effect, Answer):
                self._answered(name, effect)
            else:
                self._to_peer(name, effect.entry_id, effect.message)

    def _to_agent(self, name: str, agent_id: str, message: Any) -> None:
        self._send(
            name,
            agent_id,
            lambda: self._agent_does(
                agent_id,
                self.agents[agent_id].receive(name, message, self.now),
            ),
        )

    def _to_peer(self, name: str, entry_id: str, message: Any) -> None:
        def arrive() -> None:
            entry = self.entries[entry_id]
            if isinstance(message, Beat):
                entry.peer_alive(name, self.now)
            else:
                effects = entry.receive_from_peer(name, message, self.now)
                self._entry_does(entry_id, effects)

        self._send(name, entry_id, arrive)

    def _close(self, near: str, far: str) -> None:
        self.links.pop(_pair(near, far), None)
        self._deliver(near, far, lambda: self._disconnected(far, near))

    # Agents.

    def _tick_agent(self, name: str) -> None:
        self._agent_does(name, self.agents[name].tick(self.now))

    def _report(self, name: str) -> None:
        backend = self.backends[name]
        if backend.is_up:
            effects = self.agents[name].reported(backend.report(), self.now)
            self._agent_does(name, effects)

    def _agent_does(self, name: str, effects: list[AgentEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToEntry):
                self._to_entry(name, effect.entry_id, effect.message)
            elif isinstance(effect, CloseEntry):
                self._close(name, effect.entry_id)
            elif isinstance(effect, OrderStart):
                self._order_start(name, effect.request)
            else:
                self._order_stop(name, effect.request)

    def _to_entry(self, name: str, entry_id: str, message: Any) -> None:
        def arrive() -> None:
            entry = self.entries[entry_id]
            if isinstance(message, AgentHello):
                effects = entry.agent_connected(message, self.now)
            else:
                effects = entry.receive(name, message, self.now)
                effects += entry.settle(self.now)
            self._entry_does(entry_id, effects)

        self._send(name, entry_id, arrive)

    def _renew(self, name: str) -> None:
        agent = self.agents[name]
        age_s = self.now - agent.lease.answered_at
        if agent.report is not None and age_s > RENEWAL_AGE_S:
            self._hold(name)

    def _hold(self, name: str) -> None:
        agent = self.agents[name]
        request = agent.hold_request(self.now, wait_ms=0)
        if request is None:
            return
        asked_at = self.now
        backend = self.backends[name]

        def execute() -> Callable[[], None]:
            listing = backend.hold(request)

            def answer() -> None:
                if listing is None:
                    clock_ms = int(backend.clock_ms)
                    effects = agent.token_refused(clock_ms, self.now)
                else:
                    effects = agent.listed(
                        listing, request.lifetime, asked_at, self.now
                    )
                self._agent_does(name, effects)

            return answer

        self._call(name, execute, lambda: None)

    def _order_start(self, name: str, request: StartRequest) -> None:
        agent = self.agents[name]
        backend = self.backends[name]

        def finish(answer: Any) -> None:
            effects = agent.start_answered(request, answer, self.now)
            self._agent_does(name, effects)

        def execute() -> Callable[[], None]:
            before = len(backend.started)
            answer = backend.start(request)
            if len(backend.started) > before:
                self._check_overlap(name, request.key)
            return lambda: finish(answer)

        self._call(name, execute, lambda: finish(None))

    def _order_stop(self, name: str, request: StopRequest) -> None:
        agent = self.agents[name]

        def finish(answered: bool) -> None:
            effects = agent.stop_answered(request, answered, self.now)
            self._agent_does(name, effects)

        def execute() -> Callable[[], None]:
            self.backends[name].stop(request)
            return lambda: finish(True)

        self._call(name, execute, lambda: finish(False))

    def _call(
        self,
        name: str,
        execute: Callable[[], Callable[[], None]],
        time_out: Callable[[], None],
    ) -> None:
        """Call a backend server, with the faults that are in force."""
        epoch = self.hosts[name].epoch
        born_ms = self.backends[name].born_ms

        def back(action: Callable[[], None]) -> None:
            host = self.hosts[name]
            if host.epoch != epoch or not host.is_up:
                return
            if host.paused:
                host.held_back.append(action)
            else:
                action()

        def arrive() -> None:
            backend = self.backends[name]
            if backend.is_up and backend.born_ms == born_ms:
                answer = execute()
                self.at(self.delay_s, lambda: back(answer))

        def arrive_unanswered() -> None:
            backend = self.backends[name]
            if backend.is_up and backend.born_ms == born_ms:
                execute()

        if self.source.random() >= self.unanswered and (
            self.backends[name].is_up
        ):
            self.at(self.delay_s, arrive)
            return
        self.at(ANSWER_LIMIT_S, lambda: back(time_out))
        if self.source.random() < self.late:
            self.at(self.source.uniform(2, 12), arrive_unanswered)

    def _advance_backends(self) -> None:
        for name, backend in self.backends.items():
            if backend.advance(STEP_S * 5 * 1000):
                self._on(name, self._hold)
            self.violations += backend.violations
            backend.violations.clear()

    def _check_overlap(self, name: str, key: TaskKey) -> None:
        for other, backend in self.backends.items():
            if other != name and backend.is_up and key in backend.runs:
                self.violations.append(
                    f"{self.now:.3f} {key} runs on {other} and {name}"
                )
        for request in self.requests:
            answer = request.answer
            refused = (
                answer is not None
                and answer.state is None
                and not answer.interrupted
                and request.tries == 1
            )
            if request.job.job_id == key.job_id and refused:
                self.violations.append(f"{key} runs though it was refused")

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
    ) -> Request:
        """Let a caller submit a job of like tasks to some entry."""
        job_id = f"{len(self.requests):016x}"
        self.sizes[job_id] = TaskSize(room=room, work_ms=work_ms, fails=fails)
        step = Step(
            count=tasks,
            room=room,
            estimate_ms=work_ms if estimate_ms is None else estimate_ms,
        )
        request = Request(
            job=Job(job_id=job_id, payload="payload", steps=(step,)),
            route=route or DEFAULT_ROUTE,
            sent_at=self.now,
        )
        self.requests.append(request)
        self._try(request)
        return request

    def _try(self, request: Request) -> None:
        if request.answer is not None or request.left:
            return
        live = [
            name
            for name in self.entries
            if self.hosts[name].is_up and not self.hosts[name].paused
        ]
        if not live:
            self.at(RESEND_S, lambda: self._try(request))
            return
        request.tries += 1
        name = self.source.choice(live)
        number = next(self.request_numbers)
        request.entry_id = name
        self.waiting[number] = (request, name)
        self._deliver_request(name, number, request)

    def _deliver_request(
        self, name: str, number: int, request: Request
    ) -> None:
        effects = self.entries[name].submit(
            number, request.job, request.route, self.now
        )
        self._entry_does(name, effects)

    def leave(self, request: Request) -> None:
        """Let a caller give up."""
        request.left = True
        for number, (waiting, name) in list(self.waiting.items()):
            if waiting is request:
                del self.waiting[number]
                self._entry_does(
                    name,
                    self.entries[name].left(
                        request.job.job_id, number, self.now
                    ),
                )

    def move(self, request: Request) -> None:
        """Break a caller's connection unseen; it asks another entry."""
        for number, (waiting, _) in list(self.waiting.items()):
            if waiting is request:
                del self.waiting[number]
                self.at(RESEND_S, lambda: self._try(request))

    def _answered(self, name: str, answer: Answer) -> None:
        found = self.waiting.pop(answer.request_id, None)
        if found is None:
            return
        request, _ = found
        if answer.interrupted:
            self.at(RESEND_S, lambda: self._try(request))
            return
        request.answer = answer
        request.answered_at = self.now
        begun = any(
            key.job_id == request.job.job_id
            for backend in self.backends.values()
            for key, _ in backend.started
        )
        if answer.state is None and begun and request.tries == 1:
            self.violations.append(
                f"{request.job.job_id} was refused though it has begun"
            )

    def answered(self, state: JobState) -> list[Request]:
        """Return the requests that were answered with a state."""
        return [
            request
            for request in self.requests
            if request.answer is not None and request.answer.state is state
        ]


def _pair(near: str, far: str) -> tuple[str, str]:
    return (near, far) if near < far else (far, near)
