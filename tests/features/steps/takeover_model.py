"""All interleavings of a takeover, over a compact model.

The leaders count with the real `Quorum`; agents, messages and the wait
are modelled. Time moves in whole steps, the same for all. Messages take
any time but for those to the second leader, which arrive at once. The
first leader has proven a stamp of each agent when the search begins.
"""

from collections import deque
import dataclasses

from egretcart.connection.messages import Roster
from egretcart.connection.messages import RosterMember
from egretcart.process.cell.quorum import Quorum

LEASE = 1
NEVER = -9
NO_ROSTER = Roster()


@dataclasses.dataclass(frozen=True)
class Case:
    """Bounds of one search, and guards that a mutation may take out."""

    agents: str
    old_roster: str
    first_reach: str = ""
    reach: str = ""
    joining: str = ""
    restarts: int = 0
    lured: bool = False  # Only the first leader reaches a restarted agent.
    second_roster: str = ""
    rounds: tuple = (1, 1)
    last_time: int = 3
    atomic_second: bool = False
    guards: frozenset = frozenset()

    def without(self, guard):
        return dataclasses.replace(self, guards=self.guards | {guard})


def roster_of(version, names, incarnations=None):
    known = incarnations or {}
    return Roster(
        version=version,
        members=tuple(
            RosterMember(agent_id=n, incarnation=known.get(n, 0))
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
        self.barrier = 0
        self.known = self.placed = False
        self.rounds = 0
        self.cached_key = None

    def copy(self):
        twin = ModelLeader(self.term, self.quorum.roster)
        twin.__dict__.update(self.__dict__)
        twin.cached_key = None
        quorum = Quorum(roster=self.quorum.roster)
        quorum.__dict__.update(self.quorum.__dict__)
        quorum.members = {
            name: dataclasses.replace(
                member, pending_stamps=list(member.pending_stamps)
            )
            for name, member in self.quorum.members.items()
        }
        twin.quorum = quorum
        return twin

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
            self.phase, self.majority_at, self.barrier, self.known,
            self.placed, self.rounds, members, q.roster.version,
            q.opened_round, q.proven_round, q.recorded_ids,
        )  # fmt: skip


class State:
    """One state of the model; `step` yields all successors."""

    def __init__(self, case):
        self.case = case
        self.now, self.created, self.begun = 1, None, 0
        self.restarts, self.joined = case.restarts, not case.joining
        old = roster_of(1, case.old_roster)
        self.agents = {name: ModelAgent() for name in case.agents}
        newer = roster_of(2, case.second_roster) if case.second_roster else old
        self.leaders = [ModelLeader(1, old), ModelLeader(2, newer)]
        self.written = False
        self.channels = {}
        first = self.leaders[0]
        first.phase = "serving"
        for name in case.first_reach or case.old_roster:
            self.agents[name].promised = 1
            self.agents[name].roster = old
            self.agents[name].lease = self.now + LEASE
            first.quorum.add_fenced(
                name, incarnation=0, stamp_us=self.now, now=self.now
            )
        first.quorum.recorded_ids = old.agent_ids

    def copy(self):
        twin = object.__new__(State)
        twin.__dict__.update(self.__dict__)
        twin.agents = dict(self.agents)
        twin.leaders = list(self.leaders)
        twin.channels = dict(self.channels)
        return twin

    def edit_agent(self, name):
        self.agents[name] = dataclasses.replace(self.agents[name])
        return self.agents[name]

    def edit_leader(self, index):
        self.leaders[index] = self.leaders[index].copy()
        return self.leaders[index]

    def key(self):
        return (
            self.now, self.created, self.begun, self.restarts, self.joined,
            self.written,
            tuple(a.key() for a in self.agents.values()),
            tuple(leader.key() for leader in self.leaders),
            tuple(sorted((k, v) for k, v in self.channels.items() if v)),
        )  # fmt: skip

    def send(self, index, name, down, *message):
        if not down and self.leaders[index].phase == "ended":
            return
        if index == 1 and self.is_lured(name):
            return
        if index == 1 and not down:
            self.to_leader(index, name, *message)
            return
        if index == 1 and self.case.atomic_second:
            self.to_agent(index, name, *message)
            return
        channel = (index, name, down)
        self.channels[channel] = (*self.channels.get(channel, ()), message)

    def is_lured(self, name):
        return self.case.lured and self.agents[name].incarnation > 0

    # Successors.

    def step(self):
        yield from self.surroundings()
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

    def surroundings(self):
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
        for name in self.case.reach or self.case.old_roster:
            self.send(1, name, True, "fence")

    def join(self):
        self.joined = True
        self.send(0, self.case.joining, True, "fence")

    def write(self):
        """Store the roster with the new agent in the platform."""
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
        if self.created is None or leader.placed or leader.known:
            return False
        if "barrier" not in self.case.guards and (
            self.created < leader.barrier
        ):
            return False
        if "recorded" in self.case.guards:
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
            index, name, True, "beat", number, stamp,
            leader.quorum.roster.version,
        )  # fmt: skip

    def try_serve(self, index):
        leader = self.edit_leader(index)
        quorum = leader.quorum
        restarted = quorum.restarted()
        if "restarted" in self.case.guards:
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
        if "wait" in self.case.guards or self.now >= since + LEASE:
            leader.phase, leader.barrier = "serving", self.now

    # Messages.

    def deliver(self, channel):
        index, name, down = channel
        message, *rest = self.channels[channel]
        self.channels[channel] = tuple(rest)
        if down:
            self.to_agent(index, name, *message)
        else:
            self.to_leader(index, name, *message)

    def to_agent(self, index, name, kind, *fields):
        agent = self.edit_agent(name)
        term = self.leaders[index].term
        if kind == "fence":
            if term >= agent.promised:
                agent.promised = term
                if "lease on fence" not in self.case.guards:
                    agent.lease = NEVER
            self.send(
                index, name, False, "promise", agent.promised, self.now,
                agent.begun, agent.incarnation, agent.roster.version,
            )  # fmt: skip
        elif kind == "beat":
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
            self.begun += 1

    def admits(self, agent, term):
        lease = self.now < agent.lease or "lease" in self.case.guards
        ledger = not agent.begun or "ledger" in self.case.guards
        fenced = term == agent.promised or "term" in self.case.guards
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
            self.promised(leader, name, *fields[1:])
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

    def promised(self, leader, name, stamp, begun, incarnation, version):
        quorum = leader.quorum
        if version > quorum.roster.version and (
            "fence roster" not in self.case.guards
        ):
            quorum.roster = roster_of(version, self.case.agents)
            self.send(1, self.case.joining, True, "fence")
        fencing = leader.phase == "fencing"
        fencing |= "witnesses" in self.case.guards
        add = quorum.add_fenced if fencing else quorum.add_joining
        add(name, incarnation=incarnation, stamp_us=stamp, now=self.now)
        if begun and "summary" not in self.case.guards:
            leader.known = True


def search(case, *, max_states=2_000_000, depth_first=False):
    """Return the number of states and a path to a double start, or None.

    A path is found sooner depth first, and is the shortest otherwise.
    """
    first = State(case)
    origin = {first.key(): None}
    todo = deque([first])
    while todo:
        state = todo.pop() if depth_first else todo.popleft()
        key = state.key()
        for name, action, *arguments in state.step():
            successor = state.copy()
            action(successor, *arguments)
            found = successor.key()
            if found in origin:
                continue
            origin[found] = (key, name)
            if successor.begun > 1:
                return len(origin), path_to(origin, found)
            if len(origin) > max_states:
                raise RuntimeError(f"more than {max_states} states")
            todo.append(successor)
    return len(origin), None


def path_to(origin, key):
    names = []
    while origin[key] is not None:
        key, name = origin[key]
        names.append(name)
    return names[::-1]
