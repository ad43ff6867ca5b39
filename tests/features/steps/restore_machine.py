"""State machine of a store that is restored from backups.

Its readers and its operators are part of the machine.
"""

import itertools

from hypothesis import strategies
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import msgspec

from egretcart.process.configuration.config_sync import ConfigSync
from egretcart.process.configuration.config_sync import SyncLimits
from egretcart.testing.clock import ManualClock
from egretcart.version.change import ChangeAttempt
from egretcart.version.change import ChangeOutcome
from egretcart.version.change import CurrentVersion
from egretcart.version.change import ProposedChange
from egretcart.version.change import ReadCurrent
from egretcart.version.change import ReadEntry
from egretcart.version.change import StoreBehind
from egretcart.version.document import Configuration
from egretcart.version.document import Service

NAMES = ("e0", "e1")


class RestoreMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.numbers = itertools.count(1)
        self.document = Configuration()
        self.revision = 0
        self.history = {}
        self.backups = [(self.document, 0, {})]
        self.restores = 0
        self.operators = {}
        self.syncs = {}
        self.reads = {}
        # The document seen of each version, and the last version of each
        # process.
        self.contents = {}
        self.former = dict.fromkeys(NAMES, 0)

    @initialize()
    def start(self):
        for name in NAMES:
            self.syncs[name] = ConfigSync(
                limits=SyncLimits(), clock=ManualClock(), has_platform=True
            )

    def held(self):
        return max(sync.highest_known_version for sync in self.syncs.values())

    # The store.

    @rule(back=strategies.integers(1, 4))
    def restore(self, back):
        """All connections break, so no operation in progress continues."""
        backup = self.backups[-1 - back :][0]
        self.document, self.revision, history = backup
        self.history = dict(history)
        self.restores += 1
        self.operators.clear()
        self.reads.clear()

    def write(self, step):
        if step.revision != self.revision:
            return False
        version = step.entry.version
        assert version > self.document.version
        for sync in self.syncs.values():
            assert version > sync.newest_document.version, (
                "a version is written twice"
            )
        self.document = step.document
        self.revision += 1
        self.history[version] = step.entry
        backup = (self.document, self.revision, dict(self.history))
        self.backups.append(backup)
        return True

    # Operators.

    @rule(base=strategies.integers(0, 1))
    def propose(self, base):
        number = next(self.numbers)
        self.begin(
            base=max(0, self.document.version - base),
            document=Configuration(
                services=(Service(name="snapcheck"),),
                max_tasks_per_job=number,
            ),
        )

    @rule()
    def propose_repair(self):
        if self.document.version >= self.held():
            return
        newest = max(
            (sync.newest_document for sync in self.syncs.values()),
            key=lambda document: document.version,
        )
        self.begin(base=self.document.version, document=newest, is_repair=True)

    def begin(self, **fields):
        change = ProposedChange(
            change_id=f"c{next(self.numbers)}",
            who="x",
            why="y",
            when="z",
            held=self.held(),
            **fields,
        )
        attempt = ChangeAttempt(change=change)
        self.operators[change.change_id] = (attempt, attempt.begin())

    @precondition(lambda self: self.operators)
    @rule(
        data=strategies.data(),
        lost=strategies.booleans(),
        steps=strategies.integers(1, 4),
    )
    def take_steps(self, data, lost, steps):
        name = data.draw(strategies.sampled_from(sorted(self.operators)))
        for _ in range(steps):
            if name in self.operators:
                self.execute_step(name, lost=lost)

    def execute_step(self, name, *, lost):
        attempt, step = self.operators[name]
        if isinstance(step, ReadCurrent):
            current = CurrentVersion(
                document=self.document, revision=self.revision
            )
            step = attempt.handle_current(current if self.revision else None)
        elif isinstance(step, ReadEntry):
            step = attempt.handle_audit_entry(self.history.get(step.version))
        else:
            succeeded = self.write(step)
            if lost:
                step = attempt.handle_write_unknown()
            else:
                step = attempt.handle_write_result(succeeded=succeeded)
        self.operators[name] = (attempt, step)
        if isinstance(step, ChangeOutcome):
            del self.operators[name]
            if isinstance(step, StoreBehind):
                assert self.restores
                assert step.version < step.held

    @rule(name=strategies.sampled_from(NAMES), repair=strategies.booleans())
    def change_at_once(self, name, repair):
        """Apply a change without interruption; one process then reads it."""
        before = set(self.operators)
        if repair:
            self.propose_repair()
        else:
            self.propose(0)
        for change_id in set(self.operators) - before:
            while change_id in self.operators:
                self.execute_step(change_id, lost=False)
        self.read(name)

    # Readers.

    def read(self, name):
        self.begin_read(name)
        self.serve_read(name)
        self.end_read(name)

    @rule(name=strategies.sampled_from(NAMES))
    def begin_read(self, name):
        self.syncs[name].platform_read_began()
        self.reads[name] = None

    @rule(name=strategies.sampled_from(NAMES))
    def serve_read(self, name):
        if name in self.reads:
            self.reads[name] = self.document

    @rule(name=strategies.sampled_from(NAMES))
    def end_read(self, name):
        document = self.reads.pop(name, None)
        if document is not None:
            stored = document if document.version else None
            self.syncs[name].platform_read(stored)

    @rule(one=strategies.sampled_from(NAMES), whole=strategies.booleans())
    def read_late(self, one, whole):
        """A newer version is named while the store's answer is in transit."""
        other = NAMES[1 - NAMES.index(one)]
        self.begin_read(one)
        self.serve_read(one)
        self.change_at_once(other, repair=False)
        self.hear_peer(one, whole=whole)
        self.end_read(one)

    @rule(name=strategies.sampled_from(NAMES), whole=strategies.booleans())
    def hear_peer(self, name, whole):
        other = self.syncs[NAMES[1 - NAMES.index(name)]]
        self.syncs[name].record_version(other.highest_known_version)
        if whole:
            self.syncs[name].record_document(other.newest_document)

    # Invariants.

    @invariant()
    def nothing_accepted_reverts(self):
        for name, sync in self.syncs.items():
            version = sync.newest_document.version
            assert version >= self.former[name]
            self.former[name] = version
            content = self.contents.setdefault(version, sync.newest_document)
            assert content == sync.newest_document, (
                "a version has two contents"
            )
            if sync.store_is_behind:
                assert self.restores, "no version was lost"
                assert sync.versions_behind > 0

    def read_all(self):
        for name in NAMES * 2:
            self.read(name)
            self.hear_peer(name, whole=True)
            self.nothing_accepted_reverts()

    def teardown(self):
        """A loss is detected after one read; a repair ends it for all."""
        if not self.syncs:
            return
        self.read_all()
        is_lost = self.document.version < self.held()
        for sync in self.syncs.values():
            assert sync.store_is_behind is is_lost
        if not is_lost:
            return
        self.operators.clear()
        newest = self.syncs["e0"].newest_document
        self.propose_repair()
        (name,) = self.operators
        while name in self.operators:
            self.execute_step(name, lost=False)
        self.read_all()
        for sync in self.syncs.values():
            assert not sync.store_is_behind
            assert sync.newest_document == self.document
            repaired = msgspec.structs.replace(newest, version=0)
            found = msgspec.structs.replace(sync.newest_document, version=0)
            assert found == repaired
