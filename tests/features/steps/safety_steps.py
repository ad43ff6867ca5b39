import os

from behave import then
from cell_machine import CellMachine
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from safety_machine import SafetyMachine

EXAMPLES = int(os.environ.get("SAFETY_EXAMPLES", "200"))
STEPS = int(os.environ.get("SAFETY_STEPS", "45"))
MACHINES = {
    "single steps and faults": SafetyMachine,
    "faults that endanger work": CellMachine,
}


@then("the promises hold under any mix of {rules}")
def check_machine(context, rules):
    run_state_machine_as_test(
        MACHINES[rules],
        settings=settings(
            max_examples=EXAMPLES // len(MACHINES),
            stateful_step_count=STEPS,
        ),
    )
