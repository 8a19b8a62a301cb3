"""Rules 6 and 7, which each gateway keeps for itself: the order of requests for an extent, and the retry budget."""

from __future__ import annotations

import bisect
from collections import defaultdict

from pebblehinge.lab.facts import Facts
from pebblehinge.lab.seen import Got, Try, Verdict


def order(day: Facts) -> Verdict:
    """Checks rule 6: a gateway runs the ordered requests for an extent one at a time, in order of arrival."""
    verdict = Verdict()
    ordered_classes = {name for name, profile in day.config.profile.items() if profile.in_order}
    if not ordered_classes:
        return verdict
    settle_ms = day.config.rules.order_settle
    queues: dict[tuple[str, str, str, int], list[Try]] = defaultdict(list)
    for request in day.tries.values():
        if request.op["profile"] in ordered_classes:
            client = request.id.partition("-")[0]
            queues[(request.op["head"], request.op["x"], client, request.conn)].append(request)
    for (gateway, extent, _, _), queue in queues.items():
        queue.sort(key=lambda request: request.sent)
        earlier_attempts: list[Got] = []
        for request in queue:
            attempts = sorted(
                (got for got in day.attempts.get(request.id, ()) if not got.unseen and not got.late),
                key=lambda got: got.t,
            )
            for attempt in attempts:
                for earlier in earlier_attempts:
                    history = (
                        f"{extent} by {gateway}: {request.id} reached {attempt.shelf} at "
                        f"{attempt.t - day.begin:.0f} ms, "
                    )
                    history += f"a trip of an earlier request arrived at {earlier.t - day.begin:.0f} ms"
                    if earlier.t > attempt.t:
                        verdict.look(2.0, history)
                    elif earlier.said is None or earlier.said > attempt.t + 1.0:
                        # The gateway knew its outcome at the earliest when it arrived, and then has to wait for
                        # `order-settle` before it sends the next request for the extent.
                        verdict.look(
                            settle_ms / max(1e-3, attempt.t - earlier.t + day.transit_ms) if settle_ms else 2.0, history
                        )
                    else:
                        verdict.look(0.0)
            earlier_attempts = (earlier_attempts + attempts)[-4:]
    return verdict


def budget(day: Facts) -> Verdict:
    """Checks rule 7: the retries of a gateway within any window against the retry budget."""
    verdict = Verdict()
    rules = day.config.rules
    if rules.budget_share is None:
        return verdict
    request_times: dict[str, list[float]] = defaultdict(list)
    retries: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for request in day.tries.values():
        request_times[request.op["head"]].append(request.sent)
    for request_id, attempts in day.attempts.items():
        for attempt in attempts:
            if attempt.n > 0 and not attempt.late:
                retries[attempt.head].append((attempt.t, request_id))
    for gateway, rows in retries.items():
        rows.sort()
        sorted_request_times = sorted(request_times[gateway])
        retry_times = [time_ms for time_ms, _ in rows]
        stop_times = sorted(begin_ms for begin_ms, _, kind in day.away.get(gateway, ()) if kind == "down")
        for i, (time_ms, request_id) in enumerate(rows):
            # A retry may have been sent up to the transit time earlier, so the window is that much shorter.
            since_ms = time_ms - rules.budget_window + day.transit_ms
            # A gateway that was restarted can't know which retries it sent before it was killed.
            since_ms = max([since_ms, *(stop_ms for stop_ms in stop_times if stop_ms <= time_ms)])
            retry_count = i + 1 - bisect.bisect_right(retry_times, since_ms)
            request_count = bisect.bisect_right(sorted_request_times, time_ms) - bisect.bisect_right(
                sorted_request_times, since_ms - 2 * day.transit_ms
            )
            allowed = rules.budget_free + rules.budget_share * request_count
            history = f"{request_id} by {gateway}: {retry_count} further trips in the window, {allowed:.1f} allowed"
            verdict.look(retry_count / max(1e-3, allowed), history)
    return verdict
