"""Running calls that wait for a disk so that the event loop goes on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

CompletionCallback = Callable[[BaseException | None], None]
"""Called in the loop once the call is over, with its exception or None."""

BackgroundRunner = Callable[[Callable[[], Any], CompletionCallback], None]
"""Runs a call and then calls the `Done`."""


def run_inline(call: Callable[[], Any], done: CompletionCallback) -> None:
    """Runs the call at once, where no time passes within a call: in virtual time, and at the end of a process."""
    try:
        call()
    except OSError as error:
        done(error)
    else:
        done(None)


def thread_runner(loop: asyncio.AbstractEventLoop) -> BackgroundRunner:
    """Returns what runs calls in a thread of the loop's executor; `done` isn't called if the loop is closed by then."""

    def run(call: Callable[[], Any], done: CompletionCallback) -> None:
        def finished(future: asyncio.Future[Any]) -> None:
            if not future.cancelled():
                done(future.exception())

        loop.run_in_executor(None, call).add_done_callback(finished)

    return run
