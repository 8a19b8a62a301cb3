"""Tests of the wait accounting: each millisecond has one cause, and the right cause is named."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pebblehinge.lab import blame
from pebblehinge.wait_accounting import GATEWAY, OTHERS, OWN_WORK, RETRIES, WaitAccounting, WaitCause


def test_waiting_is_charged_to_the_attempts_in_flight() -> None:
    accounting = WaitAccounting()
    accounting.enqueue(0.0, 1, "a", "s", 1.0)
    accounting.start_attempt(0.0, 1, True)
    accounting.enqueue(0.0, 2, "b", "s", 1.0)
    accounting.end_attempt(10.0, 1)
    accounting.forget(1)
    assert accounting.waits == {("b", WaitCause.volume("a")): 10.0, ("a", OWN_WORK): 10.0}
    accounting.enqueue(10.0, 3, "a", "s", 1.0)
    accounting.end_request(14.0, 2)  # nothing was in flight, so the gateway is the cause
    assert accounting.waits["b", GATEWAY] == 4.0
    accounting.start_attempt(14.0, 3, True)
    accounting.enqueue(14.0, 4, "c", "s", 1.0)
    accounting.end_attempt(114.0, 3)  # ten times the typical duration: nine tenths are charged to the node
    assert accounting.waits["c", WaitCause.node("s")] == pytest.approx(90.0)
    assert accounting.waits["c", WaitCause.volume("a")] == pytest.approx(10.0)
    assert accounting.waits["a", WaitCause.node("s")] == pytest.approx(90.0)


# An event is a letter (h: queue, s: send the attempt, e: end the attempt, o: end the request), a key and a delay in ms.
EVENTS = st.lists(st.tuples(st.sampled_from("hsseo"), st.integers(0, 9), st.floats(0.0, 30.0)), max_size=120)


@settings(deadline=None)
@given(EVENTS)
def test_every_millisecond_has_one_cause(events: list[tuple[str, int, float]]) -> None:
    """Compares the sum over all causes with a plain count of the time queued and in flight."""
    accounting, now, queued, in_flight, total_ms = WaitAccounting(), 0.0, {}, {}, 0.0
    for event, key, delay_ms in events:
        now += delay_ms
        total_ms += delay_ms * (len(queued) + len(in_flight))
        if event == "h" and key not in queued and key not in in_flight:
            queued[key] = None
            accounting.enqueue(now, key, f"v{key % 3}", f"s{key % 2}", 1.0)
        elif event == "s" and key in queued:
            del queued[key]
            in_flight[key] = None
            accounting.start_attempt(now, key, True)
        elif event == "e" and key in in_flight:
            del in_flight[key]
            accounting.end_attempt(now, key)
            accounting.forget(key)
        elif event == "o" and (key in queued or key in in_flight):
            queued.pop(key, None)
            in_flight.pop(key, None)
            accounting.end_request(now, key)
    now += 1.0
    total_ms += len(queued) + len(in_flight)
    for key in [*in_flight, *queued]:
        accounting.end_request(now, key)
    assert sum(accounting.waits.values()) == pytest.approx(total_ms, abs=1e-3)
    assert not accounting.tracked_requests and not any(
        n.in_flight or n.queued_by_volume for n in accounting.nodes.values()
    )


def test_number_of_pairs_is_bounded_and_no_time_is_lost() -> None:
    accounting, rng, now, total_ms = WaitAccounting(max_pairs=64), random.Random(1), 0.0, 0.0
    for n in range(4000):
        accounting.enqueue(now, n, f"v{n % 300}", f"s{n % 5}", 1.0)
        accounting.start_attempt(now, n, n % 7 != 0)
        duration_ms = rng.random() * 9
        now, total_ms = now + duration_ms, total_ms + duration_ms
        accounting.end_request(now, n)
    assert len(accounting.waits) <= 64 + 16 and any(cause == OTHERS for _, cause in accounting.waits)
    assert any(cause == RETRIES for _, cause in accounting.waits)
    assert sum(accounting.waits.values()) == pytest.approx(total_ms)


@pytest.mark.parametrize("seed", range(3))
def test_slow_node_and_noisy_neighbour_are_named_as_causes(seed: int) -> None:
    causes, village = blame.play_one(seed, "s2", False)
    assert causes[0] == "shelf s2"
    lines = village.servers["h1"].core.wait_accounting.report("calm-1")
    assert lines[0].startswith("volume calm-1: ") and any("own work" in line for line in lines)
    assert blame.play_one(seed, "", True)[0][0] == "noisy"
    assert set(blame.play_one(seed, "s3", True)[0][:2]) == {"shelf s3", "noisy"}
