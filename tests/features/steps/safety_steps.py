"""Steps that run the state machines of a cell under Hypothesis."""

import os

from behave import then
from cell_machine import CellMachine
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from safety_machine import SafetyMachine

EXAMPLES = int(os.environ.get("SAFETY_EXAMPLES", "200"))
STEPS = int(os.environ.get("SAFETY_STEPS", "45"))
# Each step of the second machine injects several faults, so a run has fewer.
MACHINES = {
    "single steps and faults": (SafetyMachine, STEPS),
    "faults while work is in progress": (CellMachine, STEPS // 3),
}


@then("the promises hold under any mix of {rules}")
def check_machine(context, rules):
    machine, steps = MACHINES[rules]
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=EXAMPLES // len(MACHINES),
            stateful_step_count=steps,
        ),
    )
