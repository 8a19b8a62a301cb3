"""What this head's own clients may ask for, by its settings; what it admits goes into the core's books."""

from __future__ import annotations

from typing import Any

from pebblehinge.account import Books
from pebblehinge.core import REJECTED, Core, Taken
from pebblehinge.core.books import Doing
from pebblehinge.settings.schema import Config, HeadBlock
from pebblehinge.wire.frames import APPEND, READ, WRITE

MOST_LEFT_MS = 1e9  # ms, as long as any time that the settings may state
LEFT = 3  # how a capture writes an access whose client went away


class FramedTaken(Taken):
    """One access, with what its attempts and its records need."""

    __slots__ = ("trace", "extent", "slot", "label", "op", "offset", "length", "plan", "profile", "again")


class Refusal(Exception):
    """An access that can't be given to the module; the text goes to its client."""


def odd_time(left_ms: float) -> str:
    """Why nothing can be asked for in this time: beyond all that settings may state, or a number that is none."""
    if abs(left_ms) <= MOST_LEFT_MS:
        return ""
    return f"{left_ms:g} ms are left: a time of at most {MOST_LEFT_MS:g} is taken"


class HeadCore(Core):
    """The books of a head with settings of its own."""

    def __init__(self, config: Config, head: HeadBlock, now: float, doing: Doing) -> None:
        super().__init__(config.module_settings(head), head.seed, now, doing, Books() if head.accounts else None)
        self.config, self.block = config, head
        self.capture: Any = None  # a CaptureWriter, where what is taken is kept

    def take(
        self,
        now: float,
        conn: Any,
        id_: int,
        trace: str,
        volume: str,
        plan: str | None,
        profile: str,
        extent: str,
        slot: int,
        units: float,
        left_ms: float,
        again: bool | None,
        label: str | None,
        op: int,
        offset: int,
        length: int,
        data: bytes,
    ) -> FramedTaken | None:
        """An access has come. None where it was refused at the door, and answered."""
        taken = FramedTaken()
        taken.conn, taken.id, taken.trace = conn, id_, trace
        taken.volume, taken.extent, taken.slot, taken.units = volume, extent, slot, units
        taken.label, taken.op, taken.offset, taken.length, taken.data = label or trace, op, offset, length, data
        taken.profile, taken.again = profile, bool(again)
        self.counts["taken"] += 1
        try:
            known_plan, set_size = self._admit(taken, plan, profile, left_ms)
        except Refusal as refusal:
            # Nothing of it has gone anywhere, so trying again is harmless whatever its profile.
            self.counts["refused"] += 1
            taken.answered = True
            self.doing.answer(taken, REJECTED, self.config.rules.stay_away_max, str(refusal), b"")
            return None
        taken.plan = known_plan
        self.accept(
            now,
            taken,
            f"{volume}/{extent}",
            profile,
            known_plan,
            set_size,
            slot,
            now + left_ms - self.block.answer_margin,
            again if self.config.rules.marks_repeats else None,
        )
        return taken

    def _admit(self, taken: FramedTaken, plan: str | None, profile: str, left_ms: float) -> tuple[str, int]:
        """The plan and number of heads of an access's volume, or why it can't be taken."""
        config, limits = self.config, self.config.limits
        if self.stopping and not getattr(taken.conn, "inside", False):
            raise Refusal("this head is stopping: another one takes new accesses")
        if profile not in config.profile:
            raise Refusal(f"profile {profile[:60]!r} is not known here")
        volume = config.volume.get(taken.volume)
        if volume is None:
            raise Refusal(f"volume {taken.volume[:60]!r} is not known here")
        stands = volume.plan.partition("~")[0]  # between versions a volume may have a plan of its own, with less
        if plan is not None and plan != stands:
            what = "stands on another plan" if plan in config.plan else "names a plan that is not known here"
            raise Refusal(f"volume {taken.volume!r} {what}: {plan[:60]!r}")
        if not 0 < taken.units <= config.rules.most_units:
            raise Refusal(f"{taken.units:g} units: at most {config.rules.most_units:g} are taken")
        if why := odd_time(left_ms):
            raise Refusal(why)
        if taken.op not in (READ, WRITE, APPEND) or taken.offset < 0 or not 0 <= taken.length <= limits.frame:
            raise Refusal("no read or write of such a place")
        if self.open >= limits.accesses:
            raise Refusal(f"{limits.accesses} accesses are open here already")
        if self.bytes + len(taken.data) > limits.bytes:
            raise Refusal(f"{limits.bytes} bytes of accesses are held here already")
        return volume.plan, volume.heads

    def take_up(self, now: float, config: Config) -> None:
        """New settings, for what is admitted from now on and for all that is held."""
        self.config = config
        self.adopt(now, config.module_settings(self.block))

    def noted(self, taken: FramedTaken, final: int | None, now: float) -> None:
        if self.capture is not None:
            self.capture.add(
                taken.came_ms,
                taken.volume,
                taken.plan.partition("~")[0],
                taken.profile,
                taken.extent,
                taken.slot,
                taken.units,
                taken.op != READ,
                taken.again,
                max(taken.length, len(taken.data)),
                LEFT if final is None else final,
                round(now - taken.came_ms, 3),
                round(taken.attempt_ms, 3),
                taken.attempts,
            )
