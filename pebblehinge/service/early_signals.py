"""Records signals that arrive before the gateway has installed its handlers, which handle them later."""

from __future__ import annotations

import signal

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

received_signals: list[int] = []
"""Numbers of the signals received since the call of `record_signals`, in the order of their arrival."""


def record_signals() -> None:
    """Records the signals from now on; by default SIGHUP would end a process that is still importing libraries."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, lambda number, frame: received_signals.append(number))
