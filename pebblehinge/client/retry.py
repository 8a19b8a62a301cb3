"""Further tries by a client: only where the answer says that they are harmless. No I/O of its own."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pebblehinge.client.conn import LOST, Result


@dataclass(slots=True)
class Retries:
    """How often and when. `repeat` is the profile's: what may follow an answer that promises nothing."""

    most: int = 1
    backoff_ms: float = 100.0
    repeat: str = "redoable"

    def next_ms(self, tries: int, last: Result, left_ms: float, draw: float) -> float | None:
        """How long to wait before try number `tries` + 1, or None. `draw` is one number from [0, 1)."""
        if last.succeeded or tries > self.most or left_ms <= 0:
            return None
        harmless = last.final == "pushed back" or self.repeat == "redoable"
        if last.final == LOST and self.repeat == "labelled":
            harmless = False  # its group and window can't be judged from here
        if not harmless:
            return None
        wait = max(last.stay_ms, self.backoff_ms * 2 ** (tries - 1) * (0.5 + draw))
        return wait if wait < left_ms else None


async def with_retries(
    attempt: Callable[[int, float], Awaitable[Result]],
    retries: Retries,
    patience_ms: float,
    loop: asyncio.AbstractEventLoop,
    rng: random.Random,
) -> tuple[Result, int]:
    """Calls `attempt(try, patience left)` until it is succeeded or no further try is right; Result and tries."""
    until = loop.time() + patience_ms / 1000.0
    tries = 0
    while True:
        result = await attempt(tries, (until - loop.time()) * 1000.0)
        tries += 1
        wait = retries.next_ms(tries, result, (until - loop.time()) * 1000.0, rng.random())
        if wait is None:
            return result, tries
        await asyncio.sleep(wait / 1000.0)
