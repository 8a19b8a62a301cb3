"""Effects of attempts on the contents: each key's write once within a window, each append only at its offset."""

from __future__ import annotations

from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.storage_node.attempt import Attempt
from pebblehinge.storage_node.contents import Contents
from pebblehinge.storage_node.journal import Effect
from pebblehinge.wire.frames import APPEND, WRITE

EFFECTS_PER_CLEANUP = 1024
"""Effects after which expired idempotency keys are removed."""


class EffectApplier:
    """Component that applies writes and appends to the contents, and records the result of each.

    Args:
        contents: The contents that change.
        events: The event log.
        key_window_ms: How long an idempotency key is remembered, in milliseconds.

    Attributes:
        count: Number of effects so far.
    """

    def __init__(self, contents: Contents, events: EventLog | NullEventLog, key_window_ms: float) -> None:
        self._contents = contents
        self._events = events
        self._key_window_ms = key_window_ms
        self.count = 0

    def is_duplicate(self, attempt: Attempt, now_ms: float) -> bool:
        """Returns whether a write with the attempt's idempotency key has taken effect already."""
        return attempt.key is not None and self._contents.is_applied(attempt.key, now_ms, self._key_window_ms)

    def apply(self, attempt: Attempt, now_ms: float) -> bool:
        """Applies a write unless it is a duplicate, or an append if the extent ends at its offset.

        Returns:
            Whether the attempt took effect.
        """
        request_id, key, extent, offset = attempt.request_id, attempt.key, attempt.extent, attempt.offset
        if attempt.operation == APPEND and self._contents.length(extent) != offset:
            self._events.note(now_ms, "beside", id=request_id, n=attempt.attempt_index, x=extent, offset=offset)
            return False
        if attempt.operation not in (WRITE, APPEND):
            return False
        if attempt.operation == WRITE and self.is_duplicate(attempt, now_ms):
            self._events.note(now_ms, "repeat", id=request_id, n=attempt.attempt_index, label=key)
            return False
        self.count += 1
        if self.count % EFFECTS_PER_CLEANUP == 0:
            self._contents.forget_keys(now_ms, self._key_window_ms)
        size = len(attempt.data)
        self._events.note(now_ms, "effect", id=request_id, n=attempt.attempt_index, label=key, x=extent, bytes=size)
        self._contents.write(Effect(now_ms, request_id, extent, offset, key, attempt.data, attempt.attempt_index))
        return True
