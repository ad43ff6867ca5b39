"""Exhaustive search of the interleavings of a takeover, on a small model.

The leaders use the real `Quorum`; agents, messages and the wait for leases
are modelled. Time advances in whole steps and is the same for all
processes. Messages may be delayed by any time, except those to the second
leader, which arrive at once. When the search begins, the first leader has
proven a stamp of each agent that it reaches.
"""

from collections import deque
import dataclasses

from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import RosterMember
from egretcart.process.cell.quorum import Quorum

LEASE = 1
NEVER = -9
NO_ROSTER = Roster()


@dataclasses.dataclass(frozen=True)
class Case:
    """Bounds of one search, and the guards that are removed in it.

    The agents are single letters. `reached_by_first` and `reached_by_second`
    are the agents that each leader reaches; if empty, the old roster's. With
    `only_first_reaches_restarted` the second leader does not reach a
    restarted agent. `rounds` are the numbers of rounds that the leaders may
    open. With `atomic_second` the agents handle the messages of the second
    leader at once.
    """

    agents: str
    old_roster: str
    reached_by_first: str = ""
    reached_by_second: str = ""
    joining: str = ""
    restarts: int = 0
    only_first_reaches_restarted: bool = False
    second_roster: str = ""
    rounds: tuple = (1, 1)
    last_time: int = 3
    atomic_second: bool = False
    removed_guards: frozenset = frozenset()

    def without(self, guard):
        return dataclasses.replace(
            self, removed_guards=self.removed_guards | {guard}
        )


def roster_of(version, names, incarnations=None):
    known_incarnations = incarnations or {}
    return Roster(
        version=version,
        members=tuple(
            RosterMember(agent_id=n, incarnation=known_incarnations.get(n, 0))
            for n in names
        ),
    )


@dataclasses.dataclass
class ModelAgent:
    promised: int = 0
    lease: int = NEVER
    incarnation: int = 0
    begun: bool = False
    roster: Roster = NO_ROSTER

    def key(self):
        return (
            self.promised, self.lease, self.incarnation, self.begun,
            self.roster.version,
        )  # fmt: skip


class ModelLeader:
    def __init__(self, term, roster):
        self.term = term
        self.phase = "idle"
        self.quorum = Quorum(roster=roster)
        self.majority_at = None
        self.uncertain_before = 0
        self.knows_begun_job = self.placed = False
        self.rounds = 0
        self.cached_key = None

    def copy(self):
        duplicate = ModelLeader(self.term, self.quorum.roster)
        duplicate.__dict__.update(self.__dict__)
        duplicate.cached_key = None
        quorum = Quorum(roster=self.quorum.roster)
        quorum.__dict__.update(self.quorum.__dict__)
        quorum.members = {
            name: dataclasses.replace(
                member, pending_stamps=list(member.pending_stamps)
            )
            for name, member in self.quorum.members.items()
        }
        duplicate.quorum = quorum
        return duplicate

    def key(self):
        if self.cached_key is None:
            self.cached_key = self.make_key()
        return self.cached_key

    def make_key(self):
        q = self.quorum
        members = tuple(
            (
                n, m.incarnation, m.counted, m.promised_at,
                m.confirmable_from_round, m.confirmed_round, m.roster_version,
                tuple(m.pending_stamps), m.proven_stamp_us,
            )
            for n, m in sorted(q.members.items())
        )  # fmt: skip
        return (
            self.phase, self.majority_at, self.uncertain_before,
            self.knows_begun_job, self.placed, self.rounds, members,
            q.roster.version, q.opened_round, q.proven_round, q.recorded_ids,
        )  # fmt: skip


class State:
    """One state of the model; `step` yields all possible actions."""

    def __init__(self, case):
        self.case = case
        self.now, self.created, self.start_count = 1, None, 0
        self.restarts, self.joined = case.restarts, not case.joining
        old = roster_of(1, case.old_roster)
        self.agents = {name: ModelAgent() for name in case.agents}
        newer = roster_of(2, case.second_roster) if case.second_roster else old
        self.leaders = [ModelLeader(1, old), ModelLeader(2, newer)]
        self.written = False
        self.channels = {}
        first = self.leaders[0]
        first.phase = "serving"
        for name in case.reached_by_first or case.old_roster:
            self.agents[name].promised = 1
            self.agents[name].roster = old
            self.agents[name].lease = self.now + LEASE
            first.quorum.add_fenced(
                name, incarnation=0, stamp_us=self.now, now=self.now
            )
        first.quorum.recorded_ids = old.agent_ids

    def copy(self):
        duplicate = object.__new__(State)
        duplicate.__dict__.update(self.__dict__)
        duplicate.agents = dict(self.agents)
        duplicate.leaders = list(self.leaders)
        duplicate.channels = dict(self.channels)
        return duplicate

    def edit_agent(self, name):
        self.agents[name] = dataclasses.replace(self.agents[name])
        return self.agents[name]

    def edit_leader(self, index):
        self.leaders[index] = self.leaders[index].copy()
        return self.leaders[index]

    def key(self):
        return (
            self.now, self.created, self.start_count, self.restarts,
            self.joined, self.written,
            tuple(a.key() for a in self.agents.values()),
            tuple(leader.key() for leader in self.leaders),
            tuple(sorted((k, v) for k, v in self.channels.items() if v)),
        )  # fmt: skip

    def send(self, index, name, toward_agent, *message):
        if not toward_agent and self.leaders[index].phase == "ended":
            return
        if index == 1 and self.is_unreachable_for_second(name):
            return
        if index == 1 and not toward_agent:
            self.to_leader(index, name, *message)
            return
        if index == 1 and self.case.atomic_second:
            self.to_agent(index, name, *message)
            return
        channel = (index, name, toward_agent)
        self.channels[channel] = (*self.channels.get(channel, ()), message)

    def is_unreachable_for_second(self, name):
        return (
            self.case.only_first_reaches_restarted
            and self.agents[name].incarnation > 0
        )

    # Possible actions.

    def step(self):
        yield from self.environment_steps()
        for channel, queue in list(self.channels.items()):
            if queue:
                yield f"delivery on {channel}", State.deliver, channel
        for index, leader in enumerate(self.leaders):
            if leader.phase == "fencing":
                yield "the takeover ends", State.try_serve, index
            if leader.phase != "serving":
                continue
            if leader.rounds < self.case.rounds[index]:
                yield f"leader {index} opens a round", State.open, index
            for name in leader.quorum.members:
                if self.may_place(leader, name):
                    label = f"leader {index} sends the start to {name}"
                    yield label, State.place, index, name

    def environment_steps(self):
        if self.now < self.case.last_time:
            yield "time passes", State.advance
        if self.created is None:
            yield "the caller makes an id", State.create
        if self.leaders[1].phase == "idle":
            yield "the second leader fences", State.fence_all
        if self.restarts:
            name = self.case.agents[-1]
            yield f"agent {name} restarts", State.restart, name
        if not self.joined:
            yield "the new agent connects", State.join
        elif self.case.joining and not self.written:
            yield "the roster with the new agent is written", State.write

    def advance(self):
        self.now += 1

    def create(self):
        self.created = self.now

    def fence_all(self):
        self.edit_leader(1).phase = "fencing"
        for name in self.case.reached_by_second or self.case.old_roster:
            self.send(1, name, True, "fence")

    def join(self):
        self.joined = True
        self.send(0, self.case.joining, True, "fence")

    def write(self):
        """Write the roster with the new agent to the platform's store."""
        self.written = True
        leader = self.edit_leader(0)
        leader.quorum.roster = roster_of(2, self.case.agents)

    def restart(self, name):
        self.restarts -= 1
        incarnation = self.agents[name].incarnation + 1
        self.agents[name] = ModelAgent(incarnation=incarnation)
        for index in (0, 1):
            self.channels.pop((index, name, True), None)
            if self.leaders[index].rounds == self.case.rounds[index]:
                continue
            self.send(index, name, False, "hello")

    def may_place(self, leader, name):
        if self.created is None or leader.placed or leader.knows_begun_job:
            return False
        if "uncertain before time" not in self.case.removed_guards and (
            self.created < leader.uncertain_before
        ):
            return False
        if "recorded roster" in self.case.removed_guards:
            return leader.quorum.members[name].counted
        return leader.quorum.is_counted(name)

    def place(self, index, name):
        self.edit_leader(index).placed = True
        self.send(index, name, True, "start")

    def open(self, index):
        leader = self.edit_leader(index)
        leader.rounds += 1
        number = leader.quorum.open_round()
        for name in leader.quorum.members:
            self.heartbeat(index, name, number)

    def heartbeat(self, index, name, number):
        leader = self.leaders[index]
        member = leader.quorum.members[name]
        stamp = member.proven_stamp_us
        self.send(
            index, name, True, "heartbeat", number, stamp,
            leader.quorum.roster.version,
        )  # fmt: skip

    def try_serve(self, index):
        leader = self.edit_leader(index)
        quorum = leader.quorum
        restarted = quorum.restarted()
        if "restart check" in self.case.removed_guards:
            restarted = []
        if quorum.is_complete() and not restarted:
            leader.phase = "serving"
            return
        if not quorum.has_majority():
            leader.majority_at = None
            return
        if leader.majority_at is None:
            leader.majority_at = self.now
        since = max([leader.majority_at, *(m.promised_at for m in restarted)])
        if "wait" in self.case.removed_guards or self.now >= since + LEASE:
            leader.phase, leader.uncertain_before = "serving", self.now

    # Messages.

    def deliver(self, channel):
        index, name, toward_agent = channel
        message, *rest = self.channels[channel]
        self.channels[channel] = tuple(rest)
        if toward_agent:
            self.to_agent(index, name, *message)
        else:
            self.to_leader(index, name, *message)

    def to_agent(self, index, name, kind, *fields):
        agent = self.edit_agent(name)
        term = self.leaders[index].term
        if kind == "fence":
            if term >= agent.promised:
                agent.promised = term
                if "lease on fence" not in self.case.removed_guards:
                    agent.lease = NEVER
            self.send(
                index, name, False, "promise", agent.promised, self.now,
                agent.begun, agent.incarnation, agent.roster.version,
            )  # fmt: skip
        elif kind == "heartbeat":
            number, stamp, version = fields
            if term == agent.promised:
                if stamp:
                    agent.lease = max(agent.lease, stamp + LEASE)
                if version > agent.roster.version:
                    agent.roster = self.leaders[index].quorum.roster
            if number:
                self.send(
                    index, name, False, "confirm", agent.promised, number,
                    self.now, agent.roster.version,
                )  # fmt: skip
        elif self.admits(agent, term):
            agent.begun = True
            self.start_count += 1

    def admits(self, agent, term):
        lease = self.now < agent.lease or "lease" in self.case.removed_guards
        ledger = not agent.begun or "ledger" in self.case.removed_guards
        fenced = term == agent.promised or "term" in self.case.removed_guards
        return lease and ledger and fenced

    def to_leader(self, index, name, kind, *fields):
        if self.leaders[index].phase == "ended":
            return
        leader = self.edit_leader(index)
        if kind == "hello":
            leader.quorum.remove(name)
            if leader.phase != "idle":
                self.send(index, name, True, "fence")
        elif fields[0] > leader.term:
            leader.phase = "ended"
            for channel in [c for c in self.channels if c[0] == index]:
                if not channel[2]:
                    del self.channels[channel]
        elif kind == "promise":
            self.handle_promise(leader, name, *fields[1:])
        else:
            number, stamp, version = fields[1:]
            members = leader.quorum.members
            before = {m: members[m].proven_stamp_us for m in members}
            leader.quorum.confirm(
                name, round_number=number, stamp_us=stamp,
                roster_version=version, now=self.now,
            )  # fmt: skip
            for other in list(members):
                if members[other].proven_stamp_us > before[other]:
                    self.heartbeat(index, other, 0)

    def handle_promise(self, leader, name, stamp, begun, incarnation, version):
        quorum = leader.quorum
        if version > quorum.roster.version and (
            "roster in the fence reply" not in self.case.removed_guards
        ):
            quorum.roster = roster_of(version, self.case.agents)
            self.send(1, self.case.joining, True, "fence")
        fencing = leader.phase == "fencing"
        fencing |= "confirmations" in self.case.removed_guards
        add = quorum.add_fenced if fencing else quorum.add_joining
        add(name, incarnation=incarnation, stamp_us=stamp, now=self.now)
        if begun and "report of begun jobs" not in self.case.removed_guards:
            leader.knows_begun_job = True


def search(case, *, max_states=2_000_000, depth_first=False):
    """Return the number of states and a path to a double start, or None.

    Depth first, a path is found sooner; breadth first, it is the shortest.
    """
    first = State(case)
    predecessors = {first.key(): None}
    unvisited = deque([first])
    while unvisited:
        state = unvisited.pop() if depth_first else unvisited.popleft()
        key = state.key()
        for name, action, *arguments in state.step():
            successor = state.copy()
            action(successor, *arguments)
            found = successor.key()
            if found in predecessors:
                continue
            predecessors[found] = (key, name)
            if successor.start_count > 1:
                return len(predecessors), path_to(predecessors, found)
            if len(predecessors) > max_states:
                raise RuntimeError(f"more than {max_states} states")
            unvisited.append(successor)
    return len(predecessors), None


def path_to(predecessors, key):
    names = []
    while predecessors[key] is not None:
        key, name = predecessors[key]
        names.append(name)
    return names[::-1]
