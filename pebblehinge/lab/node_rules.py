"""Rules 3 to 5 from a day's facts: drains, cold shelfs, limits over all heads."""

from __future__ import annotations

import bisect
from collections import defaultdict, deque

from pebblehinge.lab.facts import Facts
from pebblehinge.lab.seen import Life, Verdict


def drains(day: Facts) -> Verdict:
    """Rule 3: nothing to a shelf later than the grace after this head was told that it drains or is gone."""
    v = Verdict()
    grace = day.config.rules.drain_grace + day.transit_ms
    stand: dict[tuple[str, str], list[tuple[float, str]]] = defaultdict(list)
    for head, rows in day.told.items():
        for t, shelf, standing, _ in rows:
            stand[(head, shelf)].append((t, standing))
            if standing != "ready":
                v.look(0.0)  # a telling, kept until an attempt says otherwise
    for id_, attempts in day.attempts.items():
        for got in attempts:
            rows = stand.get((got.head, got.shelf), [])
            i = bisect.bisect_right(rows, got.t, key=lambda r: r[0]) - 1
            if i < 0 or got.late:
                continue
            while i > 0 and rows[i][1] != "ready" and rows[i - 1][1] != "ready":
                i -= 1  # from the first telling
            if rows[i][1] == "ready":
                continue
            if day.head_away(got.head, rows[i][0], got.t, ("frozen",)) or day.untold(got.head, rows[i][0]):
                continue
            late = got.t - rows[i][0]
            course = f"{id_} by {got.head}: to {got.shelf} {late:.0f} ms after it was told {rows[i][1]}"
            v.look(late / grace, course)
    return v


def cold(day: Facts) -> Verdict:
    """Rule 4: the work that reached a cold shelf within any window against what it could bear."""
    v = Verdict()
    rules = day.config.rules

    def late(head: str, life: Life, at: float) -> bool:
        return day.ways.held(head, life.name.partition(".")[0], at - rules.fall_window - day.transit_ms, at)

    for life in day.lives:
        if not life.cold:
            continue
        window: deque[tuple[float, float, str]] = deque()
        total = 0.0
        for t, work, head in life.got:
            window.append((t, work, head))
            total += work
            while window and window[0][0] <= t - rules.fall_window:
                total -= window.popleft()[1]
            warmth = min(1.0, life.cold_from + (1 - life.cold_from) * (t - life.start) / max(1.0, life.warm_ms))
            budget = rules.fall_multiple * life.capacity * warmth * rules.fall_window
            budget += 2.0 * rules.most_units * life.unit_work
            course = f"{life.name} got {total:.0f} of {budget:.0f} ms of work, {t - life.start:.0f} ms old"
            if total > budget:
                # What stood on its way came when it healed, not when its head sent it.
                knew = sum(w for at, w, h in window if _knew(day, h, life, at) and not late(h, life, at))
                if knew < total * 2 / 3:  # most came from heads that could not know
                    total_part = knew / max(1.0, total * 2 / 3)
                    v.look(min(1.0, total_part), course)
                    continue
            v.look(total / budget, course)
        fell = life.fell
        if fell is not None and v.kept and not any(late(head, life, fell) for head in day.config.head):
            v.look(2.0, f"{life.name} fell over {fell - life.start:.0f} ms after its start")
    return v


def _knew(day: Facts, head: str, life: Life, at: float) -> bool:
    """Whether a head had been told of this start by then."""
    return any(
        t <= at and shelf == life.name and abs(started - life.start) < 1000.0
        for t, shelf, _, started in day.told.get(head, ())
    )


def limits(day: Facts) -> Verdict:
    """Rule 5: the store of each volume with a limit, over all heads and shelfs."""
    v = Verdict()
    firsts: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
    for id_, attempts in day.attempts.items():
        op = day.ops.get(id_.rpartition(".")[0])
        if op is None or not day.config.plan[op["plan"]].limit:
            continue
        first = min(attempts, key=lambda g: g.t)
        if first.late:
            continue
        firsts[op["volume"]].append((first.t, op["u"], id_))
    for volume, rows in firsts.items():
        plan = day.config.plan[day.config.volume[volume].plan]
        rows.sort()
        level, at = plan.burst, rows[0][0]
        slack = plan.slack + plan.limit * day.transit_ms / 1000.0
        for t, units, id_ in rows:
            level = min(plan.burst, level + (t - at) * plan.limit / 1000.0) - units
            at = t
            used = (plan.burst - level) / (plan.burst + slack)
            course = f"{volume} at {t - day.begin:.0f} ms: {id_} took its store to {level:.1f}"
            v.look(used, course)
    return v
