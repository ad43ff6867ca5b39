import dataclasses

from behave import then
from takeover_model import Case
from takeover_model import search

ISOLATED = Case(agents="ABC", old_roster="ABC", reach="BC", atomic_second=True)
CASES = {
    "a takeover while a lease runs": dataclasses.replace(
        ISOLATED, rounds=(0, 1)
    ),
    "a takeover while leases are renewed": dataclasses.replace(
        ISOLATED, first_reach="AB"
    ),
    "a takeover while an agent restarts": dataclasses.replace(
        ISOLATED, reach="ABC", restarts=1, rounds=(0, 1), last_time=2
    ),
    "a takeover while an agent joins": Case(
        agents="ABD",
        old_roster="AB",
        joining="D",
        last_time=1,
        atomic_second=True,
    ),
}


@then("no interleaving of {case} starts a task twice")
def check_interleavings(context, case):
    states, path = search(CASES[case])
    assert path is None, "\n".join(path)
    assert states > 1000, f"only {states} states"


@then("the search of {case} finds a double start without the {guard}")
def check_search_sees(context, case, guard):
    _, path = search(CASES[case].without(guard))
    assert path is not None
