"""The mechanisms of direct dispatch, each with a patch that switches it off.

A patch replaces text that occurs once in a file. It is no setting of the
product: a mechanism that is worth nothing is to be removed.
"""

import dataclasses
import pathlib

ENTRY = "egretcart/direct/entry"
AGENT = "egretcart/direct/agent"
POLICY = "egretcart/direct/policy"
BACKEND = "egretcart/direct/backend"
REQUEST = "egretcart/direct/request"
CONNECTION = "egretcart/direct/connection"


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """Replacement of a text that occurs once in a file."""

    path: str
    old: str
    new: str

    def apply(self, tree: pathlib.Path) -> None:
        """Change the file in a tree.

        Raises
        ------
        ValueError
            If the text does not occur exactly once.
        """
        file = tree / self.path
        source = file.read_text()
        count = source.count(self.old)
        if count != 1:
            raise ValueError(f'"{self.old}" is {count} times in {self.path}')
        file.write_text(source.replace(self.old, self.new))


# Patches by the name of the mechanism that they switch off.
MECHANISMS: dict[str, tuple[Patch, ...]] = {
    "offers": (
        Patch(
            f"{POLICY}/capacity_offers.py",
            "return self.lateness_s > self.max_lateness_s",
            "return True",
        ),
    ),
    "order-by-priority": (
        Patch(
            f"{REQUEST}/ordering.py",
            "priority = min(self.priority, LATE_RANK - 1)",
            "priority = 0",
        ),
    ),
    "order-late-last": (
        Patch(
            f"{REQUEST}/ordering.py",
            "(LATE_RANK if now > self.latest_start_at else 0)",
            "0",
        ),
    ),
    "order-by-age": (
        Patch(
            f"{REQUEST}/ordering.py",
            "if self.raised_at <= now <= self.raised_until:",
            "if False:",
        ),
    ),
    "refusal-by-estimate": (
        Patch(
            f"{POLICY}/admission.py",
            "if load.has_free_capacity or excess_ms <= 0:",
            "if not is_accepted or load.has_free_capacity or excess_ms <= 0:",
        ),
    ),
    "refusal-before-callers-leave": (
        Patch(
            f"{ENTRY}/job_admission.py",
            "must_end = self._caller_leaves_before_end(held, now)",
            "must_end = False",
        ),
    ),
    "refusal-after-long-wait": (
        Patch(
            f"{ENTRY}/job_admission.py",
            "must_end = must_end or self._has_waited_long(held, now)",
            "must_end = bool(must_end)",
        ),
    ),
    "slow-agents-for-short-work": (
        Patch(
            f"{POLICY}/placement.py",
            "limit_ms = request.time_left_ms * self.limits.on_time_share",
            "limit_ms = -1.0",
        ),
    ),
    "warm-before-cold": (
        Patch(
            f"{POLICY}/placement.py",
            "return self._best_fitting(request, warm or fitting)",
            "return self._best_fitting(request, fitting)",
        ),
    ),
    "avoiding-former-agents": (
        Patch(
            f"{POLICY}/placement.py",
            "usable = untried or usable",
            "usable = usable or untried",
        ),
    ),
    "rejecting-instead-of-queueing": (
        Patch(
            f"{AGENT}/run_queue.py",
            "            if not run.may_wait:\n",
            "            if False:\n",
        ),
    ),
    "suspicion-of-servers": (
        Patch(
            f"{BACKEND}/suspicion.py",
            "if not self.limits.is_on:",
            "if True:",
        ),
    ),
    "probing-failing-servers": (
        Patch(
            f"{BACKEND}/health.py",
            "if len(self.failed_jobs) < self.limits.failed_jobs:",
            "if True:",
        ),
    ),
    "rescue-of-stalled-runs": (
        Patch(
            f"{POLICY}/rescue.py",
            "    if run.whole_ms < 0:\n        return True\n",
            "    if run.whole_ms < 0:\n        return False\n",
        ),
    ),
    "rescue-of-late-runs": (
        Patch(
            f"{POLICY}/rescue.py",
            "    if run.elsewhere_slowdown is None:\n",
            "    if run.whole_ms >= 0:\n",
        ),
    ),
    "moves-off-leaving-servers": (
        Patch(
            f"{POLICY}/leaving.py",
            "    if run.elsewhere_slowdown is None:\n",
            "    if run.whole_ms >= 0:\n",
        ),
    ),
    "crash-scores": (
        Patch(
            f"{POLICY}/crashes.py",
            "return score >= limits.max_crashes * RECENT_WEIGHT",
            "return False",
        ),
    ),
    "suspects-one-at-a-time": (
        Patch(
            f"{POLICY}/crashes.py",
            "return score >= RECENT_WEIGHT",
            "return False",
        ),
    ),
    "confinement": (
        Patch(
            f"{POLICY}/confinement.py",
            "return count >= self.limits.given_up_jobs and 2 * count >",
            "return count < 0 and 2 * count >",
        ),
    ),
    "rotation": (
        Patch(
            f"{POLICY}/rotation.py",
            "self.is_out = change is RotationChange.LEFT",
            "self.is_out = False",
        ),
    ),
    "bounded-working-sets": (
        Patch(
            f"{CONNECTION}/working_set.py",
            "    size: int = 8",
            "    size: int = 1000",
        ),
    ),
    "recruiting": (
        Patch(
            f"{ENTRY}/recruiting.py",
            "now - self.asked_at.get(service, 0.0) < self.limits.interval_s",
            "now - self.asked_at.get(service, 0.0) < 1e9",
        ),
    ),
    "request-turns": (
        Patch(
            "egretcart/connection/request_turns.py",
            "if not self.waiting and self._has_time():",
            "if True:",
        ),
    ),
    "claims": (
        Patch(
            f"{REQUEST}/claims.py",
            "        self.unreported.append(job_id)\n",
            "",
        ),
    ),
    "no-refusal-while-discovering": (
        Patch(
            f"{POLICY}/admission.py",
            "not is_accepted and load.discovery_wait_ms is None",
            "not is_accepted",
        ),
    ),
    "status-at-once": (
        Patch(
            f"{AGENT}/agent_statuses.py",
            "self.links.status_changed = True",
            "self.links.status_changed = False",
        ),
    ),
}
