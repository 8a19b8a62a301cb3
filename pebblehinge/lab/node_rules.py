"""Rules 3 to 5, on what storage nodes receive: draining nodes, nodes in a slow start, rate limits over all gateways."""

from __future__ import annotations

import bisect
from collections import defaultdict, deque

from pebblehinge.lab.facts import Facts
from pebblehinge.lab.seen import Life, Verdict


def drains(day: Facts) -> Verdict:
    """Checks rule 3: a gateway sends nothing to a node later than the grace period after it learned that it drains.

    The same holds for a node that is gone.
    """
    verdict = Verdict()
    grace_ms = day.config.rules.drain_grace + day.transit_ms
    states: dict[tuple[str, str], list[tuple[float, str]]] = defaultdict(list)
    for gateway, rows in day.told.items():
        for time_ms, node, state, _ in rows:
            states[(gateway, node)].append((time_ms, state))
            if state != "ready":
                verdict.look(0.0)  # an announcement is one case, kept unless an attempt below breaks the rule
    for request_id, attempts in day.attempts.items():
        for attempt in attempts:
            rows = states.get((attempt.head, attempt.shelf), [])
            i = bisect.bisect_right(rows, attempt.t, key=lambda row: row[0]) - 1
            if i < 0 or attempt.late:
                continue
            while i > 0 and rows[i][1] != "ready" and rows[i - 1][1] != "ready":
                i -= 1  # the grace period begins with the first announcement
            if rows[i][1] == "ready":
                continue
            if day.head_away(attempt.head, rows[i][0], attempt.t, ("frozen",)) or day.untold(attempt.head, rows[i][0]):
                continue
            elapsed_ms = attempt.t - rows[i][0]
            history = (
                f"{request_id} by {attempt.head}: to {attempt.shelf} {elapsed_ms:.0f} ms after it was told {rows[i][1]}"
            )
            verdict.look(elapsed_ms / grace_ms, history)
    return verdict


def cold(day: Facts) -> Verdict:
    """Checks rule 4: the work that a node in a slow start receives within any window, against what it can handle."""
    verdict = Verdict()
    rules = day.config.rules

    def was_held(gateway: str, life: Life, time_ms: float) -> bool:
        """Returns whether the connection to the node was held, so that earlier attempts may have arrived at once."""
        return day.ways.may_have_been_held(
            gateway, life.name.partition(".")[0], time_ms - rules.fall_window - day.transit_ms, time_ms
        )

    for life in day.lives:
        if not life.cold:
            continue
        window: deque[tuple[float, float, str]] = deque()
        window_work = 0.0
        for time_ms, work, gateway in life.got:
            window.append((time_ms, work, gateway))
            window_work += work
            while window and window[0][0] <= time_ms - rules.fall_window:
                window_work -= window.popleft()[1]
            capacity_share = min(
                1.0, life.cold_from + (1 - life.cold_from) * (time_ms - life.start) / max(1.0, life.warm_ms)
            )
            allowed_work = rules.fall_multiple * life.capacity * capacity_share * rules.fall_window
            allowed_work += 2.0 * rules.most_units * life.unit_work
            history = (
                f"{life.name} got {window_work:.0f} of {allowed_work:.0f} ms of work, {time_ms - life.start:.0f} ms old"
            )
            if window_work > allowed_work:
                # Attempts on a held connection arrive when it recovers, not when their gateway sent them.
                informed_work = sum(
                    row_work
                    for row_ms, row_work, row_gateway in window
                    if _knew_start(day, row_gateway, life, row_ms) and not was_held(row_gateway, life, row_ms)
                )
                if informed_work < window_work * 2 / 3:  # most is from gateways that could not know of the start
                    informed_ratio = informed_work / max(1.0, window_work * 2 / 3)
                    verdict.look(min(1.0, informed_ratio), history)
                    continue
            verdict.look(window_work / allowed_work, history)
        failed_ms = life.fell
        if (
            failed_ms is not None
            and verdict.kept
            and not any(was_held(gateway, life, failed_ms) for gateway in day.config.head)
        ):
            verdict.look(2.0, f"{life.name} fell over {failed_ms - life.start:.0f} ms after its start")
    return verdict


def _knew_start(day: Facts, gateway: str, life: Life, time_ms: float) -> bool:
    """Returns whether discovery had told a gateway of a node's start by a time (ms)."""
    return any(
        told_ms <= time_ms and node == life.name and abs(started_ms - life.start) < 1000.0
        for told_ms, node, _, started_ms in day.told.get(gateway, ())
    )


def limits(day: Facts) -> Verdict:
    """Checks rule 5: the token bucket of each volume with a rate limit, over all gateways and nodes.

    Only the first attempt of a request takes tokens.
    """
    verdict = Verdict()
    first_attempts: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
    for request_id, attempts in day.attempts.items():
        op = day.ops.get(request_id.rpartition(".")[0])
        if op is None or not day.config.plan[op["plan"]].limit:
            continue
        first = min(attempts, key=lambda attempt: attempt.t)
        if first.late:
            continue
        first_attempts[op["volume"]].append((first.t, op["u"], request_id))
    for volume, rows in first_attempts.items():
        plan = day.config.plan[day.config.volume[volume].plan]
        rows.sort()
        tokens, filled_until_ms = plan.burst, rows[0][0]
        slack = plan.slack + plan.limit * day.transit_ms / 1000.0
        for time_ms, units, request_id in rows:
            tokens = min(plan.burst, tokens + (time_ms - filled_until_ms) * plan.limit / 1000.0) - units
            filled_until_ms = time_ms
            used_share = (plan.burst - tokens) / (plan.burst + slack)
            history = f"{volume} at {time_ms - day.begin:.0f} ms: {request_id} lowered its tokens to {tokens:.1f}"
            verdict.look(used_share, history)
    return verdict
