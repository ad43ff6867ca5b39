import random

from behave import given
from behave import then
from behave import when
from job_release_steps import RecordingLog

from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_process import DirectEntryProcess
from egretcart.direct.entry.entry_process import READINESS_DETECTION_S
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.log.decisions import RotationChanged
from egretcart.direct.policy.rotation import Rotation
from egretcart.direct.policy.rotation import RotationChange
from egretcart.direct.policy.rotation import RotationLimits
from egretcart.direct.version.configuration import Route
from egretcart.direct.version.configuration import RoutingConfiguration

STEP_S = 0.01
CHECK_INTERVAL_S = 1.0
MISSES = 2
LATE_S = 0.2
# Longest turn of an entry's loop: later requests wait for another one.
MAX_TURN_S = 0.3
QUIET_S = 5.0
AFTER_S = 25.0
ROUTE = Route(
    name="route", host="host", prefix="/", service="service", slack_ms=60.0
)
STATUS = AgentStatus(
    agent_id="agent",
    service_name="service",
    accepting=True,
    cpu_milli=10,
    memory_mb=10,
    free_cpu_milli=10,
    free_memory_mb=10,
)


class Machine:
    """An entry, its machine, and what the balancer thinks of it.

    Attributes
    ----------
    slowdown : float
    backlog_s : float
        Work that waits, in seconds of the machine as it is.
    """

    def __init__(self, name):
        self.log = RecordingLog()
        self.entry = DirectEntry(
            entry_id=name,
            limits=DirectEntryLimits(),
            log=self.log,
            source=random.Random(1),
        )
        configuration = RoutingConfiguration(version=1, routes=(ROUTE,))
        self.entry.configure(configuration, "store")
        self.slowdown = 1.0
        self.backlog_s = 0.0
        self.misses = 0
        self.next_tick_at = 0.0

    @property
    def in_rotation(self):
        return self.misses < MISSES

    def check(self):
        self.misses = 0 if self.entry.is_ready else self.misses + 1

    def changes(self):
        return [
            decision
            for decision in self.log.decisions
            if isinstance(decision, RotationChanged)
        ]


class World:
    """Entries that share callers, and a balancer that checks readiness.

    Parameters
    ----------
    count : int
    load : float
        Work of the callers of one entry, as a share of its time.

    Attributes
    ----------
    callers, late : float
        Work of callers so far, and of those that had to wait too long.
    out_s : float
        Time in which some entry was out of the rotation, in seconds.
    """

    def __init__(self, *, count, load):
        self.load = load
        self.now = 1.0
        self.machines = {
            f"entry-{number}": Machine(f"entry-{number}")
            for number in range(count)
        }
        self.next_check_at = self.now
        self.callers = self.late = self.out_s = 0.0
        for name, machine in self.machines.items():
            machine.entry.agent_connected(
                AgentHello(status=STATUS, settled=True), self.now
            )
            for other in self.machines.keys() - {name}:
                machine.entry.peer_connected(other, self.now)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            if self.now >= self.next_check_at:
                self.next_check_at += CHECK_INTERVAL_S
                for machine in self.machines.values():
                    machine.check()
            self._serve_callers()
            for name, machine in self.machines.items():
                if self.now >= machine.next_tick_at:
                    self._tick(name, machine)

    def _serve_callers(self):
        machines = list(self.machines.values())
        used = [item for item in machines if item.in_rotation]
        if len(used) < len(machines) / 2:
            used = machines
        work_s = self.load * STEP_S * len(machines) / len(used)
        for machine in machines:
            if machine in used:
                self.callers += work_s
                self.late += work_s * (machine.backlog_s > LATE_S)
                machine.backlog_s += work_s * machine.slowdown
            machine.backlog_s = max(0.0, machine.backlog_s - STEP_S)
        self.out_s += STEP_S * (len(used) < len(machines))

    def _tick(self, name, machine):
        turn_s = min(machine.backlog_s, MAX_TURN_S)
        interval_s = machine.entry.limits.tick_interval_s
        machine.next_tick_at = self.now + interval_s + turn_s
        machine.entry.receive("agent", STATUS, self.now)
        for effect in machine.entry.tick(self.now):
            if isinstance(effect, SendToPeer) and isinstance(
                effect.message, Beat
            ):
                self.machines[effect.entry_id].entry.peer_heartbeat_received(
                    name, self.now, effect.message.lateness_ms
                )

    def slow_down(self, machines, slowdown, seconds):
        """Slow machines down, and count only the callers of that time."""
        self.run(QUIET_S)
        self.callers = self.late = self.out_s = 0.0
        for machine in machines:
            machine.slowdown = slowdown
        self.run(seconds)
        for machine in machines:
            machine.slowdown = 1.0


@given("{count:d} entries that callers use at {load:f} of what each can carry")
def make_world(context, count, load):
    context.world = World(count=count, load=load)
    context.machine = context.world.machines["entry-0"]


@when("one of them is {slowdown:d} times as slow for {seconds:d} s")
def slow_one(context, slowdown, seconds):
    context.seconds = seconds
    context.world.slow_down([context.machine], slowdown, seconds)


@when("all of them are {slowdown:d} times as slow for {seconds:d} s")
def slow_all(context, slowdown, seconds):
    world = context.world
    world.slow_down(list(world.machines.values()), slowdown, seconds)


@when("one of them is paused for {seconds:f} s")
def pause_one(context, seconds):
    context.world.run(QUIET_S)
    context.machine.next_tick_at += seconds
    context.world.run(QUIET_S)


@then("at most {share:f} of the callers of that time wait for more than 0.2 s")
def check_late(context, share):
    world = context.world
    assert world.late <= share * world.callers, world.late / world.callers


@then(
    "it has left and returned at most {count:d} times, and is back at the end"
)
def check_flapping(context, count):
    context.world.run(AFTER_S)
    states = [change.state for change in context.machine.changes()]
    assert states == ["left", "returned"] * (len(states) // 2), states
    assert 1 <= len(states) // 2 <= count, states
    assert context.machine.entry.is_ready


@then("its log lines say when and why")
def check_lines(context):
    left, returned = context.machine.changes()[:2]
    assert left.lateness_ms > left.tolerated_ms == 60, left
    assert left.others_with_room == left.others == 3, left
    assert returned.lateness_ms <= left.tolerated_ms / 4, returned


@then("none has left the rotation")
def check_none_left(context):
    for machine in context.world.machines.values():
        assert not machine.changes(), machine.changes()


@then("the entries have not left for more than {share:f} of that time")
def check_short_absence(context, share):
    world = context.world
    assert world.out_s <= share * context.seconds, world.out_s


def record_late_ticks(rotation):
    """Return the first change while all ticks are a second late."""
    for number in range(20):
        change = rotation.record(1.05, float(number))
        if change is not None:
            return change
    return None


@then("an entry leaves only if the objectives have a slack")
def check_slack(context):
    rotation = Rotation(limits=RotationLimits(), tick_interval_s=0.05)
    rotation.others_s["other"] = 0.0
    assert record_late_ticks(rotation) is None
    rotation.tolerate(RoutingConfiguration().shortest_slack_s)
    assert record_late_ticks(rotation) is None
    configuration = RoutingConfiguration(version=1, routes=(ROUTE,))
    rotation.tolerate(configuration.shortest_slack_s)
    assert record_late_ticks(rotation) is RotationChange.LEFT


@then("an entry of an earlier release counts as one with room")
def check_earlier_release(context):
    rotation = Rotation(limits=RotationLimits(), tick_interval_s=0.05)
    rotation.tolerate(0.06)
    assert record_late_ticks(rotation) is None
    # It sends no lateness.
    rotation.others_s["other"] = Beat(version=1).lateness_ms / 1000
    assert record_late_ticks(rotation) is RotationChange.LEFT


@then("one that has left, or is no longer connected, does not")
def check_no_room(context):
    left = Rotation(limits=RotationLimits(), tick_interval_s=0.05)
    left.tolerate(0.06)
    left.others_s["other"] = 0.0
    assert record_late_ticks(left) is RotationChange.LEFT
    # It is idle by now.
    left.lateness_s = 0.0
    entry = Machine("entry").entry
    entry.peer_connected("left", 1.0)
    entry.peer_heartbeat_received("left", 1.0, round(left.reported_s * 1000))
    assert entry.rotation.others_with_room == 0
    entry.peer_heartbeat_received("left", 1.0, 0)
    assert entry.rotation.others_with_room == 1
    entry.peer_disconnected("left")
    assert entry.rotation.others_with_room == 0


class Connection:
    def __init__(self):
        self.asked_to_close = 0

    def close_if_idle(self):
        self.asked_to_close += 1


class Listener:
    def __init__(self):
        self.stopping = False
        self.connections = {Connection(), Connection()}


@given("an entry with open connections that leaves the rotation")
def open_connections(context):
    process = DirectEntryProcess.__new__(DirectEntryProcess)
    process.entry = Machine("entry").entry
    process.listeners = [Listener(), Listener()]
    process.entry.rotation.is_out = True
    process.entry.rotation.changed_at = 10.0
    context.process = process


@then("idle ones are closed, and the others after their response")
def check_closing(context):
    process = context.process
    callers, balancer = process.listeners
    # The balancer would send the callers here again.
    process._follow_rotation(10.0 + READINESS_DETECTION_S / 2)
    assert not callers.stopping
    for _ in range(2):
        process._follow_rotation(10.0 + READINESS_DETECTION_S)
        assert callers.stopping
    assert {item.asked_to_close for item in callers.connections} == {1}
    assert not balancer.stopping
    assert not any(item.asked_to_close for item in balancer.connections)


@then("connections are kept open again after its return")
def check_kept_open(context):
    process = context.process
    process.entry.rotation.is_out = False
    process._follow_rotation(20.0)
    assert not process.listeners[0].stopping


@then("they are not if the entry is to stop")
def check_stop(context):
    process = context.process
    process.entry.admission.stop_deadline = 30.0
    process.listeners[0].stopping = True
    process._follow_rotation(21.0)
    assert process.listeners[0].stopping
