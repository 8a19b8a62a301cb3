"""What this head's own clients may ask for, by its settings; what it admits goes into the core's books."""

from __future__ import annotations

from typing import Any

from pebblehinge.core import Effects, FinalStatus, PendingRequest, RequestTable
from pebblehinge.settings.schema import Config, HeadBlock
from pebblehinge.wait_accounting import WaitAccounting
from pebblehinge.wire.frames import APPEND, READ, WRITE

MOST_LEFT_MS = 1e9  # ms, as long as any time that the settings may state
LEFT = 3  # how a capture writes a request whose client went away


class FramedRequest(PendingRequest):
    """One request, with what its attempts and its records need."""

    __slots__ = ("trace", "extent", "slot", "label", "op", "offset", "length", "plan", "profile", "again")


class Refusal(Exception):
    """A request that can't be given to the module; the text goes to its client."""


def odd_time(left_ms: float) -> str:
    """Why nothing can be asked for in this time: beyond all that settings may state, or a number that is none."""
    if abs(left_ms) <= MOST_LEFT_MS:
        return ""
    return f"{left_ms:g} ms are left: a time of at most {MOST_LEFT_MS:g} is taken"


class HeadCore(RequestTable):
    """The books of a head with settings of its own."""

    def __init__(self, config: Config, head: HeadBlock, now: float, effects: Effects) -> None:
        super().__init__(
            config.module_settings(head), head.seed, now, effects, WaitAccounting() if head.accounts else None
        )
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
    ) -> FramedRequest | None:
        """A request has come. None where it was refused at the door, and answered."""
        pending = FramedRequest()
        pending.conn, pending.id, pending.trace = conn, id_, trace
        pending.volume, pending.extent, pending.slot, pending.units = volume, extent, slot, units
        pending.label, pending.op, pending.offset, pending.length, pending.data = (
            label or trace,
            op,
            offset,
            length,
            data,
        )
        pending.profile, pending.again = profile, bool(again)
        self.counts.received += 1
        try:
            known_plan, set_size = self._admit(pending, plan, profile, left_ms)
        except Refusal as refusal:
            # Nothing of it has gone anywhere, so trying again is harmless whatever its profile.
            self.counts.not_admitted += 1
            pending.answered = True
            self.effects.answer(pending, FinalStatus.REJECTED, self.config.rules.stay_away_max, str(refusal), b"")
            return None
        pending.plan = known_plan
        self.accept(
            now,
            pending,
            f"{volume}/{extent}",
            profile,
            known_plan,
            set_size,
            slot,
            now + left_ms - self.block.answer_margin,
            again if self.config.rules.marks_repeats else None,
        )
        return pending

    def _admit(self, pending: FramedRequest, plan: str | None, profile: str, left_ms: float) -> tuple[str, int]:
        """The plan and number of heads of a request's volume, or why it can't be taken."""
        config, limits = self.config, self.config.limits
        if self.stopping and not getattr(pending.conn, "inside", False):
            raise Refusal("this head is stopping: another one takes new accesses")
        if profile not in config.profile:
            raise Refusal(f"profile {profile[:60]!r} is not known here")
        volume = config.volume.get(pending.volume)
        if volume is None:
            raise Refusal(f"volume {pending.volume[:60]!r} is not known here")
        stands = volume.plan.partition("~")[0]  # between versions a volume may have a plan of its own, with less
        if plan is not None and plan != stands:
            what = "stands on another plan" if plan in config.plan else "names a plan that is not known here"
            raise Refusal(f"volume {pending.volume!r} {what}: {plan[:60]!r}")
        if not 0 < pending.units <= config.rules.most_units:
            raise Refusal(f"{pending.units:g} units: at most {config.rules.most_units:g} are taken")
        if why := odd_time(left_ms):
            raise Refusal(why)
        if pending.op not in (READ, WRITE, APPEND) or pending.offset < 0 or not 0 <= pending.length <= limits.frame:
            raise Refusal("no read or write of such a place")
        if self.open >= limits.accesses:
            raise Refusal(f"{limits.accesses} accesses are open here already")
        if self.bytes + len(pending.data) > limits.bytes:
            raise Refusal(f"{limits.bytes} bytes of accesses are held here already")
        return volume.plan, volume.heads

    def take_up(self, now: float, config: Config) -> None:
        """New settings, for what is admitted from now on and for all that is held."""
        self.config = config
        self.adopt(now, config.module_settings(self.block))

    def request_ended(self, pending: FramedRequest, final: FinalStatus | None, now: float) -> None:
        if self.capture is not None:
            self.capture.add(
                pending.came_ms,
                pending.volume,
                pending.plan.partition("~")[0],
                pending.profile,
                pending.extent,
                pending.slot,
                pending.units,
                pending.op != READ,
                pending.again,
                max(pending.length, len(pending.data)),
                LEFT if final is None else final,
                round(now - pending.came_ms, 3),
                round(pending.attempt_ms, 3),
                pending.attempts,
            )
