"""Writes the results of an experiment as JSON, Markdown table and plot."""

import json
import pathlib
from typing import Any

import matplotlib as mpl

mpl.use("svg")

from matplotlib import pyplot as plt

BEGIN = "<!-- results -->"
END = "<!-- end of results -->"
Document = dict[str, Any]

COLUMNS = (
    "case",
    "version",
    "jobs",
    "complete",
    "refused",
    "failed",
    "p50",
    "p90",
    "p99",
    "max",
    "wasted",
    "messages a task",
    "goodput",
    "repeated starts",
    "refusal p99, ms",
)


def _row(result: Document) -> list[str]:
    name = [result["case"], result["system"]]
    report = result.get("report")
    if report is None:
        return [*name, "did not run", *[""] * (len(COLUMNS) - 3)]
    outcomes = report["outcomes"]
    ratio = report["ratio_large_jobs"]
    failed = outcomes.get("failed", 0) + outcomes.get("unanswered", 0)
    refusal = report["refusal_ms"]
    return [
        *name,
        str(report["jobs"]),
        str(outcomes.get("complete", 0)),
        str(outcomes.get("refused", 0)),
        str(failed),
        *(f"{ratio[q]:.2f}" for q in ("p50", "p90", "p99", "max")),
        f"{report['wasted_share']:.2%}",
        f"{report['messages_per_task']:.2f}",
        f"{report['goodput']:.3f}",
        str(report["repeated_starts"]),
        f"{refusal['p99']:.1f}" if refusal["count"] else "-",
    ]


def results_table(document: Document) -> str:
    """Return the results as a Markdown table."""
    rows = [list(COLUMNS), ["---"] * len(COLUMNS)]
    rows += [_row(result) for result in document["results"]]
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


def _cost_table(document: Document) -> str:
    """Return a Markdown table of the costs of a task start.

    Listed are the results with a message round: the system's steady cases.
    """
    lines = [
        "| case | message round, ms | entry, us a start | agent, us a start |",
        "| --- | --- | --- | --- |",
    ]
    for result in document["results"]:
        report = result.get("report")
        if report is None or not report["message_round_ms"]:
            continue
        cpu = report["cpu_us_per_start"]
        lines.append(
            f"| {result['case']} ({result['system']}) "
            f"| {report['message_round_ms']:.2f} "
            f"| {cpu['entry']:.0f} | {cpu['agent']:.0f} |"
        )
    return "\n".join(lines)


def _plot(document: Document, path: pathlib.Path) -> None:
    results = [r for r in document["results"] if "report" in r]
    cases = list(dict.fromkeys(r["case"] for r in results))
    systems = list(dict.fromkeys(r["system"] for r in results))
    panels = (
        ("p99 of response time over ideal, jobs of 10 tasks and more", "log"),
        ("wasted messages, % of all", "linear"),
    )
    plt.rcParams["svg.hashsalt"] = "egretcart"
    figure, axes = plt.subplots(2, 1, figsize=(11, 8), sharex=True)
    width = 0.8 / max(1, len(systems))
    for axis, (title, scale) in zip(axes, panels, strict=True):
        axis.set_title(title)
        axis.set_yscale(scale)
        for number, system in enumerate(systems):
            found = {r["case"]: r for r in results if r["system"] == system}
            heights = []
            for case in cases:
                report = found.get(case, {}).get("report")
                if report is None:
                    heights.append(0.0)
                elif scale == "log":
                    heights.append(report["ratio_large_jobs"]["p99"])
                else:
                    heights.append(100 * report["wasted_share"])
            bar_positions = [n + number * width for n in range(len(cases))]
            axis.bar(bar_positions, heights, width, label=system)
        axis.legend()
    axes[1].set_xticks(range(len(cases)), cases, rotation=30, ha="right")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def write_page(document: Document, folder: pathlib.Path) -> None:
    """Write results, plot and table into a folder.

    Parameters
    ----------
    document : dict
        Results of an experiment.
    folder : pathlib.Path
        If it has a file measures.md, the section between the `BEGIN` and
        `END` marks there is replaced; otherwise the file is created.
    """
    folder.mkdir(parents=True, exist_ok=True)
    results = folder / "measures.json"
    results.write_text(json.dumps(document, indent=1) + "\n")
    _plot(document, folder / "measures.svg")
    averages = [r["load_average"] for r in document["results"]]
    section = "\n\n".join(
        [
            BEGIN,
            f"Commit {document['commit']}, {document['date']}, "
            f"{document['processors']} processors shared with other work "
            f"(load average {min(averages):.0f} to {max(averages):.0f} at "
            f"the cases' start), examples {', '.join(document['examples'])}. "
            "Response times over ideal are those of jobs of 10 tasks and "
            "more.",
            results_table(document),
            "![Response time and waste](measures.svg)",
            "Costs of the system, from its counters; the processor time is "
            "that of all processes of a role during the run, heartbeats "
            "and HTTP included:",
            _cost_table(document),
            END,
        ]
    )
    page = folder / "measures.md"
    text = page.read_text() if page.exists() else f"{BEGIN}{END}\n"
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    page.write_text(before + section + after)
