"""The command ``egretcart load``: runs a load profile, prints a report."""

import json
import pathlib
import sys

import msgspec
import trio

from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.load.counters import Counters
from egretcart.load.counters import read_counters
from egretcart.load.profile import LoadProfile
from egretcart.load.report import LoadReport
from egretcart.load.report import make_report
from egretcart.load.report import ProcessCounts
from egretcart.load.report import render_text
from egretcart.load.runner import LoadRunner
from egretcart.process.clock import SystemClock
from egretcart.process.settings import Address
from egretcart.process.settings import load_settings
from egretcart.request.json_decoding import decode_json

EXIT_OK = 0
EXIT_WRONG_ANSWERS = 1
EXIT_USAGE = 2
READ_TIMEOUT_S = 5.0


class BackendCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Starts that a stand-in of a backend server has counted.

    Attributes
    ----------
    starts : int
        Number of all starts.
    repeated : int
        Number of starts with a key that was seen before.
    """

    starts: int = 0
    repeated: int = 0


async def _read_backend(address: Address) -> BackendCounts | None:
    client = HttpClient(
        host=address.host, port=address.port, max_connections=1
    )
    try:
        response = await client.exchange(
            "GET", "/counts", time_limit_s=READ_TIMEOUT_S
        )
    except ExchangeError:
        return None
    finally:
        await client.aclose()
    return decode_json(response.body, BackendCounts)


class _Snapshot:
    """Counters of all processes of a deployment at one time."""

    def __init__(self) -> None:
        self.entries: dict[str, Counters] = {}
        self.agents: dict[str, Counters] = {}
        self.backends: dict[Address, BackendCounts] = {}

    @property
    def process_count(self) -> int:
        """Number of processes that have answered."""
        return len(self.entries) + len(self.agents) + len(self.backends)

    async def read_all(self, profile: LoadProfile) -> None:
        self.entries = await read_counters(profile.entries)
        self.agents = await read_counters(profile.agents)
        for address in profile.backends:
            counts = await _read_backend(address)
            if counts is not None:
                self.backends[address] = counts


def _counter_changes(
    before: dict[str, Counters], after: dict[str, Counters]
) -> Counters:
    changes = Counters()
    for name, counters in after.items():
        changes.add(counters)
        if name in before:
            changes.add(before[name], sign=-1)
    return changes


def _process_counts(before: _Snapshot, after: _Snapshot) -> ProcessCounts:
    agents = _counter_changes(before.agents, after.agents)
    starts = repeated = 0
    for address, counts in after.backends.items():
        earlier = before.backends.get(address, BackendCounts())
        starts += counts.starts - earlier.starts
        repeated += counts.repeated - earlier.repeated
    return ProcessCounts(
        entries=_counter_changes(before.entries, after.entries),
        agents=agents,
        starts=starts or round(agents.total("egretcart_starts")),
        repeated_starts=repeated,
        silent=before.process_count - after.process_count,
    )


async def run_profile(
    profile: LoadProfile, *, show_progress: bool = True
) -> LoadReport:
    """Run a profile and return its report.

    Parameters
    ----------
    profile : LoadProfile
    show_progress : bool, optional
        Whether progress lines are written to standard error.

    Returns
    -------
    LoadReport
    """

    def show(line: str) -> None:
        if show_progress:
            print(line, file=sys.stderr, flush=True)

    runner = LoadRunner(profile=profile, clock=SystemClock(), show=show)
    before, after = _Snapshot(), _Snapshot()
    await before.read_all(profile)
    await runner.run()
    await after.read_all(profile)
    return make_report(runner, _process_counts(before, after))


def load_command(path: pathlib.Path, *, as_json: bool) -> int:
    """Run a profile and print its report.

    Parameters
    ----------
    path : pathlib.Path
        File that contains the profile.
    as_json : bool
        Whether the report is printed as JSON instead of text.

    Returns
    -------
    int
        Exit code: 0 if every job was answered correctly, 1 if not, 2 if the
        profile is invalid.
    """
    loaded = load_settings(path, LoadProfile)
    if loaded.is_err():
        print(loaded.unwrap_err(), file=sys.stderr)
        return EXIT_USAGE
    try:
        report = trio.run(run_profile, loaded.unwrap())
    except ValueError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_USAGE
    if as_json:
        print(json.dumps(msgspec.to_builtins(report), indent=2))
    else:
        print(render_text(report))
    return EXIT_OK if report.has_correct_answers else EXIT_WRONG_ANSWERS
