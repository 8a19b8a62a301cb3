"""Signals that arrive before the gateway has its handlers: kept until it can act on them."""

from __future__ import annotations

import signal

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

received_signals: list[int] = []
"""Numbers of the signals since `record_signals`, in the order of their arrival."""


def record_signals() -> None:
    """Record the signals instead of acting on them: by default SIGHUP ends a process that still imports libraries."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, lambda number, frame: received_signals.append(number))
