"""What watches a client: for records and tests."""

from __future__ import annotations

from typing import Any, Protocol


class Observer(Protocol):
    """Is told of each event of a client's requests.

    Events: `sent` (id), `answer` (id, final, stay, took), `left` (id) for a cancelled one, and `extra` (id, final) for
    an answer to a request that has ended, which no sound gateway sends.
    """

    def __call__(self, event: str, **values: Any) -> None:
        """Takes an event and its values."""
