import signal
import time

from behave import then
from behave import when
from loopback import LoopbackNetwork
from soak_ends import ProcessEnds
from soak_ends import STOP_BOUND_S
from soak_troubles import draw_troubles
from soak_troubles import KINDS
from soak_troubles import SERVING_BOUND_S
from soak_troubles import StartTroubles
import trio

NAME = "agent-1"
TROUBLE = "hold_address begins"
LAST_LINE = "OSError: [Errno 98] Address already in use"
NAMES = (NAME, "agent-2", "agent-3", "entry-1", "entry-2", "entry-3")


class FakeProcess:
    """A process whose end the test decides."""

    pid = 4711

    def __init__(self):
        self.status = None

    def poll(self):
        return self.status

    def send_signal(self, number):
        pass


class RecordingWorld:
    """What the checks of starts and ends need of a soak."""

    def __init__(self, context):
        self.violations, self.event_log = [], []
        self.record_violation = self.violations.append
        self.log_event = self.event_log.append
        self.disturbed_until = {}
        self.commands = {NAME: ("agent", {})}
        self.log = []
        self.lines = lambda name: self.log
        network = LoopbackNetwork()
        context.add_cleanup(network.close)
        self.hosts = {NAME: network.host(1)}
        self.ports = {NAME: network.ports}
        self.ends = ProcessEnds(self)
        self.ends.troubles[NAME] = TROUBLE
        self.processes = {NAME: FakeProcess()}
        self.record = self.ends.add(NAME, self.processes[NAME])
        self.log.append(LAST_LINE)


@when("a process that was sent {signals} ends with status {status:d}")
def end_process(context, signals, status):
    world = context.soak = RecordingWorld(context)
    for name in signals.split(" and "):
        if name != "no signal":
            world.ends.tell(world.record.process, signal.Signals[name])
    world.record.process.status = status
    world.ends.check()
    world.ends.check()


@when(
    "a process runs {seconds:d} s longer than its bound after SIGTERM, and "
    "a pause ended {before:d} s before"
)
def run_on(context, seconds, before):
    world = context.soak = RecordingWorld(context)
    now = time.monotonic()
    asked_at = now - STOP_BOUND_S - seconds
    world.record.told.append((signal.SIGTERM, asked_at))
    world.disturbed_until[NAME] = now - before
    world.ends.check()
    world.ends.check()


@when("a process answers nobody {seconds:d} s longer than its bound")
def answer_nobody(context, seconds):
    world = context.soak = RecordingWorld(context)
    ended_at = time.monotonic() - SERVING_BOUND_S - seconds
    trio.run(StartTroubles(world, []).check_serving, NAME, ended_at)


@then("the violation names the process, its trouble and its last line")
def check_report(context):
    (violation,) = context.soak.violations
    for part in (NAME, TROUBLE, LAST_LINE):
        assert part in violation, violation


def drawn(trouble):
    return trouble.at_s, trouble.kind, trouble.name, trouble.source.getstate()


@when("the troubles of seed {seed:d} are drawn for {seconds:d} seconds")
def draw(context, seed, seconds):
    context.troubles = draw_troubles(seed, NAMES, seconds)
    again = draw_troubles(seed, NAMES, seconds)
    assert list(map(drawn, context.troubles)) == list(map(drawn, again))


@then("each kind comes equally often, but for one")
def check_kinds(context):
    counts = [
        sum(trouble.kind == kind for trouble in context.troubles)
        for kind in KINDS
    ]
    assert max(counts) - min(counts) <= 1, counts
    assert min(counts) > 0, counts
