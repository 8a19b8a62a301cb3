"""The summary of a day from its records: service, answers, latencies and rules, as one object and as lines of text."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

import numpy as np

from pebblehinge import __version__
from pebblehinge.lab.check import RULES, DayFacts, Verdict
from pebblehinge.lab.rsync_verdict import judged, sound

NO_TRANSFERS: dict[str, Any] = judged((), ())
# Key in the summary of each final answer.
ANSWER_KEYS = {"honoured": "honoured", "pushed back": "pushed_back", "terminated": "terminated"}


def service_shares(day: DayFacts) -> tuple[float, dict[str, float], list[float]]:
    """Returns the share of the requests' value that was earned: in full by answers in time, in part by late ones.

    Returns:
        The share over all requests, by quota plan, and by second of the day.
    """
    due_values: dict[str, float] = defaultdict(float)
    earned_values: dict[str, float] = defaultdict(float)
    length_ms = max((op["t"] for op in day.ops.values()), default=0.0) - day.begin
    seconds = np.zeros((2, int(length_ms / 1000.0) + 1))
    for name, op in day.ops.items():
        request_value, earned_value = day.earned(name)
        second = min(seconds.shape[1] - 1, max(0, int((op["t"] - day.begin) / 1000.0)))
        due_values[op["plan"]] += request_value
        earned_values[op["plan"]] += earned_value
        seconds[:, second] += (request_value, earned_value)
    total = sum(earned_values.values()) / max(1e-9, sum(due_values.values()))
    by_plan = {plan: earned_values[plan] / due_values[plan] for plan in sorted(due_values)}
    by_second = (seconds[1] / np.maximum(seconds[0], 1e-9)).tolist()
    return total, by_plan, by_second


def summary(day: DayFacts, name: str, seed: int, more: dict[str, Any] | None = None) -> dict[str, Any]:
    """Returns the summary of a day, the object that `--json` prints.

    Args:
        day: The facts of the day.
        name: Name of the day.
        seed: Seed that it was played with.
        more: Further keys for the summary.
    """
    total, by_plan, by_second = service_shares(day)
    answers: Counter[str] = Counter({"honoured": 0, "pushed_back": 0, "terminated": 0, "lost": 0})
    for request in day.tries.values():
        if request.answers:
            answers[ANSWER_KEYS.get(request.answers[0][1], "lost")] += 1
        elif request.left is None and request.id not in day.cuts:
            answers["lost"] += 1
    ends = Counter(end["final"] for end in day.done.values())
    latencies_ms = [end["took"] for end in day.done.values() if end["final"] == "honoured"]
    p50, p99, p999 = np.percentile(latencies_ms, [50, 99, 99.9]).tolist() if latencies_ms else (0.0, 0.0, 0.0)
    rules: dict[str, Verdict] = day.check_rules()
    return {
        "day": name,
        "seed": seed,
        "accesses": len(day.ops),
        "answers": dict(answers),
        "ends": dict(sorted(ends.items())),
        "service": round(total, 4),
        "service_by_plan": {plan: round(share, 4) for plan, share in by_plan.items()},
        "worst_second": round(min(by_second, default=0.0), 4),
        "latency_ms": {"p50": round(p50, 2), "p99": round(p99, 2), "p999": round(p999, 2)},
        "trips": sum(len(attempts) for attempts in day.attempts.values()),
        "effects": sum(len(effects) for effects in day.effects.values()),
        **({"transfers": judged(day.copies, day.saves)} if day.config.copies is not None else {}),
        "rules": {rule: rules[rule].told() for rule in RULES},
        "program": __version__,
        **(more or {}),
    }


def all_checks_pass(day_summary: dict[str, Any]) -> bool:
    """Returns whether a summary shows that all rules were kept and all transfers are sound."""
    return all(verdict["kept"] for verdict in day_summary["rules"].values()) and sound(
        day_summary.get("transfers", NO_TRANSFERS)
    )


def summary_lines(day_summary: dict[str, Any]) -> list[str]:
    """Returns a summary as lines of text."""
    answers, latency = day_summary["answers"], day_summary["latency_ms"]
    lines = [
        f"day {day_summary['day']}, seed {day_summary['seed']}: {day_summary['accesses']} accesses, "
        f"{day_summary['trips']} trips",
        "answers: " + ", ".join(f"{count} {answer.replace('_', ' ')}" for answer, count in answers.items()),
        f"service {day_summary['service']:.3f} ("
        + ", ".join(f"{plan} {share:.3f}" for plan, share in day_summary["service_by_plan"].items())
        + f"), worst second {day_summary['worst_second']:.2f}",
        f"latency ms: p50 {latency['p50']:.1f}, p99 {latency['p99']:.1f}, p99.9 {latency['p999']:.1f}",
    ]
    if "transfers" in day_summary:
        transfers = day_summary["transfers"]
        lines.append(
            f"transfers: {transfers['started']} started, {transfers['completed']} completed, "
            f"{transfers['failed']} failed, {transfers['unanswered']} unanswered; {transfers['saves']} saves, "
            f"{transfers['landed_twice']} landed twice, {transfers['contents_wrong']} contents wrong"
        )
    for rule, verdict in day_summary["rules"].items():
        result = "kept  " if verdict["kept"] else "BROKEN"
        cases = (
            f"{verdict['cases']} cases, nearest {verdict['nearest']:.2f}" if verdict["cases"] else "nothing asked of it"
        )
        lines.append(f"  {result} {rule.replace('_', ' '):18} {cases}")
        if not verdict["kept"]:
            lines.append(f"         {verdict['offences']} offences; the first: {verdict['first']}")
    for fault in day_summary.get("faults", ()):
        lines.append(f"fault: {fault}")
    return lines
