"""Prints the differences and the outcome of a configuration change."""

from egretcart.process.operators.operator_arguments import EXIT_FAILED
from egretcart.process.operators.operator_arguments import EXIT_OK
from egretcart.process.operators.operator_arguments import EXIT_UNDECIDED
from egretcart.process.operators.operator_arguments import EXIT_USAGE
from egretcart.version.change import Accepted
from egretcart.version.change import ChangeOutcome
from egretcart.version.change import Conflict
from egretcart.version.change import Forgotten
from egretcart.version.change import NotReached
from egretcart.version.change import ProposedChange
from egretcart.version.change import Refused
from egretcart.version.change import StoreBehind
from egretcart.version.change import Unchanged
from egretcart.version.change import Undecided
from egretcart.version.difference import Difference


def print_differences(
    differences: tuple[Difference, ...], *, omitted: int = 0
) -> None:
    """Print a line for each difference.

    Parameters
    ----------
    differences : tuple of Difference
    omitted : int, optional
        Number of differences that did not fit into the audit entry.
    """
    for difference in differences:
        print(f"  {difference.to_line()}")
    if omitted:
        print(f"  and {omitted} more, too long for the audit trail")


def print_outcome(outcome: ChangeOutcome, change: ProposedChange) -> int:
    """Print the outcome of a change; return the exit code."""
    if isinstance(outcome, Accepted):
        print(f"accepted: version {outcome.version}")
        return EXIT_OK
    if isinstance(outcome, Unchanged):
        print(f"no change: version {outcome.version} says the same")
        return EXIT_OK
    if isinstance(outcome, Conflict):
        _print_conflict(outcome, change)
        return EXIT_FAILED
    if isinstance(outcome, Refused):
        print("not accepted:")
        for finding in outcome.findings:
            print(f"  {finding.to_line()}")
        return EXIT_USAGE
    if isinstance(outcome, NotReached):
        print(f"not accepted, nothing was written: {outcome.reason}")
        return EXIT_FAILED
    if isinstance(outcome, StoreBehind):
        _print_store_behind(outcome, change)
        return EXIT_FAILED
    if isinstance(outcome, Forgotten):
        _print_forgotten(outcome, change)
        return EXIT_FAILED
    assert isinstance(outcome, Undecided)
    print(f"not known yet: {outcome.reason}")
    if change.is_repair:
        print("run `egretcart repair` again: it goes on from what is there")
        return EXIT_UNDECIDED
    print(
        "ask again with the same file and "
        f"--base {change.base} --change {change.change_id}"
    )
    return EXIT_UNDECIDED


def _print_conflict(outcome: Conflict, change: ProposedChange) -> None:
    print(
        f"not accepted: made from version {change.base}, but "
        f"{outcome.version} is in force"
    )
    successor = change.version
    if outcome.pruned:
        print(f"  the audit entry of version {successor} has been pruned")
    if outcome.who:
        print(f"  version {successor} by {outcome.who}: {outcome.why}")
    print(f"from version {outcome.version} to your file:")
    print_differences(outcome.difference)


def _print_store_behind(outcome: StoreBehind, change: ProposedChange) -> None:
    print(
        f"not accepted: the store has version {outcome.version}, but "
        f"processes hold version {outcome.held}: the store has lost versions"
    )
    if change.resumed:
        print(f"  change {change.change_id} may be among the lost ones")
    print(
        "run `egretcart repair --reason TEXT`, then make the change again "
        "from `egretcart show`"
    )


def _print_forgotten(outcome: Forgotten, change: ProposedChange) -> None:
    print(
        f"not known any more: change {change.change_id} may have been "
        f"version {change.version}, whose audit entry has been pruned; "
        f"version {outcome.version} is in force"
    )
    print(
        "look at `egretcart diff` and make the change again if it is missing"
    )
