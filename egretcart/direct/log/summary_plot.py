"""Plots what became of jobs; imported on demand, as it needs matplotlib."""

from collections import Counter
from collections import defaultdict
from collections.abc import Callable
import pathlib

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from egretcart.direct.log.summary import JobFate
from egretcart.direct.log.summary import JobSummary
from egretcart.direct.log.summary import OUTCOMES

COLOURS = {
    "on time": "#4c9f70",
    "late": "#e3c567",
    "useless": "#d98e4a",
    "failed": "#b23a48",
    "refused": "#7a9cc6",
    "gave up": "#2f4b7c",
    "cancelled": "#b0b0b0",
    "no answer": "#4a4a4a",
}
WIDTH_INCHES = 11.0
HEIGHT_INCHES = 8.0


def plot_summary(summary: JobSummary, path: pathlib.Path) -> None:
    """Write a plot of the outcomes by second, route, size and entry.

    Parameters
    ----------
    summary : JobSummary
    path : pathlib.Path
        Its suffix names the format, such as ``.png`` or ``.svg``.

    Raises
    ------
    OSError
        If the file can't be written.
    ValueError
        If the format is not known.
    """
    figure = Figure(
        figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained"
    )
    axes = figure.subplot_mosaic([["second"] * 3, ["route", "size", "entry"]])
    start = summary.fates[0].at
    _draw(
        axes["second"],
        summary,
        lambda fate: f"{int(fate.at - start):4d}",
        as_share=False,
    )
    axes["second"].set_xlabel("second since the first job")
    axes["second"].set_ylabel("jobs")
    axes["second"].tick_params(axis="x", labelsize=7)
    for title, group_of in (
        ("route", lambda fate: fate.route),
        ("size", lambda fate: fate.size),
        ("entry", lambda fate: fate.entry),
    ):
        _draw(axes[title], summary, group_of, as_share=True)
        axes[title].set_xlabel(title)
        axes[title].tick_params(axis="x", labelrotation=60, labelsize=7)
    axes["route"].set_ylabel("share of the jobs")
    handles, labels = axes["second"].get_legend_handles_labels()
    figure.legend(handles, labels, loc="outside upper center", ncols=4)
    figure.savefig(path)


def _draw(
    axes: Axes,
    summary: JobSummary,
    group_of: Callable[[JobFate], str],
    *,
    as_share: bool,
) -> None:
    """Draw one bar a group, divided by outcome."""
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for fate in summary.fates:
        counts[group_of(fate)][fate.outcome] += 1
    groups = sorted(counts)
    bottom = [0.0] * len(groups)
    for outcome in OUTCOMES:
        heights = [
            counts[group][outcome] / (counts[group].total() if as_share else 1)
            for group in groups
        ]
        axes.bar(
            groups,
            heights,
            bottom=bottom,
            label=outcome,
            color=COLOURS[outcome],
        )
        bottom = [
            low + height for low, height in zip(bottom, heights, strict=True)
        ]
