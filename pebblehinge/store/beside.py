"""Doing what waits for a disk beside the loop, so that the loop goes on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

Done = Callable[[BaseException | None], None]
Beside = Callable[[Callable[[], Any], Done], None]


def inline(call: Callable[[], Any], done: Done) -> None:
    """At once, where no time passes within a call: in virtual time, and at the end of a process."""
    try:
        call()
    except OSError as error:
        done(error)
    else:
        done(None)


def in_thread(loop: asyncio.AbstractEventLoop) -> Beside:
    """In a thread of the loop's own; `done` is called in the loop, unless that is closed by then."""

    def beside(call: Callable[[], Any], done: Done) -> None:
        def ended(future: asyncio.Future[Any]) -> None:
            if not future.cancelled():
                done(future.exception())

        loop.run_in_executor(None, call).add_done_callback(ended)

    return beside
