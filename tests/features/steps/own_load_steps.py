import dataclasses
import heapq
import random

from behave import given
from behave import then

from egretcart.direct.policy.own_load import OwnLoad
from egretcart.direct.policy.own_load import OwnLoadLimits

COST_S = 0.0045
RESULT_COST_S = 0.001
REFUSAL_COST_S = 0.001
RUN_S = 0.1
OBJECTIVE_S = 0.3
USEFUL_S = 0.6
JOB = {"objective_s": OBJECTIVE_S, "useful_s": USEFUL_S, "run_s": RUN_S}
TICK_S = 0.05
DURATION_S = 15
# After this time an entry has noticed its lag and has worked it off.
NOTICED_S = 2
LIMITS = OwnLoadLimits()
CAPACITY_PER_S = 1 / (COST_S + RESULT_COST_S)


@dataclasses.dataclass
class Played:
    """What became of the requests, as (arrived, ended) in seconds."""

    answered: list = dataclasses.field(default_factory=list)
    refused: list = dataclasses.field(default_factory=list)
    changes: list = dataclasses.field(default_factory=list)


class Player:
    """Plays a loop that takes processor time for each input."""

    def __init__(self, load, own_load, heeds_readiness=False):
        self.own = own_load
        self.load = load
        self.heeds_readiness = heeds_readiness
        self.source = random.Random(7)
        self.now = 0.0
        self.played = Played()
        self.order = 0
        self.inputs = []

    def add(self, at, kind, arrived):
        self.order += 1
        heapq.heappush(self.inputs, (at, self.order, kind, arrived))

    def add_arrival(self, at):
        rate_per_s = self.load(at)
        if self.heeds_readiness and self.own and not self.own.is_ready:
            rate_per_s /= 6
        self.add(at + self.source.expovariate(rate_per_s), "request", None)

    def play(self, duration_s):
        self.add_arrival(0.0)
        self.add(TICK_S, "tick", None)
        while self.now < duration_s:
            self.play_turn()
        return self.played

    def play_turn(self):
        timeout_s = max(0.0, self.inputs[0][0] - self.now)
        if self.own:
            self.own.end_turn(self.now, timeout_s)
        self.now += timeout_s
        if self.own:
            self.own.begin_turn(self.now)
        ready = []
        while self.inputs and self.inputs[0][0] <= self.now:
            at, _, kind, arrived = heapq.heappop(self.inputs)
            ready.append((at, kind, arrived))
            if kind == "request":
                self.add_arrival(at)
        self.source.shuffle(ready)
        for at, kind, arrived in ready:
            self.handle(at, kind, arrived)

    def handle(self, at, kind, arrived):
        if kind == "request":
            self.handle_request(at)
        elif kind == "result":
            self.now += RESULT_COST_S
            self.played.answered.append((arrived, self.now))
        else:
            self.add(self.now + TICK_S, "tick", None)
            if self.own and self.own.update(self.now):
                self.played.changes.append((self.now, self.own.is_ready))

    def handle_request(self, at):
        refusal = self.own and self.own.retry_after_s(now=self.now, **JOB)
        if refusal:
            self.now += REFUSAL_COST_S
            self.played.refused.append((at, self.now))
        else:
            self.now += COST_S
            self.add(self.now + RUN_S, "result", at)


def new_own_load():
    return OwnLoad(limits=LIMITS, source=random.Random(3))


def play(context, *, own_load, duration_s=DURATION_S, heeds=False):
    player = Player(context.load, own_load, heeds_readiness=heeds)
    return player.play(duration_s)


def since(start, requests):
    return [request for request in requests if request[0] >= start]


def on_time(answered):
    return [a for a in answered if a[1] - a[0] <= OBJECTIVE_S]


def readiness_changes(played):
    """Return when the readiness has changed, and to what, at first ready."""
    changes, is_ready = [], True
    for at, ready in played.changes:
        if ready != is_ready:
            changes.append((at, ready))
            is_ready = ready
    return changes


@given("an entry that gets three times the requests that it can handle")
def triple(context):
    context.load = lambda at: 3 * CAPACITY_PER_S


@given("an entry that gets half of the requests that it can handle")
def half(context):
    context.load = lambda at: 0.5 * CAPACITY_PER_S


@then("by today's rule nearly all its answers are late")
def check_accepting_all(context):
    answered = play(context, own_load=None).answered
    assert len(on_time(answered)) < 0.05 * len(answered)


@then("by its lag the jobs that it accepts are answered on time")
def check_on_time(context):
    context.played = play(context, own_load=new_own_load())
    answered = since(NOTICED_S, context.played.answered)
    assert len(on_time(answered)) > 0.95 * len(answered)


@then("it serves as many on time as its processor carries")
def check_rate(context):
    refused = since(NOTICED_S, context.played.refused)
    left_s = DURATION_S - NOTICED_S - len(refused) * REFUSAL_COST_S
    served = on_time(since(NOTICED_S, context.played.answered))
    assert len(served) > 0.9 * left_s * CAPACITY_PER_S, len(served)


@then("it refuses the others within half of their objective")
def check_refusals(context):
    refused = since(NOTICED_S, context.played.refused)
    soon = [r for r in refused if r[1] - r[0] <= OBJECTIVE_S / 2]
    assert len(soon) > 0.95 * len(refused) > 0


@then("by its lag it refuses nothing and stays ready")
def check_no_lag(context):
    played = play(context, own_load=new_own_load())
    assert played.answered
    assert (played.refused, played.changes) == ([], [])


def late_entry(*, updated):
    """Return an entry in the middle of a long turn, and the time."""
    own_load = new_own_load()
    for _ in range(40):
        own_load.retry_after_s(now=0.0, **JOB)
    now = 0.0
    own_load.begin_turn(now)
    for _ in range(10):
        now += 0.2
        own_load.end_turn(now, 0.0)
        own_load.begin_turn(now)
    if updated:
        assert own_load.update(now)
    return own_load, now + 0.05


@then("a job that can wait for longer than the lag is accepted")
def check_patient(context):
    own_load, now = late_entry(updated=True)
    patient = {"objective_s": 2.0, "useful_s": 6.0, "run_s": 1.0}
    assert own_load.retry_after_s(now=now, **patient) is None
    assert own_load.retry_after_s(now=now, **JOB) is not None


@then("a late job is accepted while the entry is not behind")
def check_not_behind(context):
    own_load, now = late_entry(updated=False)
    assert own_load.request_age_s(now) > 0.1
    assert own_load.retry_after_s(now=now, **JOB) is None


@then("a job whose answer would be of no use is refused all the same")
def check_useless(context):
    own_load, now = late_entry(updated=False)
    assert own_load.retry_after_s(now=now + USEFUL_S, **JOB) is not None


@then("the times are within their bounds, grow and differ")
def check_retry(context):
    own_load, now = late_entry(updated=True)
    for lasted_s, low_s, high_s in ((0, 1, 2), (3, 3, 6), (30, 10, 10)):
        times_s = {
            own_load.retry_after_s(now=now + lasted_s, **JOB)
            for _ in range(20)
        }
        assert low_s <= min(times_s) <= max(times_s) <= high_s + 0.2
        assert len(times_s) > 1 or low_s == high_s


@then("it is not ready until the load ends, and ready soon after")
def check_ready_again(context):
    triple, end_s = context.load(0), 20
    context.load = lambda at: triple if at < end_s else triple / 6
    played = play(context, own_load=new_own_load(), duration_s=30)
    (left_at, _), (back_at, is_ready) = readiness_changes(played)
    assert left_at < 4
    assert is_ready
    assert end_s < back_at < end_s + 4


@then("if the balancer heeds it, it is ready again ever more rarely")
def check_heeded(context):
    context.load = lambda at: 3 * CAPACITY_PER_S
    own_load = new_own_load()
    played = play(context, own_load=own_load, duration_s=90, heeds=True)
    returns = [at for at, ready in readiness_changes(played) if ready]
    assert 2 <= len(returns) <= 6, returns
    assert sum(at >= 45 for at in returns) <= 2, returns


@then("a burst of a second does not change its readiness")
def check_burst(context):
    context.load = lambda at: CAPACITY_PER_S * (3 if 5 <= at < 6 else 0.5)
    played = play(context, own_load=new_own_load(), duration_s=12)
    assert played.refused
    assert readiness_changes(played) == []
