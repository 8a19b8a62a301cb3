"""A day's figures from its records: service, answers, latencies, rules; as one object and as lines to read."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

import numpy as np

from pebblehinge import __version__
from pebblehinge.lab.check import RULES, DayFacts, Verdict
from pebblehinge.lab.rsync_verdict import judged, sound

NONE: dict[str, Any] = judged((), ())
ANSWERS = {"honoured": "honoured", "pushed back": "pushed_back", "terminated": "terminated"}


def service_shares(day: DayFacts) -> tuple[float, dict[str, float], list[float]]:
    """Importance in time over importance due: of the whole, by plan, and second by second."""
    due: dict[str, float] = defaultdict(float)
    got: dict[str, float] = defaultdict(float)
    length = max((op["t"] for op in day.ops.values()), default=0.0) - day.begin
    seconds = np.zeros((2, int(length / 1000.0) + 1))
    for name, op in day.ops.items():
        worth, earned = day.earned(name)
        second = min(seconds.shape[1] - 1, max(0, int((op["t"] - day.begin) / 1000.0)))
        due[op["plan"]] += worth
        got[op["plan"]] += earned
        seconds[:, second] += (worth, earned)
    whole = sum(got.values()) / max(1e-9, sum(due.values()))
    by_plan = {plan: got[plan] / due[plan] for plan in sorted(due)}
    line = (seconds[1] / np.maximum(seconds[0], 1e-9)).tolist()
    return whole, by_plan, line


def summary(day: DayFacts, name: str, seed: int, more: dict[str, Any] | None = None) -> dict[str, Any]:
    """The object that `--json` prints."""
    whole, by_plan, line = service_shares(day)
    answers: Counter[str] = Counter({"honoured": 0, "pushed_back": 0, "terminated": 0, "lost": 0})
    for a in day.tries.values():
        if a.answers:
            answers[ANSWERS.get(a.answers[0][1], "lost")] += 1
        elif a.left is None and a.id not in day.cuts:
            answers["lost"] += 1
    ends = Counter(d["final"] for d in day.done.values())
    took = [d["took"] for d in day.done.values() if d["final"] == "honoured"]
    p50, p99, p999 = np.percentile(took, [50, 99, 99.9]).tolist() if took else (0.0, 0.0, 0.0)
    rules: dict[str, Verdict] = day.check_rules()
    return {
        "day": name,
        "seed": seed,
        "accesses": len(day.ops),
        "answers": dict(answers),
        "ends": dict(sorted(ends.items())),
        "service": round(whole, 4),
        "service_by_plan": {k: round(v, 4) for k, v in by_plan.items()},
        "worst_second": round(min(line, default=0.0), 4),
        "latency_ms": {"p50": round(p50, 2), "p99": round(p99, 2), "p999": round(p999, 2)},
        "trips": sum(len(t) for t in day.attempts.values()),
        "effects": sum(len(e) for e in day.effects.values()),
        **({"transfers": judged(day.copies, day.saves)} if day.config.copies is not None else {}),
        "rules": {rule: rules[rule].told() for rule in RULES},
        "program": __version__,
        **(more or {}),
    }


def all_checks_pass(told: dict[str, Any]) -> bool:
    """Whether a day's summary shows all rules kept."""
    return all(r["kept"] for r in told["rules"].values()) and sound(told.get("transfers", NONE))


def summary_lines(told: dict[str, Any]) -> list[str]:
    """The same for a person."""
    answers, latency = told["answers"], told["latency_ms"]
    out = [
        f"day {told['day']}, seed {told['seed']}: {told['accesses']} accesses, {told['trips']} trips",
        "answers: " + ", ".join(f"{n} {what.replace('_', ' ')}" for what, n in answers.items()),
        f"service {told['service']:.3f} ("
        + ", ".join(f"{p} {v:.3f}" for p, v in told["service_by_plan"].items())
        + f"), worst second {told['worst_second']:.2f}",
        f"latency ms: p50 {latency['p50']:.1f}, p99 {latency['p99']:.1f}, p99.9 {latency['p999']:.1f}",
    ]
    if "transfers" in told:
        t = told["transfers"]
        out.append(
            f"transfers: {t['started']} started, {t['completed']} completed, {t['failed']} failed, {t['unanswered']} "
            f"unanswered; {t['saves']} saves, {t['landed_twice']} landed twice, {t['contents_wrong']} contents wrong"
        )
    for rule, said in told["rules"].items():
        word = "kept  " if said["kept"] else "BROKEN"
        asked = f"{said['cases']} cases, nearest {said['nearest']:.2f}" if said["cases"] else "nothing asked of it"
        out.append(f"  {word} {rule.replace('_', ' '):18} {asked}")
        if not said["kept"]:
            out.append(f"         {said['offences']} offences; the first: {said['first']}")
    for fault in told.get("faults", ()):
        out.append(f"fault: {fault}")
    return out
