import dataclasses
from unittest import mock

from behave import then
from takeover_model import Case
from takeover_model import search

FIRST_AGENT_UNREACHABLE = Case(
    agents="ABC", old_roster="ABC", reached_by_second="BC", atomic_second=True
)
PROMISE_FORGOTTEN = Case(
    agents="ABC",
    old_roster="ABC",
    reached_by_first="A",
    reached_by_second="BC",
    restarts=1,
    only_first_reaches_restarted=True,
    rounds=(1, 2),
    last_time=2,
    atomic_second=True,
)
CASES = {
    "a takeover while a lease runs": dataclasses.replace(
        FIRST_AGENT_UNREACHABLE, rounds=(0, 2)
    ),
    "a takeover while leases are renewed": dataclasses.replace(
        FIRST_AGENT_UNREACHABLE, reached_by_first="AB", rounds=(1, 2)
    ),
    "a takeover while an agent restarts": dataclasses.replace(
        FIRST_AGENT_UNREACHABLE,
        reached_by_second="ABC",
        restarts=1,
        rounds=(0, 2),
        last_time=2,
    ),
    "a takeover while an agent joins": Case(
        agents="ABD",
        old_roster="AB",
        joining="D",
        last_time=1,
        atomic_second=True,
    ),
    "a takeover while a promise is forgotten": PROMISE_FORGOTTEN,
    "a takeover with a newer roster": dataclasses.replace(
        PROMISE_FORGOTTEN,
        agents="ADB",
        old_roster="AB",
        second_roster="ADB",
        reached_by_second="DB",
    ),
    "a takeover of two agents": Case(
        agents="AB",
        old_roster="AB",
        reached_by_first="A",
        reached_by_second="B",
        rounds=(2, 2),
        last_time=2,
        atomic_second=True,
    ),
}
# Guards in the quorum module: the function and its faulty replacement.
MUTATED_COUNTS = {
    "additional confirmation": (
        "confirmations_needed",
        lambda n: n - (n // 2 + 1) + 1,
    ),
    "majority": ("majority_of", lambda n: max(1, (n + 1) // 2)),
}


@then("no interleaving of {case} starts a task twice")
def check_interleavings(context, case):
    _, path = search(CASES[case])
    assert path is None, "\n".join(path)


@then("the search of {case} finds a double start without the {guard}")
def check_search_sees(context, case, guard):
    if guard in MUTATED_COUNTS:
        name, count = MUTATED_COUNTS[guard]
        with mock.patch(f"egretcart.process.cell.quorum.{name}", count):
            _, path = search(CASES[case], depth_first=True)
    else:
        _, path = search(CASES[case].without(guard), depth_first=True)
    assert path is not None
