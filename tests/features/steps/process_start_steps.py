"""Steps for processes of the platform's roles whose start is disturbed."""

import os
import signal
import socket
import time

from behave import given
from behave import then
from behave import when
from platform_deployment import wait_until
from role_process import RoleProcess

START_LIMIT_S = 30
SIGNAL_INTERVAL_S = 0.002
# Longer than a process needs to end once it has said why.
LISTEN_S = 0.5
# Reserved for documentation: no machine has it.
FOREIGN_ADDRESS = "192.0.2.1:1"


@given("the {role} role with its settings")
def prepare_role(context, role):
    context.process = RoleProcess(context, role)
    context.process.write_settings()


@when("it starts and is sent {names} as soon as Python runs")
def start_and_signal(context, names):
    context.process.start()
    for name in names.replace(" and ", ", ").split(", "):
        context.process.send_while_starting(signal.Signals[name])


@when("it starts as a job in the background and is sent SIGINT")
def start_in_background(context):
    context.process.start(lambda: signal.signal(signal.SIGINT, signal.SIG_IGN))
    context.process.send_while_starting(signal.SIGINT)


@given("it has started")
def start_process(context):
    context.process.start()
    wait_started(context)


@then("it starts and accepts connections at its addresses")
def wait_started(context):
    context.process.wait_started()
    assert context.process.accepts()


@when("it is sent {name}")
def send_signal(context, name):
    context.process.process.send_signal(signal.Signals[name])


@when("it is told to stop, and gets {name} again and again")
def send_signals(context, name):
    process = context.process.process
    process.send_signal(signal.SIGTERM)
    end = time.monotonic() + START_LIMIT_S
    while process.poll() is None and time.monotonic() < end:
        process.send_signal(signal.Signals[name])
        time.sleep(SIGNAL_INTERVAL_S)


@then("it ends with status {status:d} and says that it has stopped")
def check_stopped(context, status):
    process = context.process
    assert process.process.wait(30) == status, process.output.read_text()
    assert process.states()[-1] == "stopped", process.output.read_text()
    assert "Traceback" not in process.output.read_text()


@then("it stops when it is told to, with status {status:d}")
def check_stops(context, status):
    assert context.process.stop() == status, context.process.output.read_text()


@given("the {role} role with a settings file that is {state}")
@given("the {role} role with a settings file that is without control address")
def prepare_wrong_settings(context, role, state="without control address"):
    context.process = process = RoleProcess(context, role)
    whole = process.settings()
    if state != "missing":
        wrong = {
            "empty": "",
            "half written": whole[: len(whole) // 2],
            "of no role": "{}",
            "without control address": process.settings(control=""),
        }
        process.path.write_text(wrong[state])


@given("the {role} role with an address that its machine does not have")
def prepare_foreign_address(context, role):
    context.process = RoleProcess(context, role)
    context.process.write_settings(control=FOREIGN_ADDRESS)


@given("another socket has its {address} address")
def hold_address(context, address):
    context.holder = socket.create_server(context.process.addresses[address])
    context.add_cleanup(context.holder.close)


@when("the other socket is closed")
def release_address(context):
    context.holder.close()


@when("its settings are written")
def write_settings(context):
    context.process.write_settings()


@when("it is started and has said that its settings are wrong")
def start_with_wrong_settings(context):
    start_and_wait(context, "settings wrong")


@when("it is started and has said that the {address} address is not available")
def start_without_address(context, address):
    start_and_wait(context, "address not available")
    (line,) = context.process.lines("ProcessChanged")
    assert line["cause"].startswith(f"{address} "), line


def start_and_wait(context, state):
    context.process.start()
    wait_until(
        lambda: (
            state in context.process.states() or not context.process.runs()
        ),
        START_LIMIT_S,
        state,
    )


@then("it keeps running")
def check_runs(context):
    process = context.process
    assert process.keeps_running(LISTEN_S), process.output.read_text()


@then("none of its other addresses accepts connections")
def check_closed(context):
    for host, port in context.process.addresses.values():
        if (host, port) == context.holder.getsockname():
            continue
        with socket.socket() as client:
            assert client.connect_ex((host, port)), f"{host}:{port} accepts"


@then("it has said once why it has waited")
def check_said_once(context):
    assert len(context.process.lines("ProcessChanged")) == 1


@when("it is started beside one that runs, which is told to stop")
def start_beside(context):
    process = context.process
    process.start()
    process.wait_started()
    first = process.process
    context.add_cleanup(first.wait)
    context.add_cleanup(first.kill)
    start_and_wait(context, "address not available")
    first.send_signal(signal.SIGTERM)
    assert first.wait(START_LIMIT_S) == 0


@when("it is started with its standard streams closed")
def start_without_streams(context):
    context.process.start(lambda: os.closerange(0, 3))
    wait_until(context.process.accepts, START_LIMIT_S, "it accepts")


@then("no socket has the number of a standard stream")
def check_streams(context):
    streams = context.process.standard_streams()
    assert streams == ["/dev/null"] * 3, streams
