"""Tests of the linearizability checker."""

from __future__ import annotations

from pebblehinge.lab.histories import Operation, apply_to_register, find_linearization


def op(client: str, kind: str, argument: object, invoked_at: float, returned_at: float, result: object) -> Operation:
    return Operation(client, kind, argument, invoked_at, returned_at, result)


NO_RETURN = float("inf")


def test_linearization_is_found_only_for_linearizable_histories() -> None:
    write = op("a", "set", (0, "x"), 1, 4, ("set", 1))
    assert find_linearization([write, op("b", "read", None, 2, 3, (0, None))], apply_to_register, (0, None)) is not None
    assert find_linearization([write, op("b", "read", None, 2, 3, (1, "x"))], apply_to_register, (0, None)) is not None
    stale_read = [write, op("b", "read", None, 5, 6, (0, None))]
    assert find_linearization(stale_read, apply_to_register, (0, None)) is None
    value_lost_again = [write, op("b", "read", None, 2, 2.5, (1, "x")), op("c", "read", None, 3, 3.5, (0, None))]
    assert find_linearization(value_lost_again, apply_to_register, (0, None)) is None


def test_operation_without_a_result_may_take_effect_late_or_never() -> None:
    pending_write = op("a", "set", (0, "x"), 1, NO_RETURN, None)
    for read_result in ((0, None), (1, "x")):
        linearization = find_linearization(
            [pending_write, op("b", "read", None, 50, 51, read_result)], apply_to_register, (0, None)
        )
        assert linearization is not None and (pending_write in linearization) == (read_result[0] == 1)
    two_writes = [pending_write, op("b", "read", None, 2, 3, (1, "x")), op("b", "set", (0, "y"), 4, 5, ("set", 1))]
    assert find_linearization(two_writes, apply_to_register, (0, None)) is None
    concurrent_writes = [op(c, "set", (0, c), 1, 9, ("set", 1)) for c in "ab"]
    # One of them would have been refused.
    assert find_linearization(concurrent_writes, apply_to_register, (0, None)) is None
