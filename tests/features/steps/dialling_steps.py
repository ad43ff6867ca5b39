"""Steps for dialling machines that return after a loss of power."""

import math

from behave import then
from behave import when
import trio
from trio.testing import MockClock

from egretcart.connection.dialler import CONNECT_TIMEOUT_S
from egretcart.connection.dialler import Dialler

ADDRESS = ("10.0.0.1", 7720)
TIME_LIMIT_S = 5.0


class RestartingMachine:
    """Stands in for a machine and its network; also the dial policy."""

    def __init__(self, *, power_at, serves_at, answer_s):
        self.power_at = power_at
        self.serves_at = serves_at
        self.answer_s = answer_s
        self.dialled_at = []
        self.unreachable_at = []
        self.connected_at = []
        self.started_at = trio.current_time()

    def now(self):
        return trio.current_time() - self.started_at

    async def connect(self, host, port):
        assert (host, port) == ADDRESS
        self.dialled_at.append(self.now())
        if self.now() < self.power_at:
            await trio.sleep_forever()
        await trio.sleep(self.answer_s)
        if self.now() < self.serves_at:
            raise ConnectionRefusedError
        return trio.testing.memory_stream_pair()[0]

    async def run_connection(self, stream):
        self.connected_at.append(self.now())
        await trio.sleep_forever()

    def is_wanted(self, endpoint):
        return True

    def mark_unreachable(self, endpoint):
        self.unreachable_at.append(self.now())

    def remove(self, endpoint):
        raise AssertionError(f"{endpoint} was removed")


def start_dialler(nursery, machine):
    Dialler(
        nursery=nursery,
        seeds=[ADDRESS],
        run_connection=machine.run_connection,
        policy=machine,
        connect=machine.connect,
    )


def dial(*, power_at, serves_at, answer_s=0.01):
    async def main():
        machine = RestartingMachine(
            power_at=power_at, serves_at=serves_at, answer_s=answer_s
        )
        with trio.move_on_after(TIME_LIMIT_S):
            async with trio.open_nursery() as nursery:
                start_dialler(nursery, machine)
        return machine

    return trio.run(main, clock=MockClock(autojump_threshold=0))


@when(
    "an address is dialled whose machine has power after {dark:g} s and"
    " answers after {answer:g} s"
)
def dial_dark(context, dark, answer):
    context.from_s = dark
    context.machine = dial(power_at=dark, serves_at=dark, answer_s=answer)


@when(
    "an address is dialled whose machine has power after {dark:g} s and"
    " serves after {serves:g} s"
)
def dial_starting(context, dark, serves):
    context.from_s = serves
    context.machine = dial(power_at=dark, serves_at=serves)


@when("an address is dialled whose machine never has power")
def dial_lost(context):
    context.machine = dial(power_at=math.inf, serves_at=math.inf)


@then("it is connected within {within:g} s of that, on one connection")
def check_connected(context, within):
    (connected_at,) = context.machine.connected_at
    waited_s = connected_at - context.from_s
    assert waited_s <= within, f"after {waited_s:.2f} s"


@then(
    "it was dialled {count:d} times in its first second, and then found"
    " unreachable"
)
def check_unreachable(context, count):
    machine = context.machine
    first = [at for at in machine.dialled_at if at < CONNECT_TIMEOUT_S - 1e-6]
    assert len(first) == count, first
    assert math.isclose(machine.unreachable_at[0], CONNECT_TIMEOUT_S)
    assert not machine.connected_at


class AnsweringAtOnce(RestartingMachine):
    """Answers all attempts when `answers` is set."""

    def __init__(self):
        super().__init__(power_at=0.0, serves_at=0.0, answer_s=0.0)
        self.answers = trio.Event()
        self.peers = []

    async def connect(self, host, port):
        await self.answers.wait()
        stream, peer = trio.testing.memory_stream_pair()
        self.peers.append(peer)
        return stream


@when("an address is dialled that answers all attempts at {answers_at:g} s")
def dial_answering(context, answers_at):
    async def main():
        machine = AnsweringAtOnce()
        closed = 0
        with trio.move_on_after(TIME_LIMIT_S):
            async with trio.open_nursery() as nursery:
                start_dialler(nursery, machine)
                await trio.sleep(answers_at)
                machine.answers.set()
                await trio.sleep(answers_at)
                for peer in machine.peers:
                    with trio.move_on_after(0.01):
                        closed += await peer.receive_some() == b""
                nursery.cancel_scope.cancel()
        return machine, closed

    clock = MockClock(autojump_threshold=0)
    context.machine, context.closed = trio.run(main, clock=clock)


@then("it has one connection, and the others are closed")
def check_one_connection(context):
    machine = context.machine
    assert len(machine.peers) > 1, machine.peers
    assert len(machine.connected_at) == 1, machine.connected_at
    assert context.closed == len(machine.peers) - 1, context.closed
