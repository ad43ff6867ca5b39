import random

from behave import given
from behave import then
from behave import when

from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import EntriesServed
from egretcart.direct.connection.messages import EvictJob
from egretcart.direct.connection.messages import JobEvicted
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import StopTasks
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.peer_messages import JobReleased
from egretcart.direct.connection.peer_messages import JobsTaken
from egretcart.direct.connection.peer_messages import ReleaseJob
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.log.decisions import JobAccepted
from egretcart.direct.request.job import Job
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step
from egretcart.direct.version.configuration import Route

JOB = Job(
    job_id="a" * 16,
    payload="payload",
    steps=(Step(count=1, room=Room(1, 1, 0), estimate_ms=400.0),),
)
ROUTE = Route(
    name="route",
    host="host",
    prefix="/jobs/",
    service="service",
    max_attempts=4,
    stretch=1.6,
    slack_ms=60.0,
)
LIMITS = DirectEntryLimits()


class RecordingLog:
    def __init__(self):
        self.decisions = []

    def write(self, decision):
        self.decisions.append(decision)


class Exchange:
    """An entry with one agent, and what it has sent.

    Attributes
    ----------
    now : float
    effects : list of EntryEffect
        All effects of the entry so far.
    """

    def __init__(self, *, peers=("entry-1",), served=("entry",)):
        self.log = RecordingLog()
        self.entry = DirectEntry(
            entry_id="entry",
            limits=LIMITS,
            log=self.log,
            source=random.Random(1),
        )
        self.now = 1.0
        self.effects = []
        self.entry.tick(self.now)
        for peer in peers:
            self.entry.peer_connected(peer, self.now)
        status = AgentStatus(
            agent_id="agent",
            service_name="service",
            accepting=True,
            cpu_milli=10,
            memory_mb=10,
            free_cpu_milli=10,
            free_memory_mb=10,
        )
        self.entry.agent_connected(
            AgentHello(status=status, settled=True), self.now
        )
        self.status = status
        self.served = EntriesServed(entry_ids=served)
        self.entry.receive("agent", self.served, self.now)

    def submit(self, request_id=1):
        self.effects += self.entry.submit(request_id, JOB, ROUTE, self.now)

    def from_peer(self, message, entry_id="entry-1"):
        self.effects += self.entry.receive_from_peer(
            entry_id, message, self.now
        )

    def from_agent(self, message):
        self.effects += self.entry.receive("agent", message, self.now)
        self.effects += self.entry.dispatch_waiting(self.now)

    def advance(self, seconds, *, alive=()):
        """Let time pass while the agent and some entries send messages."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.05)
            self.entry.receive("agent", self.status, self.now)
            self.entry.receive("agent", self.served, self.now)
            for peer in alive:
                self.entry.peer_heartbeat_received(peer, self.now)
            self.effects += self.entry.tick(self.now)

    def sent(self, kind):
        """Return the messages of a kind, each with its receiver."""
        found = []
        for effect in self.effects:
            if isinstance(effect, SendToPeer):
                receiver = effect.entry_id
            elif isinstance(effect, SendToAgent):
                receiver = effect.agent_id
            else:
                continue
            if isinstance(effect.message, kind):
                found.append((receiver, effect.message))
        return found

    def answers(self):
        return [item for item in self.effects if isinstance(item, Answer)]

    def is_accepted(self):
        return any(
            isinstance(decision, JobAccepted)
            for decision in self.log.decisions
        )


def end_of_run(exchange, ending):
    _, sent = exchange.sent(RunTasks)[-1]
    return TaskEnded(
        job_id=JOB.job_id, step=0, index=0, run=sent.run, ending=ending
    )


@given("an entry that runs a job at an agent")
def start_running(context):
    exchange = context.exchange = Exchange()
    exchange.submit()
    assert exchange.sent(RunTasks)


@when("another entry asks for the job")
def ask(context):
    context.exchange.from_peer(ReleaseJob(number=7, job_id=JOB.job_id))


@then("its caller is told to ask again, and the run is stopped")
def check_interrupted(context):
    exchange = context.exchange
    assert [answer.interrupted for answer in exchange.answers()] == [True]
    assert exchange.sent(StopTasks)


@then("the other entry gets its answer only after the end of the run")
def check_answer_after_end(context):
    exchange = context.exchange
    exchange.advance(0.2, alive=["entry-1"])
    assert not exchange.sent(JobReleased)
    exchange.from_agent(end_of_run(exchange, "stopped"))
    assert exchange.sent(JobReleased) == [("entry-1", JobReleased(number=7))]


@when("the run succeeds and another entry asks for the job")
def succeed_and_ask(context):
    context.exchange.from_agent(end_of_run(context.exchange, "done"))
    ask(context)


@then("the other entry gets the state in which the job has ended at once")
def check_state(context):
    assert context.exchange.sent(JobReleased) == [
        ("entry-1", JobReleased(number=7, state="completed"))
    ]


@when("another entry asks for the job and its caller asks the owner again")
def ask_and_resubmit(context):
    ask(context)
    context.exchange.from_agent(end_of_run(context.exchange, "stopped"))
    context.exchange.advance(0.1, alive=["entry-1"])
    context.exchange.submit(request_id=2)


@then("the owner asks the other entry before it accepts the job")
def check_asks_back(context):
    exchange = context.exchange
    assert len(exchange.sent(RunTasks)) == 1
    assert [receiver for receiver, _ in exchange.sent(ReleaseJob)] == [
        "entry-1"
    ]


@then("it no longer reports the job as its own")
def check_not_reported(context):
    exchange = context.exchange
    assert JOB.job_id not in exchange.entry.claims.own_job_ids()
    exchange.effects.clear()
    exchange.advance(0.4, alive=["entry-1"])
    reported = [taken.job_ids for _, taken in exchange.sent(JobsTaken)]
    assert not any(JOB.job_id in job_ids for job_ids in reported), reported


@when("another entry asks for the job and its caller is faster than the stop")
def ask_and_resubmit_early(context):
    ask(context)
    context.exchange.submit(request_id=2)
    context.accepted_before = len(context.exchange.sent(RunTasks))


@then("the owner accepts the job only after the answer of the other entry")
def check_accepts_after_answer(context):
    exchange = context.exchange
    _, evict = exchange.sent(EvictJob)[0]
    exchange.from_agent(JobEvicted(number=evict.number))
    exchange.advance(0.2, alive=["entry-1"])
    assert len(exchange.sent(RunTasks)) == context.accepted_before
    exchange.from_peer(JobReleased(number=evict.number))
    assert len(exchange.sent(RunTasks)) == context.accepted_before + 1


@given("an entry that waits for another one to release a job")
def start_waiting(context):
    exchange = context.exchange = Exchange()
    exchange.from_peer(JobsTaken(job_ids=(JOB.job_id,)))
    exchange.submit()
    assert exchange.sent(ReleaseJob)
    assert not exchange.is_accepted()


@when("the other one asks it for the job")
def other_asks(context):
    ask(context)


@then("its caller is told to ask again, and the other one gets its answer")
def check_yields_claim(context):
    exchange = context.exchange
    assert [answer.interrupted for answer in exchange.answers()] == [True]
    assert exchange.sent(JobReleased) == [("entry-1", JobReleased(number=7))]
    assert not exchange.entry.pending.by_job


@given("an entry that shares agents with an unconnected one")
def share_agents(context):
    peers = [f"entry-{number}" for number in range(1, 6)]
    context.exchange = Exchange(peers=peers, served=("entry", "entry-9"))


@when("a job comes that the unconnected entry may run")
def job_comes(context):
    context.exchange.submit()


@then("three others are asked to pass the question on")
def check_relays(context):
    asked = context.exchange.sent(ReleaseJob)
    assert len({receiver for receiver, _ in asked}) == len(asked) == 3
    assert {message.owner for _, message in asked} == {"entry-9"}
    context.asked = asked


@then("the job is accepted once all have answered, or after 0.3 s")
def check_accepted(context):
    exchange = context.exchange
    _, evict = exchange.sent(EvictJob)[0]
    exchange.from_agent(JobEvicted(number=evict.number))
    for receiver, question in context.asked[:2]:
        exchange.from_peer(JobReleased(number=question.number), receiver)
    assert not exchange.is_accepted()
    receiver, question = context.asked[2]
    exchange.from_peer(JobReleased(number=question.number), receiver)
    assert exchange.is_accepted()
    slow = Exchange(peers=["entry-1"], served=("entry", "entry-9"))
    slow.submit()
    slow.advance(0.25, alive=["entry-1"])
    assert not slow.is_accepted()
    slow.advance(0.15, alive=["entry-1"])
    assert slow.is_accepted()


@given("an entry that is connected to the owner of a job")
def connect_owner(context):
    context.exchange = Exchange(peers=["entry-1", "entry-2"])


QUESTION = ReleaseJob(number=7, job_id=JOB.job_id, owner="entry-2")


@then("it passes the question on and the answer back")
def check_passed_on(context):
    exchange = context.exchange
    exchange.from_peer(QUESTION)
    [(receiver, passed_on)] = exchange.sent(ReleaseJob)
    assert (receiver, passed_on.claimant) == ("entry-2", "entry-1")
    assert not exchange.sent(JobReleased)
    answer = JobReleased(number=passed_on.number, state="completed")
    exchange.from_peer(answer, "entry-2")
    assert exchange.sent(JobReleased) == [
        ("entry-1", JobReleased(number=7, state="completed"))
    ]


@then("it answers at once if the owner is not connected or is lost")
def check_not_connected(context):
    exchange = context.exchange
    exchange.effects.clear()
    exchange.from_peer(QUESTION)
    assert not exchange.sent(JobReleased)
    exchange.entry.peer_disconnected("entry-2")
    exchange.effects += exchange.entry.dispatch_waiting(exchange.now)
    assert exchange.sent(JobReleased) == [("entry-1", JobReleased(number=7))]
    exchange.from_peer(QUESTION)
    assert len(exchange.sent(JobReleased)) == 2


@given("an entry to which another one has reported a job")
def report_job(context):
    exchange = context.exchange = Exchange()
    exchange.from_peer(JobsTaken(job_ids=(JOB.job_id,)))


@when("that one is {change} and a caller asks for the job")
def lose_owner(context, change):
    exchange = context.exchange
    context.last_heard_at = exchange.now
    exchange.advance(0.2)
    exchange.entry.peer_disconnected("entry-1")
    if change != "lost":
        exchange.entry.peer_connected("entry-1", exchange.now)
    exchange.submit()


@then("the job is accepted 1.62 s after the owner's last message")
def check_waits_for_expiry(context):
    exchange = context.exchange
    _, evict = exchange.sent(EvictJob)[0]
    exchange.from_agent(JobEvicted(number=evict.number))
    for receiver, question in exchange.sent(ReleaseJob):
        exchange.from_peer(JobReleased(number=question.number), receiver)
    expiry_at = context.last_heard_at + 1.62
    exchange.advance(expiry_at - 0.05 - exchange.now, alive=["entry-1"])
    assert not exchange.is_accepted()
    exchange.advance(0.15, alive=["entry-1"])
    assert exchange.is_accepted()
    assert exchange.entry.jobs[JOB.job_id].state is JobState.RUNNING


@when("that one is lost, a caller asks for the job, and it is connected again")
def lose_and_reconnect(context):
    exchange = context.exchange
    exchange.advance(0.2)
    exchange.entry.peer_disconnected("entry-1")
    exchange.submit()
    _, evict = exchange.sent(EvictJob)[0]
    exchange.from_agent(JobEvicted(number=evict.number))
    exchange.entry.peer_connected("entry-1", exchange.now)
    exchange.from_peer(JobsTaken(job_ids=(JOB.job_id,)))


@then("it is asked for the job, which is accepted only after its answer")
def check_owner_asked(context):
    exchange = context.exchange
    [(receiver, question)] = exchange.sent(ReleaseJob)
    assert (receiver, question.owner) == ("entry-1", "")
    exchange.advance(3.0, alive=["entry-1"])
    assert not exchange.is_accepted()
    exchange.from_peer(JobReleased(number=question.number))
    assert exchange.is_accepted()


@when(
    "the entry is paused for {seconds:g} seconds and its agent connects again"
)
def pause_entry(context, seconds):
    exchange = context.exchange
    exchange.advance(0.2, alive=["entry-1"])
    exchange.now += seconds
    exchange.effects.clear()
    # Messages that have arrived during the pause are handled before a tick.
    exchange.from_agent(exchange.status)
    exchange.effects += exchange.entry.tick(exchange.now)
    exchange.effects += exchange.entry.agent_connected(
        AgentHello(status=exchange.status, settled=True), exchange.now
    )
    exchange.entry.receive("agent", exchange.served, exchange.now)
    exchange.entry.peer_connected("entry-1", exchange.now)
    assert not exchange.sent(RunTasks)


@when("another entry reports the job as its own")
def report_taken(context):
    context.exchange.advance(0.1, alive=["entry-1"])
    context.exchange.from_peer(JobsTaken(job_ids=(JOB.job_id,)))


@when("another entry reports nothing")
def report_nothing(context):
    context.exchange.advance(0.2, alive=["entry-1"])
    assert not context.exchange.sent(RunTasks)


@then("the owner starts nothing and yields the job")
def check_yielded(context):
    exchange = context.exchange
    assert [answer.interrupted for answer in exchange.answers()] == [True]
    exchange.advance(1.0, alive=["entry-1"])
    assert not exchange.sent(RunTasks)


@then("the owner starts the task again after 0.3 s")
def check_started_again(context):
    exchange = context.exchange
    exchange.advance(0.2, alive=["entry-1"])
    assert len(exchange.sent(RunTasks)) == 1


@when("the link to that one is reset and it reports the job again")
def reset_link(context):
    exchange = context.exchange
    _, evict = exchange.sent(EvictJob)[0]
    exchange.from_agent(JobEvicted(number=evict.number))
    exchange.entry.peer_disconnected("entry-1")
    exchange.entry.peer_connected("entry-1", exchange.now)
    exchange.from_peer(JobsTaken(job_ids=(JOB.job_id,)))


@then("it is asked again, and the job is accepted only after its answer")
def check_asked_again(context):
    exchange = context.exchange
    asked = exchange.sent(ReleaseJob)
    assert [receiver for receiver, _ in asked] == ["entry-1"] * 2
    exchange.advance(3.0, alive=["entry-1"])
    assert not exchange.is_accepted()
    exchange.from_peer(JobReleased(number=asked[1][1].number))
    assert exchange.is_accepted()


@when("the entry has to end at once")
def interrupt(context):
    exchange = context.exchange
    exchange.effects += exchange.entry.interrupt(exchange.now)


@then("the caller is answered that its job may have run")
def check_interrupted(context):
    answers = [
        effect
        for effect in context.exchange.effects
        if isinstance(effect, Answer)
    ]
    assert [answer.interrupted for answer in answers] == [True], answers


@given("an entry that was paused for {seconds:d} seconds")
def start_paused_entry(context, seconds):
    start_late_entry(context, seconds)
    exchange = context.exchange
    exchange.effects += exchange.entry.tick(exchange.now)
    assert not exchange.entry.agents


@given("an entry whose first tick after {seconds:d} seconds is still to come")
def start_late_entry(context, seconds):
    exchange = context.exchange = Exchange()
    exchange.now += seconds
    exchange.entry.peer_disconnected("entry-1")


@when("a job comes that its caller has submitted elsewhere meanwhile")
def submit_after_pause(context):
    context.resumed_at = context.exchange.now
    context.exchange.submit()


def connect_agent_again(exchange):
    exchange.now += 0.05
    exchange.effects += exchange.entry.tick(exchange.now)
    hello = AgentHello(status=exchange.status, settled=True)
    exchange.effects += exchange.entry.agent_connected(hello, exchange.now)
    exchange.from_agent(exchange.served)


@when("the other entry connects and reports it")
def report_after_pause(context):
    exchange = context.exchange
    connect_agent_again(exchange)
    exchange.effects += exchange.entry.peer_connected("entry-1", exchange.now)
    exchange.from_peer(JobsTaken(job_ids=(JOB.job_id,)))


@when("no other entry reports it")
def report_nothing(context):
    connect_agent_again(context.exchange)


def confirm_evictions(exchange):
    for _, evict in exchange.sent(EvictJob):
        exchange.from_agent(JobEvicted(number=evict.number))


@then("the entry asks the other one before it starts the job")
def check_asked_first(context):
    exchange = context.exchange
    confirm_evictions(exchange)
    exchange.advance(0.5, alive=("entry-1",))
    assert not exchange.sent(RunTasks), exchange.effects
    ((_, release),) = exchange.sent(ReleaseJob)
    exchange.from_peer(JobReleased(number=release.number))
    exchange.advance(0.05, alive=("entry-1",))
    assert len(exchange.sent(RunTasks)) == 1


@then("the entry starts the job {wait_s:g} s after the pause")
def check_started_soon(context, wait_s):
    exchange = context.exchange
    confirm_evictions(exchange)
    left_s = context.resumed_at + wait_s - exchange.now
    exchange.advance(left_s - 0.06)
    assert not exchange.sent(RunTasks)
    exchange.advance(0.12)
    assert len(exchange.sent(RunTasks)) == 1
