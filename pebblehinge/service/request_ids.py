"""The ids of clients' requests: which are open, and which belong to requests that must not run a second time.

A client gives each request a new id, so an id that comes again is a fault of the client:

- While a request with the id is open, the new one gets 400, whatever its class.
- An idempotent request that has ended is forgotten. A new request with its id runs.
- A keyed or non-idempotent request of which an attempt was begun is remembered for SPAN_MS of real time from its end or
  the start of its last attempt, whichever is later, even if its client has left. Until then a new request with its id
  gets 409, whatever its class. That is no refusal: 429 and 503 would promise that the request has not run.
- A keyed or non-idempotent request of which no attempt was begun is forgotten at its end.

The number of remembered ids is limited. None is forgotten early: while there is no room, keyed and non-idempotent
requests are refused. A restart forgets all, as the platform gives the gateway no place that outlives it.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

SPAN_MS = 30_000.0
GENERATION_COUNT = (
    3  # Ids are forgotten a generation at a time, by SPAN_MS / GENERATION_COUNT later than they might be.
)
ID_BYTES = 100  # Memory of one remembered id.


class IdState(Enum):
    """What is known of an id."""

    UNKNOWN = "unknown"
    OPEN = "open"
    MAY_HAVE_RUN = "may have run"


class RequestIds:
    """The ids of one gateway.

    Ids are remembered by their hash, which differs between processes, so that no client can choose ids that collide.

    Attributes:
        max_remembered: How many ids may be open or remembered before non-idempotent requests are refused.
        open_ids: The ids of open requests.
    """

    __slots__ = ("max_remembered", "open_ids", "_generations", "_generation_since_ms")

    def __init__(self, max_remembered: int, now: float) -> None:
        self.max_remembered = max_remembered
        self.open_ids: set[str] = set()
        # The newest is first. The oldest holds ids that were added between SPAN_MS and one generation more ago.
        self._generations: deque[set[int]] = deque([set()], maxlen=GENERATION_COUNT + 1)
        self._generation_since_ms = now

    @property
    def remembered_count(self) -> int:
        """Number of remembered ids; one that was added in several generations counts in each."""
        return sum(map(len, self._generations))

    def state(self, request_id: str, now: float) -> IdState:
        """Returns what is known of an id at clock time `now`, in milliseconds."""
        if request_id in self.open_ids:
            return IdState.OPEN
        self._forget_expired(now)
        digest = hash(request_id)
        if any(digest in generation for generation in self._generations):
            return IdState.MAY_HAVE_RUN
        return IdState.UNKNOWN

    def has_room(self, now: float) -> bool:
        """Returns whether one more request may be opened whose id has to be remembered."""
        self._forget_expired(now)
        return self.remembered_count + len(self.open_ids) < self.max_remembered

    def remember(self, request_id: str, now: float) -> None:
        """Remembers an id for SPAN_MS from clock time `now` on."""
        self._forget_expired(now)
        self._generations[0].add(hash(request_id))

    def _forget_expired(self, now: float) -> None:
        generation_ms = SPAN_MS / GENERATION_COUNT
        elapsed = min(GENERATION_COUNT + 1, int((now - self._generation_since_ms) / generation_ms))
        if elapsed <= 0:
            return
        for _ in range(elapsed):
            self._generations.appendleft(set())
        self._generation_since_ms = now
