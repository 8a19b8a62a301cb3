"""A request, and the thinktimes of an extent."""

from __future__ import annotations

from pebblehinge.scheduler_state import RequestHandle

BUCKET_MS = 0.5  # width of a thinktime bucket (paper 3.3)
BUCKETS = 400  # thinktimes past the last bucket count in it
FADE = 0.9  # what is left of the counts at each new thinktime (paper 3.3)
REMEMBERED = 4096  # extents, and volumes at rest for a minute: the least recently used goes first
FLOOR = 1e-9


class Extent:
    """What is known of the thinktimes of one extent."""

    __slots__ = ("counts", "answered_ms", "open", "slow_start_turn")

    def __init__(self, slow_start_turn: float) -> None:
        self.slow_start_turn = (
            slow_start_turn  # at a cold shelf; a first try draws it anew, a client's next one does not
        )
        self.counts: dict[int, float] = {}
        self.answered_ms: float | None = None
        self.open = 0

    def note(self, thinktime_ms: float) -> None:
        self.counts = {b: n * FADE for b, n in self.counts.items() if n * FADE >= 0.01}
        bucket = min(int(thinktime_ms / BUCKET_MS), BUCKETS)
        self.counts[bucket] = self.counts.get(bucket, 0.0) + 1.0

    def quantile(self, part: float) -> float:
        left = part * sum(self.counts.values())
        for bucket in sorted(self.counts):
            left -= self.counts[bucket]
            if left <= FLOOR:
                break
        return (bucket + 1) * BUCKET_MS


class Request(RequestHandle):
    """One request, and its handle."""

    shelf: int  # index of its storage node, under 0 where it has none
    over, queued, run = False, False, False
    risk_ms, sent_ms, overtaken = None, 0.0, 0.0  # when the first that may have run left, when the last

    def __lt__(self, other: Request) -> bool:
        return (self.due_ms, self.seq) < (other.due_ms, other.seq)
