"""Rules 6 and 7 from a day's facts: order by key, and the budget of retries."""

from __future__ import annotations

import bisect
from collections import defaultdict

from pebblehinge.lab.facts import Facts
from pebblehinge.lab.seen import Got, Try, Verdict


def order(day: Facts) -> Verdict:
    """Rule 6: requests of one key at one head run one at a time, in the order in which they came."""
    v = Verdict()
    ordered = {name for name, p in day.config.profile.items() if p.in_order}
    if not ordered:
        return v
    settle = day.config.rules.order_settle
    lines: dict[tuple[str, str, str, int], list[Try]] = defaultdict(list)
    for a in day.tries.values():
        if a.op["profile"] in ordered:
            client = a.id.partition("-")[0]
            lines[(a.op["head"], a.op["x"], client, a.conn)].append(a)
    for (head, key, _, _), line in lines.items():
        line.sort(key=lambda a: a.sent)
        before: list[Got] = []
        for a in line:
            attempts = sorted((g for g in day.attempts.get(a.id, ()) if not g.unseen and not g.late), key=lambda g: g.t)
            for got in attempts:
                for b in before:
                    course = f"{key} by {head}: {a.id} reached {got.shelf} at {got.t - day.begin:.0f} ms, "
                    course += f"an earlier one's trip came at {b.t - day.begin:.0f} ms"
                    if b.t > got.t:
                        v.look(2.0, course)
                    elif b.said is None or b.said > got.t + 1.0:
                        # Its outcome was told no earlier than it came; after that the key rests.
                        v.look(settle / max(1e-3, got.t - b.t + day.transit_ms) if settle else 2.0, course)
                    else:
                        v.look(0.0)
            before = (before + attempts)[-4:]
    return v


def budget(day: Facts) -> Verdict:
    """Rule 7: retries of one head within any window against its few and its share."""
    v = Verdict()
    rules = day.config.rules
    if rules.budget_share is None:
        return v
    takes: dict[str, list[float]] = defaultdict(list)
    further: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for a in day.tries.values():
        takes[a.op["head"]].append(a.sent)
    for id_, attempts in day.attempts.items():
        for got in attempts:
            if got.n > 0 and not got.late:
                further[got.head].append((got.t, id_))
    for head, rows in further.items():
        rows.sort()
        taken = sorted(takes[head])
        times = [t for t, _ in rows]
        ends = sorted(a for a, _, kind in day.away.get(head, ()) if kind == "down")
        for i, (t, id_) in enumerate(rows):
            # One that stood on its way for a while may have been sent earlier: the window is a little shorter.
            since = t - rules.budget_window + day.transit_ms
            # A head counts from its own start: it can't know what it did before it was killed.
            since = max([since, *(at for at in ends if at <= t)])
            made = i + 1 - bisect.bisect_right(times, since)
            came = bisect.bisect_right(taken, t) - bisect.bisect_right(taken, since - 2 * day.transit_ms)
            allowed = rules.budget_free + rules.budget_share * came
            course = f"{id_} by {head}: {made} further trips in the window, {allowed:.1f} allowed"
            v.look(made / max(1e-3, allowed), course)
    return v
