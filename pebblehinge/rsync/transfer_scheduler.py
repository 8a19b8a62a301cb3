"""Waits of transfers for the requests that the `RequestScheduler` grants. The loop and the clock are handed in."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from pebblehinge.rsync.request_scheduler import ABANDONED, RequestScheduler, ScheduledRequest, TransferShare

MIN_TIMER_MS = 0.5


class TransferScheduler:
    """Lets transfers wait until their requests are granted.

    Attributes:
        loop: Creates futures and timers.
        clock: Returns the time in milliseconds.
        requests: Decides which request is next.
        timer: Grants requests once the backoff of a transfer is over.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float], requests: RequestScheduler) -> None:
        self.loop = loop
        self.clock = clock
        self.requests = requests
        self.timer: asyncio.TimerHandle | None = None

    async def request(self, share: TransferShare, units: float) -> ScheduledRequest:
        """Waits until a transfer may send a request of so many units; the caller reports its end by `complete`."""
        request = self.requests.enqueue(share, units, self.loop.create_future())
        return await self._wait_for_grant(request)

    async def retry(self, request: ScheduledRequest, wait_ms: float) -> ScheduledRequest:
        """Waits `wait_ms`, then until the same request may be sent once more."""
        await self.sleep(wait_ms)
        request.waiter = self.loop.create_future()
        self.requests.requeue(request)
        return await self._wait_for_grant(request)

    async def _wait_for_grant(self, request: ScheduledRequest) -> ScheduledRequest:
        self.grant()
        try:
            await request.waiter
        except asyncio.CancelledError:
            if request.granted_ms >= 0 and request.waiter.done() and not request.waiter.cancelled():
                self.complete(request, ABANDONED, 0.0)  # it was granted as its transfer ended: nothing was sent
            elif request in request.transfer.waiting:
                request.transfer.waiting.remove(request)
            raise
        return request

    def complete(self, request: ScheduledRequest, final: str, retry_after_ms: float) -> None:
        """Reports the final answer of a granted request, and grants what may follow."""
        self.requests.complete(self.clock(), request, final, retry_after_ms)
        self.grant()

    def grant(self) -> None:
        """Wakes the transfers whose requests may be sent now, and sets the timer for the next time."""
        now_ms = self.clock()
        for request in self.requests.grant_next(now_ms):
            if request.waiter.cancelled():
                self.requests.complete(now_ms, request, ABANDONED, 0.0)
            else:
                request.waiter.set_result(None)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        wake_ms = self.requests.next_wake_ms(now_ms)
        if wake_ms < math.inf:
            self.timer = self.loop.call_later(max(MIN_TIMER_MS, wake_ms - now_ms) / 1000.0, self.grant)

    async def sleep(self, duration_ms: float) -> None:
        """Waits so many milliseconds of the loop's time."""
        if duration_ms <= 0:
            return
        future: asyncio.Future[None] = self.loop.create_future()
        handle = self.loop.call_later(duration_ms / 1000.0, _wake, future)
        try:
            await future
        finally:
            handle.cancel()


def _wake(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
