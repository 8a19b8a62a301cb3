"""Accounts: each millisecond has one cause, the sums agree, and the right one is named."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pebblehinge.lab import blame
from pebblehinge.wait_accounting import WaitAccounting
from pebblehinge.wait_accounting.accounting import AGAIN, HEAD, OTHERS, SELF, SHELF


def test_each_wait_goes_to_what_was_out() -> None:
    books = WaitAccounting()
    books.held(0.0, 1, "a", "s", 1.0)
    books.sent(0.0, 1, True)
    books.held(0.0, 2, "b", "s", 1.0)
    books.ended(10.0, 1)
    books.answered(1)
    assert books.waits == {("b", "a"): 10.0, ("a", SELF): 10.0}
    books.held(10.0, 3, "a", "s", 1.0)
    books.over(14.0, 2)  # nothing was out: the head itself kept it
    assert books.waits["b", HEAD] == 4.0
    books.sent(14.0, 3, True)
    books.held(14.0, 4, "c", "s", 1.0)
    books.ended(114.0, 3)  # ten times what is usual: nine tenths of it are the shelf's
    assert books.waits["c", SHELF + "s"] == pytest.approx(90.0) and books.waits["c", "a"] == pytest.approx(10.0)
    assert books.waits["a", SHELF + "s"] == pytest.approx(90.0)


EVENTS = st.lists(st.tuples(st.sampled_from("hsseo"), st.integers(0, 9), st.floats(0.0, 30.0)), max_size=120)


@settings(deadline=None)
@given(EVENTS)
def test_every_millisecond_has_one_cause(events: list[tuple[str, int, float]]) -> None:
    """Against a plain count of held and out time."""
    books, now, held, out, spent = WaitAccounting(), 0.0, {}, {}, 0.0
    for what, key, passed in events:
        now += passed
        spent += passed * (len(held) + len(out))
        if what == "h" and key not in held and key not in out:
            held[key] = None
            books.held(now, key, f"v{key % 3}", f"s{key % 2}", 1.0)
        elif what == "s" and key in held:
            del held[key]
            out[key] = None
            books.sent(now, key, True)
        elif what == "e" and key in out:
            del out[key]
            books.ended(now, key)
            books.answered(key)
        elif what == "o" and (key in held or key in out):
            held.pop(key, None)
            out.pop(key, None)
            books.over(now, key)
    now += 1.0
    spent += len(held) + len(out)
    for key in [*out, *held]:
        books.over(now, key)
    assert sum(books.waits.values()) == pytest.approx(spent, abs=1e-3)
    assert not books.where and not any(d.out or d.held for d in books.desks.values())


def test_the_books_are_bounded_and_lose_no_time() -> None:
    books, rng, now, spent = WaitAccounting(most=64), random.Random(1), 0.0, 0.0
    for n in range(4000):
        books.held(now, n, f"v{n % 300}", f"s{n % 5}", 1.0)
        books.sent(now, n, n % 7 != 0)
        took = rng.random() * 9
        now, spent = now + took, spent + took
        books.over(now, n)
    assert len(books.waits) <= 64 + 16 and any(cause == OTHERS for _, cause in books.waits)
    assert any(cause == AGAIN for _, cause in books.waits)
    assert sum(books.waits.values()) == pytest.approx(spent)


@pytest.mark.parametrize("seed", range(3))
def test_a_slow_shelf_and_a_noisy_neighbour_are_told_apart(seed: int) -> None:
    named, village = blame.play_one(seed, "s2", False)
    assert named[0] == SHELF + "s2"
    words = village.servers["h1"].core.account.words("calm-1")
    assert words[0].startswith("volume calm-1: ") and any("own work" in line for line in words)
    assert blame.play_one(seed, "", True)[0][0] == "noisy"
    assert set(blame.play_one(seed, "s3", True)[0][:2]) == {SHELF + "s3", "noisy"}
