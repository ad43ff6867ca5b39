"""Report of a load run: how it is computed and printed."""

from collections import Counter as CountOf
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram
import msgspec

from egretcart.load.counters import Counters
from egretcart.load.ideal import ideal_response_s
from egretcart.load.profile import LoadProfile
from egretcart.load.runner import is_correct_answer
from egretcart.load.runner import JobRun
from egretcart.load.runner import LoadRunner
from egretcart.request.problem import problem_verdict

# The histogram records whole numbers: values are multiplied by this.
HISTOGRAM_SCALE = 1000
MAX_HISTOGRAM_VALUE = 3_600_000
SIGNIFICANT_DIGITS = 3
LARGE_JOB_TASKS = 10
BURST_RECOVERY_S = 2.0
US_PER_S = 1_000_000


class Quantiles(msgspec.Struct, frozen=True, kw_only=True):
    """Number of values, some percentiles and the maximum; 0 without values.

    The percentiles and the maximum have the unit of the values.
    """

    count: int = 0
    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0
    max: float = 0.0


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one load run; docs/measures.md defines them.

    Attributes
    ----------
    jobs, tasks : int
        Planned numbers of jobs and tasks.
    outcomes : dict of str to int
        Number of jobs by outcome: complete, cancelled, refused (not run),
        failed or unanswered.
    problems : dict of str to int
        Number of problem answers by verdict.
    wrong_answers : int
        Number of complete answers that lack results, have them in another
        order or contain those of another job.
    resubmissions : int
        Number of jobs that a second caller submitted and got an outcome of.
    differing_answers : int
        Number of jobs for which two callers got different complete answers.
    ratio, ratio_large_jobs : Quantiles
        Response time divided by the ideal one, of all jobs and of jobs
        with 10 or more tasks.
    ratio_after_bursts : Quantiles
        The same ratio of jobs submitted 2 s after the last burst or later.
    refusal_ms : Quantiles
        Duration of the last exchange of each refused job, in milliseconds.
    elapsed_s : float
        Time until the last answer, in seconds; at least the profile's
        duration.
    goodput : float
        Work of the complete jobs, as a share of the servers' capacity over
        `elapsed_s`.
    messages : dict of str to int
        Number of messages sent, by type.
    control_messages : int
        Number of control messages sent.
    messages_per_task : float
        Messages other than control messages, for each task of a complete
        job.
    wasted : dict of str to int
        Number of wasted messages by cause, a value of
        `egretcart.process.cell.wasted_messages.WasteCause`.
    wasted_share : float
        Wasted messages as a share of the messages other than control
        messages.
    starts, repeated_starts : int
        Number of starts that the backend servers counted; a repeated start
        has a key that was seen before. If the servers counted no start,
        `starts` is the number that the agents counted.
    cpu_us_per_start : dict of str to float
        Processor time for each start by role, in microseconds.
    message_round_ms : float
        Mean time of a message round from the leader to an agent and back,
        in milliseconds.
    silent_processes : int
        Number of processes whose counters could be read before the run,
        minus the number of those where they could be read after it.
    """

    jobs: int
    tasks: int
    outcomes: dict[str, int]
    problems: dict[str, int]
    wrong_answers: int
    resubmissions: int
    differing_answers: int
    ratio: Quantiles
    ratio_large_jobs: Quantiles
    ratio_after_bursts: Quantiles
    refusal_ms: Quantiles
    elapsed_s: float
    goodput: float
    messages: dict[str, int]
    control_messages: int
    messages_per_task: float
    wasted: dict[str, int]
    wasted_share: float
    starts: int
    repeated_starts: int
    cpu_us_per_start: dict[str, float]
    message_round_ms: float
    silent_processes: int

    @property
    def has_correct_answers(self) -> bool:
        """Whether no answer was lost, wrong or contradictory."""
        return not (
            self.outcomes.get("unanswered")
            or self.wrong_answers
            or self.differing_answers
        )


class ProcessCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Counters of the processes, as they changed during a run.

    Attributes
    ----------
    entries, agents : Counters
        Sums over the entries and over the agents.
    starts, repeated_starts : int
        Number of starts, and of those with a key that was seen before.
    silent : int
        Number of processes that answered before the run, minus the number
        of those that answered after it.
    """

    entries: Counters
    agents: Counters
    starts: int
    repeated_starts: int
    silent: int


def quantiles(values: Iterable[float]) -> Quantiles:
    """Return the quantiles of values; a value above 3600 counts as 3600.

    A value below 0.001 counts as 0.001.
    """
    histogram = HdrHistogram(1, MAX_HISTOGRAM_VALUE, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(
            min(MAX_HISTOGRAM_VALUE, max(1, round(value * HISTOGRAM_SCALE)))
        )
    if not histogram.get_total_count():
        return Quantiles()

    def value_at(percentile: float) -> float:
        return histogram.get_value_at_percentile(percentile) / HISTOGRAM_SCALE

    return Quantiles(
        count=histogram.get_total_count(),
        p50=value_at(50),
        p90=value_at(90),
        p99=value_at(99),
        max=value_at(100),
    )


def outcome_of(run: JobRun) -> str:
    """Return the outcome of a job for its caller, a key of `outcomes`."""
    if run.answer is None or run.answer.status == 0:
        return "cancelled" if run.cancelled else "unanswered"
    if run.is_complete:
        return "complete"
    if run.cancelled:
        return "cancelled"
    verdict = problem_verdict(run.answer.body).value
    return "refused" if verdict == "not_run" else "failed"


def response_ratio(run: JobRun, profile: LoadProfile) -> float:
    """Return a job's response time divided by its ideal response time."""
    ideal_s = ideal_response_s(
        run.planned_job.run_ms,
        profile.servers,
        round_trip_ms=profile.round_trip_ms,
    )
    return (run.answered_at_s - run.submitted_at_s) / ideal_s


def job_ratios(
    runs: Iterable[JobRun], profile: LoadProfile
) -> tuple[Quantiles, Quantiles, Quantiles]:
    """Return the ratios of all jobs, of large jobs and of jobs after bursts.

    Parameters
    ----------
    runs : iterable of JobRun
        Complete jobs; those submitted during the warm-up are excluded.
    profile : LoadProfile

    Returns
    -------
    tuple of Quantiles
    """
    ratios = [
        (run, response_ratio(run, profile))
        for run in runs
        if run.submitted_at_s >= profile.warm_up_s
    ]
    large = [
        ratio
        for run, ratio in ratios
        if len(run.planned_job.run_ms) >= LARGE_JOB_TASKS
    ]
    after: list[float] = []
    if profile.bursts:
        recovered_at_s = (
            max(burst.at_s for burst in profile.bursts) + BURST_RECOVERY_S
        )
        after = [
            ratio
            for run, ratio in ratios
            if run.submitted_at_s >= recovered_at_s
        ]
    return (
        quantiles(ratio for _, ratio in ratios),
        quantiles(large),
        quantiles(after),
    )


def _has_differing_answers(run: JobRun) -> bool:
    """Return whether two callers got different complete answers."""
    if run.repeated is None or run.answer is None:
        return False
    statuses = {run.answer.status, run.repeated.status}
    return statuses == {200} and run.answer.body != run.repeated.body


def _rounded(counts: dict[str, float]) -> dict[str, int]:
    return {name: round(count) for name, count in sorted(counts.items())}


def _mean_ms(counters: Counters, histogram: str) -> float:
    count = counters.total(f"{histogram}_count")
    return 1000 * counters.total(f"{histogram}_sum") / max(1, count)


def make_report(runner: LoadRunner, counts: ProcessCounts) -> LoadReport:
    """Return the report of a run.

    Parameters
    ----------
    runner : LoadRunner
        A runner whose run has ended.
    counts : ProcessCounts

    Returns
    -------
    LoadReport
    """
    profile = runner.profile
    complete = [run for run in runner.runs if run.is_complete]
    problems = [
        run.answer
        for run in runner.runs
        if run.answer is not None and not run.is_complete and run.answer.status
    ]
    ratio, large, after = job_ratios(complete, profile)
    work_s = sum(run.planned_job.work_s for run in complete)
    all_counts = Counters()
    all_counts.add(counts.entries)
    all_counts.add(counts.agents)
    messages = all_counts.messages(control=False)
    wasted = all_counts.by_label("egretcart_messages_wasted")
    tasks_answered = sum(len(run.planned_job.run_ms) for run in complete)
    starts = counts.starts
    return LoadReport(
        jobs=len(runner.runs),
        tasks=sum(len(run.planned_job.run_ms) for run in runner.runs),
        outcomes=dict(CountOf(outcome_of(run) for run in runner.runs)),
        problems=dict(
            CountOf(problem_verdict(a.body).value for a in problems)
        ),
        wrong_answers=sum(
            not is_correct_answer(run, run.answer)
            for run in complete
            if run.answer is not None
        ),
        resubmissions=sum(run.repeated is not None for run in runner.runs),
        differing_answers=sum(
            _has_differing_answers(run) for run in runner.runs
        ),
        ratio=ratio,
        ratio_large_jobs=large,
        ratio_after_bursts=after,
        refusal_ms=quantiles(
            answer.last_exchange_s * 1000
            for answer in problems
            if problem_verdict(answer.body).value == "not_run"
        ),
        elapsed_s=runner.elapsed_s,
        goodput=work_s / (profile.capacity * runner.elapsed_s),
        messages=_rounded(all_counts.by_label("egretcart_messages_sent")),
        control_messages=round(all_counts.messages(control=True)),
        messages_per_task=messages / max(1, tasks_answered),
        wasted=_rounded(wasted),
        wasted_share=sum(wasted.values()) / max(1, messages),
        starts=starts,
        repeated_starts=counts.repeated_starts,
        cpu_us_per_start={
            role: counters.total("egretcart_cpu_time_seconds")
            * US_PER_S
            / max(1, starts)
            for role, counters in (
                ("entry", counts.entries),
                ("agent", counts.agents),
            )
        },
        message_round_ms=_mean_ms(
            counts.entries, "egretcart_heartbeat_time_seconds"
        ),
        silent_processes=counts.silent,
    )


def render_text(report: LoadReport) -> str:
    """Return a report as human-readable text."""
    outcomes = _format_counts(report.outcomes)
    lines = [
        f"jobs                 {report.jobs} of {report.tasks} tasks: "
        f"{outcomes}",
        f"problems by verdict  {_format_counts(report.problems)}",
        f"wrong answers        {report.wrong_answers}",
        f"resubmissions        {report.resubmissions}, "
        f"{report.differing_answers} with differing answers",
        "",
        "response time over ideal      p50      p90      p99      max",
        _format_quantiles("  all jobs", report.ratio),
        _format_quantiles("  10 tasks and more", report.ratio_large_jobs),
    ]
    if report.ratio_after_bursts.count:
        lines.append(
            _format_quantiles("  2 s after bursts", report.ratio_after_bursts)
        )
    if report.refusal_ms.count:
        lines.append(_format_quantiles("refusals, ms", report.refusal_ms))
    lines += [
        "",
        f"goodput              {report.goodput:.3f} of capacity over "
        f"{report.elapsed_s:.1f} s",
        f"messages a task      {report.messages_per_task:.2f}, and "
        f"{report.control_messages} control messages",
        f"wasted messages      {report.wasted_share:.2%}: "
        f"{_format_counts(report.wasted)}",
        f"starts               {report.starts}, "
        f"{report.repeated_starts} with a key seen before",
    ]
    lines += [
        f"processor time       {us:.0f} us a start, role {role}"
        for role, us in report.cpu_us_per_start.items()
    ]
    lines.append(
        f"message round        {report.message_round_ms:.2f} ms on average"
    )
    if report.silent_processes:
        lines.append(f"silent processes     {report.silent_processes}")
    return "\n".join(lines)


def _format_counts(counts: dict[str, int]) -> str:
    if not counts:
        return "none"
    return ", ".join(f"{count} {name}" for name, count in counts.items())


def _format_quantiles(name: str, row: Quantiles) -> str:
    return (
        f"{name:<24}{row.p50:9.2f}{row.p90:9.2f}{row.p99:9.2f}{row.max:9.2f}"
    )
