"""What a head acts on, from what the group told it and how long ago. No I/O, no clock.

taking = Taking(head, floor)              # or Taking.restore(...): the last version, without a lease
taking.asked(now)  -> token               # a renewal leaves
taking.answered(token, ...)               # what the group said; may raise nothing, may refuse a version
taking.config(now)                        # what to act on now, and in which mode
"""

from __future__ import annotations

from typing import Any

import msgspec

from pebblehinge.replicated_config.activation import Aside, careful, cut_off, leave
from pebblehinge.replicated_config.version_cache import read, same
from pebblehinge.settings import Config, SettingsError


class KeptVersion(msgspec.Struct, array_like=True):
    """What a head keeps of the group over restarts."""

    active: int
    text: str
    aside: dict[str, tuple[float, float]]
    pending: int = 0
    pending_text: str = ""


class Taking:
    """One head's side."""

    def __init__(self, head: str, floor: float) -> None:
        self.head, self.floor = head, floor
        self.active = self.pending = 0
        self.texts: dict[int, str] = {}
        self.configs: dict[int, Config] = {}
        self.aside: Aside = {}
        self.lease_until = -1.0
        self.asked_at: dict[int, float] = {}
        self.tokens = 0
        self.refused: tuple[int, str] | None = None

    @classmethod
    def restore(cls, head: str, floor: float, data: bytes) -> Taking:
        """After a restart: the last versions, and no lease, since none knows how long this head was away."""
        taking = cls(head, floor)
        kept = msgspec.msgpack.decode(data, type=KeptVersion)
        for number, text in ((kept.active, kept.text), (kept.pending, kept.pending_text)):
            if number:
                taking._read(number, text)
        taking.active, taking.pending, taking.aside = kept.active, kept.pending, kept.aside
        return taking

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(
            KeptVersion(
                self.active, self.texts.get(self.active, ""), self.aside, self.pending, self.texts.get(self.pending, "")
            )
        )

    @property
    def acknowledges(self) -> int:
        """The newest version that this head has taken up, or is careful towards."""
        return max(self.active, self.pending)

    def asked(self, now: float) -> int:
        self.tokens += 1
        self.asked_at[self.tokens] = now
        for old in list(self.asked_at)[:-16]:
            del self.asked_at[old]
        return self.tokens

    def answered(
        self, token: int, lease_ms: float, active: int, active_text: str, pending: int, pending_text: str, aside: Aside
    ) -> bool:
        """True where something changed that must be kept before it is acknowledged."""
        asked = self.asked_at.pop(token, None)
        if asked is None:
            return False
        before = (self.active, self.pending, self.aside)
        for number, text in ((active, active_text), (pending, pending_text)):
            if number and text and number not in self.configs and not self._usable(number, text):
                return False
        if active in self.configs or active == 0:
            if active >= self.active:
                self.active, self.aside = active, aside
                self.pending = 0 if self.pending <= active else self.pending
            if pending in self.configs:
                self.pending = pending
            elif pending == 0 and self.pending > self.active:
                self.pending = 0  # it was given up
            # Only what this head really acts on earns it a lease.
            if active == self.active:
                self.lease_until = max(self.lease_until, asked + lease_ms)
        for old in [n for n in self.configs if n < self.active and n not in (active, pending)]:
            del self.configs[old], self.texts[old]
        return before != (self.active, self.pending, self.aside)

    def mark(self) -> tuple[Any, ...]:
        """What `back_to` needs: everything that an answer may change."""
        return self.active, self.pending, self.aside, self.lease_until, dict(self.configs), dict(self.texts)

    def hold(self, mark: tuple[Any, ...]) -> tuple[Any, ...]:
        """Puts an answer aside until it is kept: what is acted on is as it was at the mark. Returns what `take_up`
        needs."""
        changed = self.mark()
        self.back_to(mark)
        return changed

    def take_up(self, changed: tuple[Any, ...]) -> None:
        """What was held is kept now. The lease that came with it counts from its asking, as ever."""
        lease = max(self.lease_until if self.active == changed[0] else -1.0, changed[3])
        self.active, self.pending, self.aside, _, self.configs, self.texts = changed
        self.lease_until = lease

    def back_to(self, mark: tuple[Any, ...]) -> None:
        """Takes an answer back that could not be kept: not acted on and not acknowledged, since a restart would know
        nothing of it. The lease that it brought is none either; the old one runs out, and the floor is left. What was
        read of the newest versions stays read, for the next time."""
        read, texts = self.configs, self.texts
        self.active, self.pending, self.aside, self.lease_until, self.configs, self.texts = mark
        for number in sorted(set(read) - set(self.configs))[-2:]:
            self.configs[number], self.texts[number] = read[number], texts[number]

    def _usable(self, number: int, text: str) -> bool:
        try:
            self._read(number, text)
        except SettingsError as error:
            self.refused = (number, str(error).splitlines()[0])
            return False
        config = self.configs[number]
        if self.head not in config.head:
            self.refused = (number, f"it has no head {self.head!r}")
            del self.configs[number], self.texts[number]
            return False
        return True

    def _read(self, number: int, text: str) -> None:
        self.configs[number] = read(text, f"version {number}")
        self.texts[number] = same(text)

    def config(self, now: float) -> tuple[Config | None, str]:
        """What to act on, and the mode: none, cut off, careful or active."""
        if not self.active:
            return None, "none"
        current = leave(self.configs[self.active], self.aside)
        if self.pending:
            current = careful(current, self.configs[self.pending], self.head, self.floor)
        if now >= self.lease_until:
            # Whatever came since, the group counts this head for the floor of what it acknowledged last.
            base = self.configs[self.active]
            if self.pending:
                base = careful(base, self.configs[self.pending], self.head, self.floor)
            return cut_off(base, self.floor), "cut off"
        return current, "careful" if self.pending else "active"
