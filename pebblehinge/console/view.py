"""What a console shows of a head, as plain values. No I/O: one look at the books, shared by all who watch."""

from __future__ import annotations

from collections import deque
from typing import Any

from pebblehinge import __version__
from pebblehinge.decide import CONCURRENCY_LIMIT

MOST_VOLUMES = 50
MOST_EVENTS = 200


class Events:
    """The last things worth a line: times are the head's clock, ms."""

    def __init__(self) -> None:
        self.rows: deque[tuple[int, float, str]] = deque(maxlen=MOST_EVENTS)
        self.number = 0

    def note(self, now: float, text: str) -> None:
        self.number += 1
        self.rows.append((self.number, round(now, 1), text))


class View:
    """Snapshots of one head, with rates against the snapshot before."""

    def __init__(self, head: Any) -> None:
        self.head = head
        self.events = Events()
        self.before: dict[str, int] = {}
        self.before_ms = 0.0
        self.standing: dict[str, str] = {}

    def shelfs(self, now: float) -> list[dict[str, Any]]:
        """Each shelf with its health as this head sees it, and why."""
        module, found = self.head.core.module.shelfs, []
        for s, name in enumerate(module.names):
            since, warm_ms = module.slow_start_ms[s], module.settings.current.warm_ms
            cold = since is not None and now - since < warm_ms
            if not module.ready[s]:
                health, why = "away", "not ready in the list"
            elif module.unreachable[s]:
                health, why = "down", "connections fail; one careful trip at a time"
            elif module.is_down(s, now):
                health, why = "down", f"{module.consecutive_losses[s]} trips lost in a row, or silent with trips out"
            elif cold:
                health, why = "cold", f"{(now - module.slow_start_ms[s]) / 1000:.1f} s since its start"
            elif module.concurrency_limit[s] < CONCURRENCY_LIMIT:
                health, why = "slow", f"trips take long: {module.concurrency_limit[s]} at a time"
            else:
                health, why = "well", ""
            found.append(
                {
                    "name": name,
                    "slot": module.slots[s],
                    "health": health,
                    "why": why,
                    "held": len(module.queued[s]),
                    "out": len(module.in_flight[s]),
                    "mean_ms": round(module.mean(s, now), 1),
                }
            )
        return sorted(found, key=lambda row: row["slot"])

    def volumes(self) -> list[dict[str, Any]]:
        """The volumes that were used last, against reserve, share and limit as this head keeps them."""
        stores, config = self.head.core.module.dispatcher.valuation.buckets, self.head.config
        found = []
        for name in list(stores)[-MOST_VOLUMES:][::-1]:
            store, block = stores[name], config.volume.get(name)
            plan = config.plan.get(block.plan) if block is not None else None
            found.append(
                {
                    "name": name,
                    "plan": block.plan if block is not None else "",
                    "limit": plan.limit if plan else 0.0,
                    "units": round(store.limit, 1) if plan and plan.limit else None,
                    "reserve": round(store.reserve, 1),
                    "share": round(store.share, 1),
                }
            )
        return found

    def snapshot(self) -> dict[str, Any]:
        """All of it; cheap enough for twice a second."""
        head, core = self.head, self.head.core
        now = head.clock()
        passed = max(1e-3, (now - self.before_ms) / 1000.0) if self.before_ms else 0.0
        counts = core.counts.by_word()
        rates = {k: (n - self.before.get(k, 0)) / passed if passed else 0.0 for k, n in counts.items()}
        self.before, self.before_ms = counts, now
        shelfs = self.shelfs(now)
        for row in shelfs:
            known = self.standing.get(row["name"])
            if known != row["health"]:
                if known is not None or row["health"] != "well":
                    self.events.note(now, f"{row['name']}: {known or 'new'} to {row['health']} {row['why']}".strip())
        self.standing = {row["name"]: row["health"] for row in shelfs}
        latency = head.latency
        told: dict[str, Any] = {
            "head": head.name,
            "version": __version__,
            "now_ms": round(now, 1),
            "stopping": core.stopping,
            "open": core.open,
            "held_bytes": core.bytes,
            "connections": len(head.conns),
            "counts": counts,
            "a_second": {k: round(v, 1) for k, v in rates.items()},
            "further_trips": core.retries,
            "outcomes": {o.value: n for o, n in core.outcomes.items()},
            "refused_because": dict(core.reasons),
            "latency_ms": {
                q: round(latency.get_value_at_percentile(p) / 1000.0, 1)
                for q, p in (("p50", 50.0), ("p99", 99.0), ("p999", 99.9))
            },
            "waits": sum(len(w) for w in core.module.shelfs.reserved_slots),
            "shelfs": shelfs,
            "volumes": self.volumes(),
            "events": list(self.events.rows)[-40:],
        }
        if head.door is not None:
            door = head.door
            told["transfers"] = {
                "open": door.transfers,
                **door.counts,
                "window": round(door.sharing.window, 1),
                "late_ms": round(door.late_ms, 1),
            }
        if head.back is not None:
            back = head.back
            told["journal"] = {
                "dirty": len(back.dirty),
                "dirty_bytes": back.dirty.bytes,
                **back.counts,
                "bytes": back.journal.size(),
                "failed": str(back.committer.failure or ""),
            }
        if head.version_shown:
            told["configuration"] = head.version_shown
        return told
