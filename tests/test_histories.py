"""Linearizability checks of the histories that clients of the simulated group record."""

from __future__ import annotations

from pebblehinge.lab.histories import Operation, order, register


def op(client: str, what: str, value: object, called: float, back: float, result: object) -> Operation:
    return Operation(client, what, value, called, back, result)


NEVER = float("inf")


def test_a_history_with_an_order_is_told_from_one_without() -> None:
    first = op("a", "set", (0, "x"), 1, 4, ("set", 1))
    assert order([first, op("b", "read", None, 2, 3, (0, None))], register, (0, None)) is not None
    assert order([first, op("b", "read", None, 2, 3, (1, "x"))], register, (0, None)) is not None
    late = [first, op("b", "read", None, 5, 6, (0, None))]  # stale: it began after the other was over
    assert order(late, register, (0, None)) is None
    back = [first, op("b", "read", None, 2, 2.5, (1, "x")), op("c", "read", None, 3, 3.5, (0, None))]
    assert order(back, register, (0, None)) is None  # seen, and then not seen


def test_one_that_nobody_heard_of_may_have_happened_late_or_never() -> None:
    unheard = op("a", "set", (0, "x"), 1, NEVER, None)
    for seen in ((0, None), (1, "x")):
        found = order([unheard, op("b", "read", None, 50, 51, seen)], register, (0, None))
        assert found is not None and (unheard in found) == (seen[0] == 1)
    twice = [unheard, op("b", "read", None, 2, 3, (1, "x")), op("b", "set", (0, "y"), 4, 5, ("set", 1))]
    assert order(twice, register, (0, None)) is None
    both = [op(c, "set", (0, c), 1, 9, ("set", 1)) for c in "ab"]
    assert order(both, register, (0, None)) is None  # one of them must have been refused
