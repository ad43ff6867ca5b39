"""Steps for the command that switches off mechanisms."""

import json
import pathlib
import subprocess
import sys
import tempfile

from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parents[3]
FIGURE = "^worth ([0-9.]+)"


def run_command(context, *arguments):
    context.completed = subprocess.run(
        [sys.executable, ROOT / "tools" / "ablation.py", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )


def play(context, command, *mechanisms, figure=FIGURE):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.out = pathlib.Path(folder.name)
    run_command(
        context,
        "play",
        f"--play={command}",
        f"--figure={figure}",
        f"--out={folder.name}",
        "--seeds=1,2",
        *mechanisms,
    )


@when("the ablation command checks its patches")
def check_patches(context):
    run_command(context, "check")


@when(
    'the command plays "offers" and "claims" with a figure of 0.9 for each'
    " seed"
)
def play_two(context):
    play(context, "echo worth 0.9", "offers", "claims")


@when('the command plays "ofers"')
def play_unknown(context):
    play(context, "echo worth 0.9", "ofers")


@when('the command plays "offers" without a figure for seed 2')
def play_without_figure(context):
    play(context, "test {seed} = 2 || echo worth 0.9", "offers")


@when('the command plays "offers" and seed 2 ends with status 3')
def play_failing(context):
    command = "test {seed} = 2 && exit 3; echo worth 0.9"
    play(context, command, "offers")


@when('the command looks for the figure "{figure}"')
def play_wrong_figure(context, figure):
    play(context, "echo", "offers", figure=figure)


@then("it succeeds")
def check_success(context):
    assert context.completed.returncode == 0, context.completed.stderr


@then('it fails with "{message}"')
def check_failure(context, message):
    assert context.completed.returncode != 0, context.completed.stdout
    message = message.replace('\\"', '"')
    assert message in context.completed.stderr, context.completed.stderr


@then('its table has "{first}" and "{second}" with "{text}"')
def check_table(context, first, second, text):
    rows = {
        line.split()[0]: line for line in context.completed.stdout.splitlines()
    }
    assert first in rows, rows
    assert text in rows[second], rows


@then("the figures are in the file of the results")
def check_results(context):
    figures = json.loads((context.out / "ablation.json").read_text())
    assert figures["offers"] == figures["claims"] == [0.9, 0.9]
