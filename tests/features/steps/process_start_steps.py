"""Steps for processes of the platform's roles whose start is disturbed."""

import signal

from behave import given
from behave import then
from behave import when
from role_process import RoleProcess


@given("the {role} role with its settings")
def prepare_role(context, role):
    context.process = RoleProcess(context, role)
    context.process.write_settings()


@when("it starts and is sent {name} as soon as Python runs")
def start_and_signal(context, name):
    context.process.start()
    context.process.send_while_starting(signal.Signals[name])


@when("it has started")
@then("it starts and accepts connections at its addresses")
def wait_started(context):
    context.process.wait_started()
    assert context.process.accepts()


@when("it is sent {name}")
def send_signal(context, name):
    context.process.process.send_signal(signal.Signals[name])


@then("it ends with status {status:d} and says that it has stopped")
def check_stopped(context, status):
    process = context.process
    assert process.process.wait(30) == status, process.output.read_text()
    assert process.states()[-1] == "stopped", process.output.read_text()
    assert "Traceback" not in process.output.read_text()


@then("it stops when it is told to, with status {status:d}")
def check_stops(context, status):
    assert context.process.stop() == status, context.process.output.read_text()
