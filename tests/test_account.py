"""Accounts: each millisecond has one cause, the sums agree, and the right one is named."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pebblehinge.lab import blame
from pebblehinge.wait_accounting import GATEWAY, OTHERS, OWN_WORK, RETRIES, WaitAccounting, WaitCause


def test_each_wait_goes_to_what_was_out() -> None:
    accounting = WaitAccounting()
    accounting.enqueue(0.0, 1, "a", "s", 1.0)
    accounting.start_attempt(0.0, 1, True)
    accounting.enqueue(0.0, 2, "b", "s", 1.0)
    accounting.end_attempt(10.0, 1)
    accounting.forget(1)
    assert accounting.waits == {("b", WaitCause.volume("a")): 10.0, ("a", OWN_WORK): 10.0}
    accounting.enqueue(10.0, 3, "a", "s", 1.0)
    accounting.end_request(14.0, 2)  # nothing was out: the head itself kept it
    assert accounting.waits["b", GATEWAY] == 4.0
    accounting.start_attempt(14.0, 3, True)
    accounting.enqueue(14.0, 4, "c", "s", 1.0)
    accounting.end_attempt(114.0, 3)  # ten times what is usual: nine tenths of it are the shelf's
    assert accounting.waits["c", WaitCause.node("s")] == pytest.approx(90.0)
    assert accounting.waits["c", WaitCause.volume("a")] == pytest.approx(10.0)
    assert accounting.waits["a", WaitCause.node("s")] == pytest.approx(90.0)


EVENTS = st.lists(st.tuples(st.sampled_from("hsseo"), st.integers(0, 9), st.floats(0.0, 30.0)), max_size=120)


@settings(deadline=None)
@given(EVENTS)
def test_every_millisecond_has_one_cause(events: list[tuple[str, int, float]]) -> None:
    """Against a plain count of held and out time."""
    accounting, now, held, out, spent = WaitAccounting(), 0.0, {}, {}, 0.0
    for what, key, passed in events:
        now += passed
        spent += passed * (len(held) + len(out))
        if what == "h" and key not in held and key not in out:
            held[key] = None
            accounting.enqueue(now, key, f"v{key % 3}", f"s{key % 2}", 1.0)
        elif what == "s" and key in held:
            del held[key]
            out[key] = None
            accounting.start_attempt(now, key, True)
        elif what == "e" and key in out:
            del out[key]
            accounting.end_attempt(now, key)
            accounting.forget(key)
        elif what == "o" and (key in held or key in out):
            held.pop(key, None)
            out.pop(key, None)
            accounting.end_request(now, key)
    now += 1.0
    spent += len(held) + len(out)
    for key in [*out, *held]:
        accounting.end_request(now, key)
    assert sum(accounting.waits.values()) == pytest.approx(spent, abs=1e-3)
    assert not accounting.tracked_requests and not any(
        n.in_flight or n.queued_by_volume for n in accounting.nodes.values()
    )


def test_the_books_are_bounded_and_loses_no_time() -> None:
    accounting, rng, now, spent = WaitAccounting(max_pairs=64), random.Random(1), 0.0, 0.0
    for n in range(4000):
        accounting.enqueue(now, n, f"v{n % 300}", f"s{n % 5}", 1.0)
        accounting.start_attempt(now, n, n % 7 != 0)
        took = rng.random() * 9
        now, spent = now + took, spent + took
        accounting.end_request(now, n)
    assert len(accounting.waits) <= 64 + 16 and any(cause == OTHERS for _, cause in accounting.waits)
    assert any(cause == RETRIES for _, cause in accounting.waits)
    assert sum(accounting.waits.values()) == pytest.approx(spent)


@pytest.mark.parametrize("seed", range(3))
def test_a_slow_shelf_and_a_noisy_neighbour_are_told_apart(seed: int) -> None:
    named, village = blame.play_one(seed, "s2", False)
    assert named[0] == "shelf s2"
    words = village.servers["h1"].core.wait_accounting.report("calm-1")
    assert words[0].startswith("volume calm-1: ") and any("own work" in line for line in words)
    assert blame.play_one(seed, "", True)[0][0] == "noisy"
    assert set(blame.play_one(seed, "s3", True)[0][:2]) == {"shelf s3", "noisy"}
