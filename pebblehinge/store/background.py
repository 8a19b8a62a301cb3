"""Runners for blocking disk calls, which keep the event loop responsive while a disk is slow."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

CompletionCallback = Callable[[BaseException | None], None]
"""Called in the event loop when a call has ended, with the call's exception or None."""

BackgroundRunner = Callable[[Callable[[], Any], CompletionCallback], None]
"""Runs a call and then invokes the completion callback."""


def run_inline(call: Callable[[], Any], on_completion: CompletionCallback) -> None:
    """Runs a call immediately in the calling thread.

    Used in virtual time, where no time passes within a call, and for the last call before a process ends.
    """
    try:
        call()
    except OSError as error:
        on_completion(error)
    else:
        on_completion(None)


def thread_runner(loop: asyncio.AbstractEventLoop) -> BackgroundRunner:
    """Returns a runner that uses the threads of the loop's default executor.

    The completion callback is not invoked if the loop is closed before the call ends.
    """

    def run(call: Callable[[], Any], on_completion: CompletionCallback) -> None:
        def on_future_done(future: asyncio.Future[Any]) -> None:
            if not future.cancelled():
                on_completion(future.exception())

        loop.run_in_executor(None, call).add_done_callback(on_future_done)

    return run
