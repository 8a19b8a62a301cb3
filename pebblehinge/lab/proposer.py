"""An operator who proposes a version now and then while a fleet is struck, and in the end holds the group to its word.

Every version that the group said yes to must stand once, in the order of the answers, in the history that it tells.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from pebblehinge.replicated_config.operator_client import ask_group
from pebblehinge.settings import Config, render_settings

WITHIN_S = 2.0  # for one question while the group may be struck
AT_THE_END_S = 15.0


class Proposer:
    """Proposes the same settings with other limits, never above those of the file: what heads may take up either way
    keeps the day's rules."""

    def __init__(self, loop: Any, config: Config, seed: int, note: Callable[..., None]) -> None:
        self.loop, self.config, self.note = loop, config, note
        self.addresses = [block.listen for block in config.member.values()]
        self.rng = random.Random(f"{seed}/proposals")
        self.said_yes: list[str] = []
        self.count = 0
        self.around: tuple[list[str], list[str]] | None = None  # the lines before and after the plans

    def _around(self) -> tuple[list[str], list[str]]:
        """The settings of a thousand heads take most of a second to write, and only their plans change."""
        if self.around is None:
            rest = render_settings(msgspec.structs.replace(self.config, plan={}))
            whole = render_settings(self.config)
            at = next((i for i, (a, b) in enumerate(zip(rest, whole, strict=False)) if a != b), len(rest))
            self.around = (rest[:at], rest[at:])
        return self.around

    def _text(self) -> str:
        share = self.rng.uniform(0.7, 1.0)
        before, after = self._around()
        lines = [*before]
        for name, plan in self.config.plan.items():
            fresh = msgspec.structs.replace(plan, limit=round(plan.limit * share, 3)) if plan.limit else plan
            lines += [f"plan {name} {{", *render_settings(fresh, "    "), "}"]
        return "\n".join([*lines, *after]) + "\n"

    async def propose(self) -> None:
        self.count += 1
        name = f"round-{self.count}"
        ok, history = await ask_group(self.loop, self.addresses, "history", {}, WITHIN_S)
        if ok:
            rows = [line for line in history.splitlines() if line[:1].isdigit()]
            base = int(rows[-1].split()[0]) if rows else 0
            ok, _ = await ask_group(
                self.loop,
                self.addresses,
                "propose",
                {"text": self._text(), "base": base, "note": name, "session": name, "serial": 1},
                WITHIN_S,
            )
        if ok:
            self.said_yes.append(name)
        self.note("proposed", version=name, ok=ok)

    async def run(self, length_ms: float) -> None:
        """Until the time is over; a question that is under way then is ended as it would be."""
        until = self.loop.time() + length_ms / 1000.0
        while self.loop.time() < until:
            await self.propose()
            await asyncio.sleep(self.rng.uniform(0.2, 1.8))

    async def wrong(self) -> list[str]:
        """What the group did not keep of its word."""
        ok, history = await ask_group(self.loop, self.addresses, "history", {}, AT_THE_END_S)
        if not ok:
            return [f"the group tells no history: {history}"]
        kept = [line.split()[2] for line in history.splitlines() if line[:1].isdigit()]
        self.note("agreed", versions=kept)
        return broken_word(self.said_yes, kept)


def broken_word(said_yes: list[str], kept: list[str]) -> list[str]:
    """Versions by name, in the order of the answers and as the history has them; the oldest may be forgotten."""
    found = [f"{name} stands twice" for name in sorted(set(kept)) if kept.count(name) > 1]
    # What was told yes and is older than anything kept may have been forgotten, from the front alone.
    standing = [name for name in said_yes if name in kept]
    first = said_yes.index(standing[0]) if standing else len(said_yes)
    if said_yes and not standing:
        found.append("nothing of what was said yes to stands")
    found += [f"{name} was said yes to and is gone" for name in said_yes[first:] if name not in kept]
    if standing != [name for name in kept if name in set(said_yes)]:
        found.append("the order is not that of the answers")
    return found
