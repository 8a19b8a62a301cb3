"""Rules 1 and 2 from a day's facts: one final answer in time, and nothing done twice that must not be."""

from __future__ import annotations

from collections import defaultdict

from pebblehinge.lab.facts import Facts
from pebblehinge.lab.seen import Verdict


def final_answer(day: Facts) -> Verdict:
    """Rule 1: exactly one final answer in the client's own time, nothing after."""
    v = Verdict()
    grace, most_stay = day.config.rules.answer_grace, day.config.rules.stay_away_max
    for t, what in day.extra:
        v.look(2.0, f"at {t - day.begin:.0f} ms: {what}")
    for a in day.tries.values():
        head, patience = a.op["head"], day.config.profile[a.op["profile"]].patience
        due = a.op["t"] + patience if a.id.endswith(".0") else a.sent + patience
        if a.left is not None or a.id in day.cuts:
            v.look(0.0)
            continue
        if not a.answers:
            v.look(2.0, f"{a.id} by {head}: sent at {a.sent - day.begin:.0f} ms, never answered")
            continue
        t, final, stay = a.answers[0]
        excused = day.head_away(head, a.sent - 5.0, t + 5.0, ("killed", "down", "frozen"))
        excused = excused or day.unheard(head, a.sent, t)
        if len(a.answers) > 1:
            v.look(2.0, f"{a.id} by {head}: {len(a.answers)} answers, {', '.join(f for _, f, _ in a.answers)}")
        elif final in ("lost", "out of time"):
            course = f"{a.id} by {head}: {final} at {t - day.begin:.0f} ms, sent at {a.sent - day.begin:.0f} ms"
            v.look(0.0 if excused else 2.0, course)
        elif stay > most_stay:
            v.look(2.0, f"{a.id} by {head}: told to keep away {stay:.0f} ms, at most {most_stay:.0f} allowed")
        else:
            allowed = max(1.0, due + grace - a.sent)
            v.look(
                0.0 if excused else (t - a.sent) / allowed,
                f"{a.id} by {head}: {final} after {t - a.sent:.0f} ms, allowed {allowed:.0f}",
            )
    return v


def no_double_effect(day: Facts) -> Verdict:
    """Rule 2, from what shelfs got, did and what clients were told."""
    v = Verdict()
    zones = {s.slot: s.zone for s in day.config.shelf.values()}
    for a in day.tries.values():
        profile = day.config.profile[a.op["profile"]]
        if profile.repeat == "redoable":
            continue
        attempts = sorted(day.attempts.get(a.id, ()), key=lambda g: (g.n, g.t))
        may = [g for g in attempts if not g.full]  # may have run: taken, or the connection broke after it came
        final = a.answers[0][1] if a.answers else "none"
        course = (
            f"{a.id} ({a.op['profile']}) by {a.op['head']}: "
            + "; ".join(
                f"trip {g.n} to {g.shelf} at {g.t - day.begin:.0f} ms{' turned away' if g.full else ''}"
                for g in attempts
            )
            + f"; {final}, {len(day.effects.get(a.id, ()))} effects"
        )
        if profile.repeat == "irreversible":
            effects = len(day.effects.get(a.id, ()))
            if effects > 1 or (may and any(g.n > may[0].n or g.t > may[0].t for g in attempts)):
                v.look(2.0, course)
            elif final == "pushed back" and may:
                v.look(2.0, course + ": told that trying again is harmless")
            else:
                v.look(float(min(1, len(may))))
            continue
        part = 0.0
        if may:
            part = 0.0 if attempts[-1].late else (attempts[-1].t - may[0].t) / profile.window
            same = profile.group == "all" or all(
                g.slot == may[0].slot if profile.group == "cell" else zones.get(g.slot) == zones.get(may[0].slot)
                for g in attempts
                if g.t > may[0].t
            )
            if not same or (final == "pushed back" and profile.group != "all"):
                part = 2.0
        v.look(part, course)
    # The same over a client's tries: a rejection made the next one harmless, so none may have had an effect.
    by_op: dict[str, list[str]] = defaultdict(list)
    for id_ in day.effects:
        op = id_.rpartition(".")[0]
        if op in day.ops and day.config.profile[day.ops[op]["profile"]].repeat == "irreversible":
            by_op[op].append(id_)
    for op, ids in by_op.items():
        v.look(2.0 if len(ids) > 1 else 1.0, f"{op}: effects by its tries {', '.join(sorted(ids))}")
    return v
