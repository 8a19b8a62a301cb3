"""Rules 1 and 2, on the answers of requests: one final answer by the deadline, and no harmful second execution."""

from __future__ import annotations

from collections import defaultdict

from pebblehinge.lab.facts import Facts
from pebblehinge.lab.seen import Verdict


def final_answer(day: Facts) -> Verdict:
    """Checks rule 1: each request gets exactly one final answer, by its client's deadline plus the grace period."""
    verdict = Verdict()
    grace_ms, max_retry_after_ms = day.config.rules.answer_grace, day.config.rules.stay_away_max
    for time_ms, event in day.extra:
        verdict.look(2.0, f"at {time_ms - day.begin:.0f} ms: {event}")
    for request in day.tries.values():
        gateway, patience_ms = request.op["head"], day.config.profile[request.op["profile"]].patience
        deadline_ms = request.op["t"] + patience_ms if request.id.endswith(".0") else request.sent + patience_ms
        if request.left is not None or request.id in day.cuts:
            verdict.look(0.0)
            continue
        if not request.answers:
            verdict.look(2.0, f"{request.id} by {gateway}: sent at {request.sent - day.begin:.0f} ms, never answered")
            continue
        time_ms, final, retry_after_ms = request.answers[0]
        excused = day.head_away(gateway, request.sent - 5.0, time_ms + 5.0, ("killed", "down", "frozen"))
        excused = excused or day.unheard(gateway, request.sent, time_ms)
        if len(request.answers) > 1:
            verdict.look(
                2.0,
                f"{request.id} by {gateway}: {len(request.answers)} answers, "
                f"{', '.join(answer for _, answer, _ in request.answers)}",
            )
        elif final in ("lost", "out of time"):
            history = (
                f"{request.id} by {gateway}: {final} at {time_ms - day.begin:.0f} ms, "
                f"sent at {request.sent - day.begin:.0f} ms"
            )
            verdict.look(0.0 if excused else 2.0, history)
        elif retry_after_ms > max_retry_after_ms:
            verdict.look(
                2.0,
                f"{request.id} by {gateway}: Retry-After of {retry_after_ms:.0f} ms, "
                f"at most {max_retry_after_ms:.0f} allowed",
            )
        else:
            allowed_ms = max(1.0, deadline_ms + grace_ms - request.sent)
            verdict.look(
                0.0 if excused else (time_ms - request.sent) / allowed_ms,
                f"{request.id} by {gateway}: {final} after {time_ms - request.sent:.0f} ms, allowed {allowed_ms:.0f}",
            )
    return verdict


def no_double_effect(day: Facts) -> Verdict:
    """Checks rule 2 on what storage nodes received and executed, and on what clients were answered."""
    verdict = Verdict()
    zones = {node.slot: node.zone for node in day.config.shelf.values()}
    for request in day.tries.values():
        profile = day.config.profile[request.op["profile"]]
        if profile.repeat == "redoable":
            continue
        attempts = sorted(day.attempts.get(request.id, ()), key=lambda attempt: (attempt.n, attempt.t))
        # Attempts that may have run: accepted by the node, or the connection broke after they had arrived.
        possible_runs = [attempt for attempt in attempts if not attempt.full]
        final = request.answers[0][1] if request.answers else "none"
        history = (
            f"{request.id} ({request.op['profile']}) by {request.op['head']}: "
            + "; ".join(
                f"trip {attempt.n} to {attempt.shelf} at {attempt.t - day.begin:.0f} ms"
                f"{' turned away' if attempt.full else ''}"
                for attempt in attempts
            )
            + f"; {final}, {len(day.effects.get(request.id, ()))} effects"
        )
        if profile.repeat == "irreversible":
            effect_count = len(day.effects.get(request.id, ()))
            if effect_count > 1 or (
                possible_runs
                and any(attempt.n > possible_runs[0].n or attempt.t > possible_runs[0].t for attempt in attempts)
            ):
                verdict.look(2.0, history)
            elif final == "pushed back" and possible_runs:
                verdict.look(2.0, history + ": rejected, although a retry is not harmless")
            else:
                verdict.look(float(min(1, len(possible_runs))))
            continue
        ratio = 0.0
        if possible_runs:
            ratio = 0.0 if attempts[-1].late else (attempts[-1].t - possible_runs[0].t) / profile.window
            in_scope = profile.group == "all" or all(
                attempt.slot == possible_runs[0].slot
                if profile.group == "cell"
                else zones.get(attempt.slot) == zones.get(possible_runs[0].slot)
                for attempt in attempts
                if attempt.t > possible_runs[0].t
            )
            if not in_scope or (final == "pushed back" and profile.group != "all"):
                ratio = 2.0
        verdict.look(ratio, history)
    # The same over all requests of a client's operation: a rejected one told the client that a retry is harmless, so it
    # must have had no effect.
    ids_by_op: dict[str, list[str]] = defaultdict(list)
    for request_id in day.effects:
        op = request_id.rpartition(".")[0]
        if op in day.ops and day.config.profile[day.ops[op]["profile"]].repeat == "irreversible":
            ids_by_op[op].append(request_id)
    for op, request_ids in ids_by_op.items():
        verdict.look(
            2.0 if len(request_ids) > 1 else 1.0, f"{op}: effects of several requests: {', '.join(sorted(request_ids))}"
        )
    return verdict
