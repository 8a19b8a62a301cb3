"""Signals that come before the head can act on them: kept until it can."""

from __future__ import annotations

import signal

ACTED_ON = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
came: list[int] = []  # in their order; of the one process that called hold()


def hold() -> None:
    """From now on such a signal ends nothing: while libraries are loaded, SIGHUP would have killed the process."""
    for number in ACTED_ON:
        signal.signal(number, lambda number, frame: came.append(number))
