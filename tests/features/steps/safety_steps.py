import os

from behave import then
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from safety_machine import SafetyMachine

EXAMPLES = int(os.environ.get("SAFETY_EXAMPLES", "200"))
STEPS = int(os.environ.get("SAFETY_STEPS", "45"))


@then("the promises hold under any mix of faults")
def check_machine(context):
    run_state_machine_as_test(
        SafetyMachine,
        settings=settings(max_examples=EXAMPLES, stateful_step_count=STEPS),
    )
