"""Running calls that wait for a disk so that the event loop goes on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

Done = Callable[[BaseException | None], None]
"""Called in the loop once the call is over, with its exception or None."""

Background = Callable[[Callable[[], Any], Done], None]
"""Runs a call and then calls the `Done`."""


def inline(call: Callable[[], Any], done: Done) -> None:
    """Runs the call at once, where no time passes within a call: in virtual time, and at the end of a process."""
    try:
        call()
    except OSError as error:
        done(error)
    else:
        done(None)


def in_thread(loop: asyncio.AbstractEventLoop) -> Background:
    """Returns what runs calls in a thread of the loop's executor; `done` isn't called if the loop is closed by then."""

    def run(call: Callable[[], Any], done: Done) -> None:
        def finished(future: asyncio.Future[Any]) -> None:
            if not future.cancelled():
                done(future.exception())

        loop.run_in_executor(None, call).add_done_callback(finished)

    return run
