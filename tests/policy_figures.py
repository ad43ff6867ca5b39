"""Prints the tables of docs/design/policy.md from simulated cells.

Run as `python tests/policy_figures.py` at the root; each figure is the mean
over `SEEDS`. All times are simulated, so the figures do not depend on the
machine.
"""

import collections
from concurrent.futures import ProcessPoolExecutor
import dataclasses
import heapq
import pathlib
import random
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests/features/steps")]

from policy_fake import make_agents  # noqa: E402
from policy_fake import make_configuration  # noqa: E402
from policy_fake import quantile  # noqa: E402
from policy_fake import run_time_ms  # noqa: E402
from policy_fake import World  # noqa: E402

from egretcart.process.policy import estimates  # noqa: E402
from egretcart.process.policy import placement  # noqa: E402
from egretcart.process.policy.bundle import standard_policy  # noqa: E402
from egretcart.process.policy.ordering import FairTaskQueue  # noqa: E402
from egretcart.testing import naive_policy as naive  # noqa: E402
from egretcart.version.document import HedgePolicy  # noqa: E402
from egretcart.version.document import Kind  # noqa: E402
from egretcart.version.document import UrgencyClass  # noqa: E402

SEEDS = (1, 2, 3)
# Time after its first submission at which a caller abandons a job.
WAIT_LIMIT_S = 5.0
LONG_WAIT_CONFIGURATION = make_configuration(
    urgency=(UrgencyClass(name="normal", max_wait_ms=1e6),)
)


class TwoChoices(naive.RandomPlacement):
    """The less loaded of two agents drawn at random."""

    def choose_agent(self, demand, *, avoid=frozenset(), exclude=frozenset()):
        if not self.batch:
            return None
        drawn = self.rng.choices(self.batch, k=2)
        return min(drawn, key=load_share).load.agent_id


class ShortestQueue(naive.RandomPlacement):
    """The agent with the least share of its slots in use."""

    def choose_agent(self, demand, *, avoid=frozenset(), exclude=frozenset()):
        if not self.batch:
            return None
        return min(self.batch, key=load_share).load.agent_id


class NoDeferral(placement.EarliestCompletionPlacement):
    """Earliest expected completion among the agents that are free now."""

    def _should_defer(self, score, slowdown, demand):
        return False


class FairFifo(FairTaskQueue):
    """Weighted classes, first come, first served within each."""

    def _rank(self, job, lane):
        job.remaining_at_rank_ms = job.remaining_ms
        job.rank = job.arrived_at
        heapq.heappush(lane.heap, (job.rank, job.key))


class NoSlack(FairTaskQueue):
    """Remaining work offset by age, without the next task's slack."""

    def _rank(self, job, lane):
        longest_ms, job.longest_ms = job.longest_ms, 0.0
        super()._rank(job, lane)
        job.longest_ms = longest_ms


class FullTrust(estimates.MovingAverageEstimator):
    """Uses declared run times as they are."""

    def expected_task_ms(self, kind, declared_ms):
        return declared_ms or super().expected_task_ms(kind, declared_ms)


class NoTrust(estimates.MovingAverageEstimator):
    """Ignores declared run times."""

    def expected_task_ms(self, kind, declared_ms):
        return super().expected_task_ms(kind, None)


def policy_with(seed, **parts):
    """Return the standard policy with some parts replaced."""
    policy = standard_policy(rng=random.Random(seed))
    replaced = {}
    for name, make in parts.items():
        replaced[name] = make(policy, random.Random(seed))
    policy = dataclasses.replace(policy, **replaced)
    if "task_queue" in replaced:
        policy.admission.task_queue = policy.task_queue
    if "run_time_estimator" in replaced:
        policy.admission.run_time_estimator = policy.run_time_estimator
        policy.placement.run_time_estimator = policy.run_time_estimator
    return policy


def load_share(candidate):
    return len(candidate.load.in_flight) / candidate.load.slots


def spread(ratios):
    return [quantile(ratios, share) for share in (0.5, 0.99)] + [ratios[-1]]


def placement_run(variant, slow, load, seed):
    variants = {
        "random": lambda p, r: naive.RandomPlacement(rng=r),
        "power of two choices": lambda p, r: TwoChoices(rng=r),
        "join the shortest queue": lambda p, r: ShortestQueue(rng=r),
        "least expected completion": lambda p, r: NoDeferral(
            run_time_estimator=p.run_time_estimator
        ),
    }
    parts = {"placement": variants[variant]} if variant in variants else {}
    world = World(
        make_agents(slow=slow), policy=policy_with(seed, **parts), seed=seed,
        configuration=LONG_WAIT_CONFIGURATION,
    )  # fmt: skip
    world.load(load, 30)
    world.run(60)
    return spread(world.ratios(since=3))


def order_run(variant, seed):
    variants = {
        "first come, first served": lambda p, r: naive.FifoTaskQueue(),
        "fair queueing": lambda p, r: FairFifo(),
        "least remaining work": lambda p, r: NoSlack(ageing=0.0),
        "the same, ageing 0.1": lambda p, r: NoSlack(ageing=0.1),
        "the same, ageing 0.2": lambda p, r: NoSlack(ageing=0.2),
        "by slack as well, ageing 0.1": lambda p, r: FairTaskQueue(ageing=0.1),
        "by slack as well, ageing 0.2": lambda p, r: FairTaskQueue(ageing=0.2),
        "by slack as well, ageing 0.4": lambda p, r: FairTaskQueue(ageing=0.4),
    }
    parts = {"task_queue": variants[variant]} if variant in variants else {}
    urgency = (
        UrgencyClass(name="normal", weight=1, max_wait_ms=1e6),
        UrgencyClass(name="high", weight=8, max_wait_ms=1e6),
    )
    world = World(
        make_agents(), policy=policy_with(seed, **parts), seed=seed,
        configuration=make_configuration(urgency=urgency),
    )  # fmt: skip
    world.load(0.6, 30, tasks=(1, 40))
    world.load(0.2, 30, tasks=(300, 500))
    world.load(0.15, 30, tasks=(1, 20), urgency="high")
    world.run(90)
    figures = []
    for urgency_name, low, high in (
        ("high", 1, 20), ("normal", 1, 40), ("normal", 300, 500)
    ):  # fmt: skip
        ratios = sorted(
            (j.answered - j.submitted) / world.ideal_s(j)
            for j in world.jobs
            if j.status == 200
            and j.job.urgency == urgency_name
            and low <= len(j.job.tasks) <= high
            and j.submitted > 3
        )
        figures += [quantile(ratios, 0.5), quantile(ratios, 0.99)]
    return figures


def admission_run(variant, seed):
    """Run 150 % load for 20 s; refused callers retry up to a wait limit."""
    parts = {} if variant == "bounded wait" else {
        "admission": lambda p, r: naive.AdmitAll()
    }  # fmt: skip
    urgency = (UrgencyClass(name="normal", max_wait_ms=1000.0),)
    world = World(
        make_agents(), policy=policy_with(seed, **parts), seed=seed,
        configuration=make_configuration(urgency=urgency),
    )  # fmt: skip
    waits = []
    messages = collections.Counter()

    def submit_or_retry(run_ms, first):
        messages["submissions"] += 1
        left_s = first + WAIT_LIMIT_S - world.now()
        if left_s <= 0.1:
            waits.append(None)
            return
        fake = world.submit(run_ms, deadline_ms=left_s * 1000)
        if fake.status == 503:
            world.at(
                world.now() + fake.retry_after_s,
                submit_or_retry,
                run_ms,
                first,
            )
        else:
            tracked.append((fake, first))

    tracked = []
    when, rate = 0.0, 88 * 5 / 10
    while when < 50:
        when += world.rng.expovariate(rate * (1.5 if when < 20 else 0.6))
        run_ms = [run_time_ms(world.rng, 200) for _ in range(10)]
        world.at(when, submit_or_retry, run_ms, when)
    world.run(80)
    answered = [f for f, _ in tracked if f.status == 200]
    work = sum(sum(f.true_ms) for f in answered if 2 < f.answered < 20)
    late = [
        first + WAIT_LIMIT_S
        for f, first in tracked
        if f.status == 200 and f.answered - f.submitted > 2 * world.ideal_s(f)
    ]
    recovered = max((t - WAIT_LIMIT_S for t in late), default=20.0) - 20
    wasted = len(world.begun) - 10 * len(answered)
    return [
        work / 1000 / 18 / 88 * 100,
        len(answered) / (len(answered) + len(waits) + sum(
            f.status != 200 for f, _ in tracked)) * 100,
        quantile(sorted(f.answered - f.submitted for f in answered), 0.99),
        messages["submissions"] / (len(tracked) + len(waits)),
        wasted / len(world.begun) * 100,
        max(0.0, recovered),
    ]  # fmt: skip


def fault_run(variant, mode, seed):
    """Run 60 % load, one worker failing for 10 of 20 seconds."""
    parts = {}
    if variant == "without":
        parts["health"] = lambda p, r: naive.NoEjection()
    if variant == "without, unlimited retries":
        parts["health"] = lambda p, r: naive.NoEjection()
        parts["retries"] = lambda p, r: naive.UnlimitedRetries()
    world = World(make_agents(), policy=policy_with(seed, **parts), seed=seed)
    failing = world.agents["agent-0"]
    world.load(0.6, 20)
    world.run(2)
    failing.mode = mode
    before = failing.started
    world.run(12)
    tasks = failing.started - before
    failing.mode = "ok"
    world.run(60)
    failed = sum(j.status != 200 for j in world.jobs)
    extra = len(world.begun) - sum(len(j.job.tasks) for j in world.jobs)
    return [
        tasks, failed / len(world.jobs) * 100,
        100 * max(0, extra) / len(world.begun),
    ]  # fmt: skip


def retry_run(variant, seed):
    """Run 60 % load and 20 % of idempotent jobs that fail on all agents."""
    parts = {} if variant == "with" else {
        "retries": lambda p, r: naive.UnlimitedRetries()
    }  # fmt: skip
    world = World(
        make_agents(), policy=policy_with(seed, **parts), seed=seed,
        configuration=LONG_WAIT_CONFIGURATION,
    )  # fmt: skip
    world.load(0.6, 20)
    world.load(0.2, 20, tasks=(1, 1), outcome="fail")
    world.run(90)
    counts = collections.Counter((job, task) for job, task, _ in world.begun)
    extra = sum(counts.values()) - len(counts)
    return [100 * extra / len(world.begun), *spread(world.ratios(since=3))]


def hedge_run(share, load, seed):
    configuration = make_configuration(
        kinds=(Kind(name="default", hedge=True),),
        hedge=HedgePolicy(budget_share=share),
    )
    world = World(
        make_agents(), seed=seed, configuration=configuration,
        straggler_share=0.01,
    )  # fmt: skip
    world.load(load, 30)
    world.run(90)
    tasks = sum(len(j.job.tasks) for j in world.jobs)
    extra = len(world.begun) - tasks
    ratios = world.ratios(since=3)
    return [
        quantile(ratios, 0.9), quantile(ratios, 0.95),
        quantile(ratios, 0.99), 100 * extra / tasks,
    ]  # fmt: skip


def declared_run(variant, wrong, seed):
    """Run 90 % load of tasks of 20 ms to 2 s with declared run times."""
    kinds = {"full": FullTrust, "none": NoTrust}
    parts = {}
    if variant in kinds:
        parts["run_time_estimator"] = lambda p, r: kinds[variant](
            find_kind=p.service_config.find_kind
        )
    world = World(
        make_agents(), policy=policy_with(seed, **parts), seed=seed,
        configuration=LONG_WAIT_CONFIGURATION,
    )  # fmt: skip
    rng = world.rng
    when = 0.0
    while when < 30:
        when += rng.expovariate(0.9 * 88 / 10 / 0.42)
        run_ms = [rng.choice([20.0, 100.0, 300.0, 2000.0]) * rng.uniform(
            0.5, 1.0) for _ in range(10)]  # fmt: skip
        if rng.random() < 0.5:
            run_ms = [ms / 4 for ms in run_ms]
        declared = [
            ms * (1 if not wrong else rng.choice([0.1, 10.0])) for ms in run_ms
        ]
        world.at(
            when, lambda r=run_ms, d=declared: world.submit(r, declared_ms=d)
        )
    world.run(90)
    return spread(world.ratios(since=3))


def table(title, columns, rows, run):
    """Print one table, each cell the mean over the seeds."""
    print(f"\n{title}\n")
    print("| " + " | ".join(columns) + " |")
    print("|" + " --- |" * len(columns))
    with ProcessPoolExecutor(2) as pool:
        futures = [
            [pool.submit(run, *row, seed) for seed in SEEDS] for row in rows
        ]
        for row, runs in zip(rows, futures, strict=True):
            results = [run.result() for run in runs]
            means = [sum(c) / len(c) for c in zip(*results, strict=True)]
            cells = [str(cell) for cell in row]
            cells += [f"{mean:.2f}" for mean in means]
            print("| " + " | ".join(cells) + " |", flush=True)


def main():
    ratios = ["p50", "p99", "max"]
    variants = [
        "random", "power of two choices", "join the shortest queue",
        "least expected completion", "the same, waiting for faster agents",
    ]  # fmt: skip
    table(
        "Placement: response time over ideal, jobs of 10 tasks",
        ["way", "slow workers", "load", *ratios],
        [
            (v, s, x)
            for s in (0, 3)
            for x in (0.5, 0.8, 0.95)
            for v in variants
        ],
        placement_run,
    )
    table(
        "Order: response time over ideal at 95 %",
        ["way", "high p50", "high p99", "small p50", "small p99",
         "large p50", "large p99"],
        [("first come, first served",), ("fair queueing",),
         ("least remaining work",), ("the same, ageing 0.1",),
         ("the same, ageing 0.2",), ("by slack as well, ageing 0.1",),
         ("by slack as well, ageing 0.2",),
         ("by slack as well, ageing 0.4",)],
        order_run,
    )  # fmt: skip
    table(
        "Declared run times at 90 %: response time over ideal",
        ["trust", "ten-fold wrong", *ratios],
        [(w, x) for x in (False, True) for w in ("full", "none", "learned")],
        declared_run,
    )
    table(
        "Admission at 150 % for 20 s, then 60 %; refused callers come back",
        ["way", "goodput, % of capacity", "answered in time, %", "p99, s",
         "submissions a job", "wasted starts, %", "recovered after, s"],
        [("admit all",), ("bounded wait",)],
        admission_run,
    )  # fmt: skip
    table(
        "Retries: 60 % sound load beside 20 % that fails everywhere",
        ["budget", "retries, % of starts", *ratios],
        [("without",), ("with",)],
        retry_run,
    )
    table(
        "One worker of 11 fails, or answers, everything for 10 s",
        ["ejection", "worker", "its tasks", "failed jobs, %",
         "wasted starts, %"],
        [(w, m) for m in ("fail", "instant") for w in (
            "without, unlimited retries", "without", "with")],
        fault_run,
    )  # fmt: skip
    table(
        "Hedging: one task in a hundred lasts twenty times as long",
        ["budget", "load", "p90", "p95", "p99", "hedges, % of tasks"],
        [(s, x) for x in (0.5, 0.8) for s in (0.0, 0.01, 0.02, 0.05)],
        hedge_run,
    )


if __name__ == "__main__":
    main()
