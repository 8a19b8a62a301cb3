"""Scheduling of the requests of concurrent transfers: whose request is next, how many at once, which retries follow.

A transfer enqueues each of its requests. They are granted while fewer are in flight than the window, to the transfer
that was served least for its weight; so a directory of a thousand files gets no more than one file beside it. The
window follows what the gateway and its storage nodes can take: it grows by one a round trip while answers come in their
usual time, and shrinks when they take longer or are rejected. Each request still goes through the gateway's decisions,
which say when and where. No I/O and no clock: times are handed in, in milliseconds.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from pebblehinge.interface import FinalAnswerKind, Outcome

SUCCEEDED = Outcome.SUCCEEDED.value
REJECTED = FinalAnswerKind.REJECTED.value

ABANDONED = "left"
"""The end of a request that was granted and not sent, or whose transfer ended before its answer."""

MIN_WINDOW = 2.0
INITIAL_WINDOW = 4.0

SLOW_FACTOR = 2.5
"""Times the usual duration of a request beyond which the window shrinks."""

SLOW_MARGIN_MS = 5.0
SHRINK_SLOW = 0.85
SHRINK_REJECTED = 0.6

MIN_SHRINK_INTERVAL_MS = 20.0

USUAL_TIME_GROWTH = 0.001
"""By how much the usual duration grows with each answer: a fleet may have become slower for good."""

MIN_TIME_BUDGET_MS = 50.0
"""A request with less time left is not sent."""

BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 2_000.0
MAX_BACKOFF_DOUBLINGS = 10


@dataclass(slots=True)
class ScheduledRequest:
    """One request that waits to be granted, or is in flight.

    Attributes:
        transfer: Whose request it is.
        units: Its size in units of the module.
        waiter: Set once the request is granted.
        granted_ms: When it was granted, or -1.
        retries: How often it was enqueued again.
    """

    transfer: TransferShare
    units: float
    waiter: asyncio.Future[None]
    granted_ms: float = -1.0
    retries: int = 0


@dataclass(slots=True)
class TransferShare:
    """One transfer as the scheduler sees it.

    Attributes:
        key: Its number, in the order in which transfers began.
        deadline_ms: When its time is over.
        weight: Its part beside other transfers.
        service: Units granted so far, over the weight; the transfer that has least is next.
        in_flight: Its requests that were granted and have no answer yet.
        backoff_until_ms: Until when it is granted nothing.
        waiting: Its requests that wait, in order.
    """

    key: int
    deadline_ms: float
    weight: float
    service: float = 0.0
    in_flight: int = 0
    backoff_until_ms: float = 0.0
    waiting: deque[ScheduledRequest] = field(default_factory=deque)


class RequestScheduler:
    """Grants the requests of all transfers of one gateway.

    Attributes:
        max_requests: Requests in flight together, at most.
        max_per_transfer: Requests of one transfer in flight, at most.
        window: Requests that may be in flight now.
        in_flight: Requests in flight.
        shares: The transfers under way, by their keys.
        usual_ms: What a request of one unit takes when there is no crowd, in milliseconds.
    """

    def __init__(self, max_requests: int, max_per_transfer: int) -> None:
        self.max_requests = max_requests
        self.max_per_transfer = max_per_transfer
        self.window = max(MIN_WINDOW, min(INITIAL_WINDOW, max_requests))
        self.in_flight = 0
        self.shares: dict[int, TransferShare] = {}
        self.usual_ms = math.inf
        self._last_key = 0
        self._next_shrink_ms = -math.inf

    def begin(self, now_ms: float, time_limit_ms: float, weight: float = 1.0) -> TransferShare:
        """Adds a transfer. It starts level with the least served one, not ahead for the time before it came."""
        self._last_key += 1
        floor = min((s.service for s in self.shares.values() if s.in_flight or s.waiting), default=0.0)
        share = TransferShare(self._last_key, now_ms + time_limit_ms, weight, floor)
        self.shares[share.key] = share
        return share

    def end(self, share: TransferShare) -> list[ScheduledRequest]:
        """Removes a transfer; returns the requests that it still waited for. Those in flight still `complete`."""
        self.shares.pop(share.key, None)
        dropped = list(share.waiting)
        share.waiting.clear()
        return dropped

    def enqueue(self, share: TransferShare, units: float, waiter: asyncio.Future[None]) -> ScheduledRequest:
        """Adds a request of a transfer behind its others."""
        request = ScheduledRequest(share, units, waiter)
        share.waiting.append(request)
        return request

    def requeue(self, request: ScheduledRequest) -> None:
        """Adds the same request once more, before the others of its transfer."""
        request.retries += 1
        request.transfer.waiting.appendleft(request)

    def grant_next(self, now_ms: float) -> list[ScheduledRequest]:
        """Grants the requests that may be sent now, and returns them in order."""
        granted = []
        while self.in_flight < int(self.window):
            ready = [share for share in self.shares.values() if self._is_ready(share, now_ms)]
            if not ready:
                break
            share = min(ready, key=lambda s: (s.service, s.key))
            request = share.waiting.popleft()
            request.granted_ms = now_ms
            share.in_flight += 1
            self.in_flight += 1
            share.service += request.units / share.weight
            granted.append(request)
        return granted

    def _is_ready(self, share: TransferShare, now_ms: float) -> bool:
        return bool(share.waiting) and share.in_flight < self.max_per_transfer and now_ms >= share.backoff_until_ms

    def next_wake_ms(self, now_ms: float) -> float:
        """When the next backoff of a waiting transfer is over, or infinity."""
        return min(
            (s.backoff_until_ms for s in self.shares.values() if s.waiting and s.backoff_until_ms > now_ms),
            default=math.inf,
        )

    def time_budget_ms(self, now_ms: float, share: TransferShare, max_wait_ms: float) -> float:
        """The time that a request may take: `max_wait_ms` or what the transfer has left; 0 if that is too little."""
        budget_ms = min(max_wait_ms, share.deadline_ms - now_ms)
        return budget_ms if budget_ms >= MIN_TIME_BUDGET_MS else 0.0

    def complete(self, now_ms: float, request: ScheduledRequest, final: str, retry_after_ms: float) -> None:
        """Takes the final answer of a request that was granted, and adapts the window to it."""
        self.in_flight -= 1
        share = request.transfer
        share.in_flight -= 1
        took_ms = (now_ms - request.granted_ms) / max(1.0, request.units)
        if final == SUCCEEDED:
            usual_ms, self.usual_ms = self.usual_ms, min(took_ms, self.usual_ms * (1.0 + USUAL_TIME_GROWTH))
            if took_ms > SLOW_FACTOR * usual_ms + SLOW_MARGIN_MS:
                self._shrink(now_ms, SHRINK_SLOW, took_ms)
            else:
                self.window = min(float(self.max_requests), self.window + 1.0 / self.window)
        else:
            self._shrink(now_ms, SHRINK_REJECTED, retry_after_ms)
            if retry_after_ms > 0:
                share.backoff_until_ms = max(share.backoff_until_ms, now_ms + retry_after_ms)

    def _shrink(self, now_ms: float, factor: float, interval_ms: float) -> None:
        """Shrinks the window once a round trip: answers to what was sent together say the same thing."""
        if now_ms >= self._next_shrink_ms:
            self.window = max(MIN_WINDOW, self.window * factor)
            self._next_shrink_ms = now_ms + max(MIN_SHRINK_INTERVAL_MS, interval_ms)

    def retry_delay_ms(
        self, now_ms: float, request: ScheduledRequest, final: str, retry_after_ms: float, idempotent: bool
    ) -> float | None:
        """How long to wait before the same request is sent once more, or None for never.

        What was rejected did not run, so it may always be sent again; what ended otherwise only if it is idempotent.
        """
        if final == SUCCEEDED or (final != REJECTED and not idempotent):
            return None
        backoff_ms = min(MAX_BACKOFF_MS, BACKOFF_MS * 2.0 ** min(request.retries, MAX_BACKOFF_DOUBLINGS))
        wait_ms = retry_after_ms if final == REJECTED and retry_after_ms else max(retry_after_ms, backoff_ms)
        return wait_ms if now_ms + wait_ms + MIN_TIME_BUDGET_MS < request.transfer.deadline_ms else None


class AppendStep(Enum):
    """What follows an append that holds only at the log end that it names."""

    DONE = "done"
    MOVED = "moved"  # something else stands there: read it, then append at the new end
    LOOK = "look"  # it may have run: read whether it did; if not, append at the same end, where only one can succeed
    NEVER = "never"  # it did not run, and its time is over


def step_after_append(final: str, appended: bool | None) -> AppendStep:
    """Returns what follows an append; `appended` is what the storage node said, or None where it said nothing."""
    if final == SUCCEEDED:
        return AppendStep.DONE if appended else AppendStep.MOVED
    return AppendStep.NEVER if final == REJECTED else AppendStep.LOOK


def refusal_reason(transfers: int, max_transfers: int, stopping: bool, lagging: bool) -> str | None:
    """Returns why no new transfer may begin, or None if one may.

    A gateway that is late with its own work takes no more of them, since a transfer can come again and the requests
    beside it can't.
    """
    if stopping:
        return "this head is stopping, another one takes new transfers"
    if transfers >= max_transfers:
        return f"{max_transfers} transfers are under way here already, come again in a while"
    if lagging:
        return "this head is behind with its work, come again in a while"
    return None
