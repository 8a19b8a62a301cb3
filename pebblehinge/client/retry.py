"""Retries by a client, only where the result shows that they are safe. No I/O of its own."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pebblehinge.client.result import LOST, REJECTED, Result

IDEMPOTENT = "redoable"
IDEMPOTENT_WITH_KEY = "labelled"


@dataclass(slots=True)
class RetryPolicy:
    """Number and delays of retries.

    Attributes:
        max_retries: Number of attempts that may follow the first one.
        backoff_ms: Mean delay of the first retry, in milliseconds; it doubles with each further retry.
        idempotency: The request class's `repeat` setting, which decides whether a request that may have taken effect
            is retried: `IDEMPOTENT`, `IDEMPOTENT_WITH_KEY`, or any other text for neither.
    """

    max_retries: int = 1
    backoff_ms: float = 100.0
    idempotency: str = IDEMPOTENT

    def next_ms(self, attempts: int, last: Result, left_ms: float, draw: float) -> float | None:
        """Returns the delay before the next attempt in milliseconds, or None if there should be no further attempt.

        Args:
            attempts: Number of attempts so far.
            last: The result of the last attempt.
            left_ms: Time until the caller's deadline, in milliseconds.
            draw: A random number from [0, 1), which varies the backoff.
        """
        if last.succeeded or attempts > self.max_retries or left_ms <= 0:
            return None
        if not self._is_safe_to_retry(last):
            return None
        backoff_ms = self.backoff_ms * 2 ** (attempts - 1) * (0.5 + draw)
        delay_ms = max(last.stay_ms, backoff_ms)
        return delay_ms if delay_ms < left_ms else None

    def _is_safe_to_retry(self, result: Result) -> bool:
        if result.final == LOST and self.idempotency == IDEMPOTENT_WITH_KEY:
            return False  # the client can't know whether the key's scope and window still apply
        return result.final == REJECTED or self.idempotency == IDEMPOTENT


async def with_retries(
    attempt: Callable[[int, float], Awaitable[Result]],
    policy: RetryPolicy,
    patience_ms: float,
    loop: asyncio.AbstractEventLoop,
    rng: random.Random,
) -> tuple[Result, int]:
    """Makes attempts until one succeeds or the policy allows no more.

    Args:
        attempt: Called with the number of the attempt, from 0, and the time until the deadline in milliseconds.
        policy: Number and delays of retries.
        patience_ms: Time for all attempts together, in milliseconds.
        loop: The event loop, whose clock is used.
        rng: Source of the jitter.

    Returns:
        The last result, and the number of attempts.
    """
    deadline = loop.time() + patience_ms / 1000.0
    attempt_count = 0
    while True:
        result = await attempt(attempt_count, (deadline - loop.time()) * 1000.0)
        attempt_count += 1
        delay_ms = policy.next_ms(attempt_count, result, (deadline - loop.time()) * 1000.0, rng.random())
        if delay_ms is None:
            return result, attempt_count
        await asyncio.sleep(delay_ms / 1000.0)
