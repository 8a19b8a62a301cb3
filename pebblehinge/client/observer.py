"""Observer of a client's requests, for records and tests."""

from __future__ import annotations

from typing import Any, Protocol


class Observer(Protocol):
    """Callback that receives each event of a client's requests.

    Events, with their values in parentheses:
        sent: A request was sent (id).
        answer: A request has ended (id, final, stay, took); times are in milliseconds.
        left: A request was cancelled (id).
        extra: An answer came to a request that had ended already (id, final), which no correct gateway sends.
    """

    def __call__(self, event: str, **values: Any) -> None:
        """Handles an event with its values."""
