"""What a head has learned, packed for a later life and unpacked again. Times are ages: no clock needs to last."""

from __future__ import annotations

from typing import Any, NamedTuple


class Past(NamedTuple):
    """What an earlier life knew of a shelf."""

    plain_ms: float
    run_ms: float
    mean_ms: float
    seen_ms: float
    width: float
    cold_ms: float | None  # since when
    life: tuple[int, float] | None  # its process's slot and start, where that was packed
    left: float  # how much of it still counts, 0 to 1

    @classmethod
    def of(cls, row: list[float], life: tuple[int, float] | None, then: float, left: float) -> Past:
        """From what was packed at a time; ages are before it, under 0 is none. Old memory has no lives."""
        plain, run, mean, seen, width, cold = row
        if life is not None:
            slot, since = life
            life = None if slot < 0 else (slot, then - since if since >= 0 else 0.0)
        return cls(plain, run, mean, then - seen, width, then - cold if cold >= 0 else None, life, left)


def pack(now: float, shelfs: Any, path: Any) -> dict[str, Any]:
    """What stays of a head's shelfs and of its path for a later life, as plain values."""
    known = {
        name: [
            shelfs.plain_ms[s],
            shelfs.run_ms[s],
            shelfs.mean_ms[s],
            now - shelfs.seen_ms[s],
            shelfs.width[s],
            -1.0 if shelfs.cold_ms[s] is None else now - shelfs.cold_ms[s],
        ]
        for s, name in enumerate(shelfs.names)
        if shelfs.mean_ms[s] or shelfs.cold_ms[s] is not None
    }
    lives = {
        name: [shelfs.slots[s], now - shelfs.started[s] if shelfs.started[s] else -1.0]
        for name, s in shelfs.index.items()
        if name in known
    }
    return {
        "shelfs": known,
        "lives": lives,
        "every": [shelfs.all_ms, now - shelfs.fed_ms, shelfs.low_ms, path.worth.usual],
        "thinks": {x: e.counts for x, e in path.extents.items() if e.counts},
        "limits": {v: [st.limit, now - st.at_ms] for v, st in path.worth.stores.items()},
        "further": [now - t for t in path.limits.retries],
    }
