"""Versions proposed to a scale run's group, and how long it takes until heads act on them."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from pebblehinge.replicated_config.operator_client import ask_group, ask_member
from scale.settings import LIMIT

LOOK_S = 0.05


class Waiting:
    """Asks the group for versions, and waits for what comes of them; `cap_s`: nothing is waited for any longer."""

    def __init__(self, event: str, seed: int, cap_s: float, short: str = "") -> None:
        self.event, self.seed, self.cap_s, self.short = event, seed, cap_s, short
        self.number = 0
        self.told: dict[str, Any] = {"versions": [], "windows": {}}
        self.leader = ""

    # ---- asking

    async def propose(self, since: float | None = None) -> dict[str, Any]:
        """Asks until the group has taken the next version, or for the cap; the time counts from the first asking."""
        number = self.number + 1
        text = self.versions.text(number)
        self.told["text_bytes"] = len(text)
        begin = since or time.monotonic()
        row: dict[str, Any] = {"version": number, "asked": begin, "accepted_s": None, "tries": 0}
        self.told["versions"].append(row)
        said = ""
        while time.monotonic() < begin + self.cap_s:
            row["tries"] += 1
            ok, said = await ask_group(
                self.loop,
                self.members,
                "propose",
                {
                    "text": text,
                    "base": number - 1,
                    "author": "scale",
                    "session": f"scale-{number}",
                    "serial": row["tries"],
                },
                min(10.0, self.cap_s),
            )
            # What was refused while another was pending may be asked again, as a question of its own.
            if ok or f"the newest is {number}" in said:
                row["accepted_s"] = round(time.monotonic() - begin, 4)
                self.number = number
                return row
            await asyncio.sleep(LOOK_S)
        row["refused"] = said.splitlines()[0] if said else "no answer"
        return row

    async def find_leader(self) -> str:
        for address in self.members:
            try:
                _, text, _ = await ask_member(self.loop, address, "status", {"json": 1})
                leader = json.loads(text)["leader"]
                if leader:
                    return str(leader)
            except (OSError, TimeoutError):
                continue
        return ""

    # ---- waiting

    async def until(self, what: Callable[[], Any], cap_s: float = 0.0) -> bool:
        """Whether it came to it within the cap."""
        end = time.monotonic() + (cap_s or self.cap_s)
        while True:
            self.following.look()
            if what():
                return True
            if time.monotonic() > end:
                return False
            await asyncio.sleep(LOOK_S)

    async def in_force(self, row: dict[str, Any], heads: list[str] | None = None) -> None:
        """Waits and writes down how long the median, the 99th and the last head took."""
        heads, version, following = heads or self.heads, row["version"], self.following
        if row["accepted_s"] is not None:
            left = max(1.0, row["asked"] + self.cap_s - time.monotonic())
            await self.until(lambda: not following.missing(heads, version), left)
        took = sorted(t - row["asked"] for h in heads if (t := following.since(h, version)) is not None)
        row["heads"], row["missing"] = len(heads), len(heads) - len(took)

        def at(share: float) -> float | None:
            place = min(len(heads) - 1, int(share * len(heads)))
            return round(took[place], 4) if place < len(took) else None

        row |= {"median_s": at(0.5), "p99_s": at(0.99), "last_s": at(1.0)}

    async def well(self, before: dict[str, tuple[int, int]] | None = None) -> dict[str, Any]:
        """Until every head acts on the newest version in full with nothing set aside, and knows every shelf; by a
        list that came whole since `before`, where that is given."""
        begin, part = time.monotonic(), self.versions.limits.get(self.number, LIMIT) / len(self.heads)

        def well() -> bool:
            if self.following.unwell(self.heads, self.number, part):
                return False
            least = {process: wholes + 1 for process, (_, wholes) in (before or {}).items()}
            return all(
                known >= self.stage.shelfs and wholes >= least.get(process, 0)
                for process, (known, wholes) in self.following.known.items()
            )

        done = await self.until(well)
        unwell = len(self.following.unwell(self.heads, self.number, part))
        return {"well": done, "after_s": round(time.monotonic() - begin, 3), "unwell": unwell}
