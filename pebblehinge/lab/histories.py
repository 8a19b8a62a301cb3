"""A linearizability checker for histories of client operations (Herlihy and Wing 1990).

A history is linearizable if some sequential order of its operations explains all results, and each operation takes
effect at one moment between its invocation and its return. The search is Wing and Gong's, with Lowe's cache of
the search states already explored: an operation may come next if none of the remaining ones returned before it was
invoked. An operation whose result is unknown may have taken effect at any time after its invocation, or never.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class Operation:
    """One operation of a client.

    Attributes:
        client: The name of the client.
        kind: "read" or "set" for a register.
        argument: The argument, None for a read.
        invoked_at: The time of the invocation.
        returned_at: The time of the return; infinite while the result is unknown.
        result: The result; None while it is unknown.
    """

    client: str
    kind: str
    argument: Any
    invoked_at: float
    returned_at: float = math.inf
    result: Any = None


def apply_to_register(state: tuple[int, Any], op: Operation) -> tuple[tuple[int, Any], Any]:
    """Applies an operation to a versioned register, as the group implements it; returns the new state and the result.

    The state is the version and the text. `read` returns both. `set` takes the expected version and the new text; it is
    refused unless the version is the expected one.
    """
    version, text = state
    if op.kind == "read":
        return state, (version, text)
    expected_version, new_text = op.argument
    if expected_version != version:
        return state, ("refused", version)
    return (version + 1, new_text), ("set", version + 1)


def find_linearization(
    history: Sequence[Operation],
    apply: Callable[[Any, Operation], tuple[Hashable, Any]],
    initial_state: Hashable,
    max_search_states: int = 2_000_000,
) -> list[Operation] | None:
    """Searches for a sequential order of operations that explains the history.

    Args:
        history: The operations of all clients.
        apply: Returns the state after an operation, and the operation's result.
        initial_state: The state before the first operation.
        max_search_states: The maximum number of distinct search states to explore. A search state is the set of the
            operations that have taken effect, and the state after them.

    Returns:
        The operations in such an order, without those that never took effect, or None if the history is not
        linearizable.

    Raises:
        RuntimeError: The search exceeded `max_search_states`.
    """
    ops = sorted(history, key=lambda op: (op.invoked_at, op.returned_at))
    returned_mask = sum(1 << i for i, op in enumerate(ops) if op.returned_at < math.inf)
    explored: set[tuple[int, Hashable]] = set()
    unexplored: list[tuple[int, Hashable, tuple[int, ...]]] = [(0, initial_state, ())]
    while unexplored:
        applied_mask, state, path = unexplored.pop()
        if applied_mask & returned_mask == returned_mask:
            return [ops[i] for i in path]
        if (applied_mask, state) in explored:
            continue
        explored.add((applied_mask, state))
        if len(explored) > max_search_states:
            raise RuntimeError(f"{len(ops)} operations need more than {max_search_states} states")
        first_return = min(op.returned_at for i, op in enumerate(ops) if not applied_mask >> i & 1)
        for i in range(len(ops) - 1, -1, -1):
            op = ops[i]
            if applied_mask >> i & 1 or op.invoked_at > first_return:
                continue
            next_state, result = apply(state, op)
            if op.returned_at < math.inf:
                if result != op.result:
                    continue
            elif next_state == state:
                continue  # an operation without a result and without an effect may as well not have happened
            unexplored.append((applied_mask | 1 << i, next_state, (*path, i)))
    return None
