from behave import then
from behave import when
from soak_world import Soak


@when(
    "a deployment of processes runs {seconds:d} seconds of faults with seed "
    "{seed:d}"
)
def run_soak(context, seconds, seed):
    context.soak = Soak(context, seed)
    context.soak.run(seconds)


@then("none of its promises was broken")
def check_soak(context):
    soak = context.soak
    assert not soak.violations, "\n".join(soak.event_log + soak.violations)
