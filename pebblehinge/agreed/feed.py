"""A head's way to the group: asks for its lease at whichever instance leads, and hands on what it must act on."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from pebblehinge.agreed.bounds import roomy
from pebblehinge.agreed.taking import Taking
from pebblehinge.net import Peer, dial
from pebblehinge.settings import Config
from pebblehinge.store.background import Background, inline
from pebblehinge.wire import Kind, Session

LEADERLESS = 3  # answers without a leader before another instance is tried


class _Wire(Peer):
    FRAMES = frozenset({Kind.GRANT, Kind.NEWS})

    def __init__(self, feed: Feed, session: Session, address: str) -> None:
        super().__init__(feed.loop, session, feed.limits.stall)
        self.feed, self.address = feed, address

    def ready(self) -> None:
        self.feed.opened(self)

    def gone(self, exc: Exception | None) -> None:
        self.feed.lost(self)

    def on_news(self, changed: int) -> None:
        self.feed.want()  # by its own versions: whatever it missed meanwhile comes with the answer

    def on_grant(self, *values: Any) -> None:
        self.feed.granted(*values)


class Feed:
    """At most one renewal is out, and one timer runs beside the beat; what comes up meanwhile makes one more renewal.

    `adopt(config, mode)` is called whenever what the head is to act on has changed; `keep(bytes)` before it
    acknowledges anything, so that a restart knows the last version; where it raises OSError, nothing is taken up.
    `beside` does it without holding the loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        taking: Taking,
        adopt: Callable[[Config, str], None],
        keep: Callable[[bytes], None],
        log: Any,
        beside: Background = inline,
    ) -> None:
        self.loop, self.clock, self.limits, self.group = loop, clock, roomy(config).limits, config.group
        self.members = [block.listen for block in config.member.values()]
        self.taking, self.adopt, self.keep, self.log = taking, adopt, keep, log
        self.wire: _Wire | None = None
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.expiry: asyncio.TimerHandle | None = None
        self.next_member = 0
        self.wanted = ""  # an address that was named as the leader's
        self.answered_ms = 0.0
        self.shown: tuple[int, int, str, str] | None = None
        self.closed = False
        self.beside = beside
        self.rng = random.Random(taking.head)  # spreads heads that come back together
        self.out = 0  # token of the renewal that is out
        self.wanted_again = False  # something came up since it left
        self.asked_ms, self.told = float("-inf"), -1  # when it left, and what it acknowledged
        self.later: asyncio.TimerHandle | None = None
        self.pause = self.group.tick  # before the next one where the group has not got on
        self.leaderless = 0
        self.keeping, self.unkept = False, ""  # an answer is on its way to the disk; why the last could not be kept
        self.missed = False  # another answer came meanwhile

    def start(self) -> None:
        self.answered_ms = self.clock()
        self._show()
        self._beat()

    def close(self) -> None:
        self.closed = True
        for handle in (self.task, self.timer, self.expiry, self.later):
            if handle is not None:
                handle.cancel()
        if self.wire is not None:
            self.wire.close()

    def _beat(self) -> None:
        renew, now = self.group.renew, self.clock()
        self.timer = self.loop.call_later(renew / 1000.0, self._beat)
        if self.wire is None:
            self._connect()
        elif now - self.answered_ms > 3 * renew:
            wire, self.wire = self.wire, None
            wire.abort()  # it does not answer: another instance may
            self._idle()
        elif not self.out and now - self.asked_ms >= renew / 2:
            self.ask()

    def want(self) -> None:
        """A renewal now, or as soon as the one that is out has its answer."""
        if self.out:
            self.wanted_again = True
        else:
            self.ask()

    def ask(self) -> None:
        wire, taking = self.wire, self.taking
        if wire is not None:
            self._idle()
            self.out = token = taking.asked(self.clock())
            self.asked_ms, self.told = self.clock(), taking.acknowledges
            refused, reason = taking.refused or (0, "")
            known = max(taking.texts, default=0)
            wire.send(Kind.RENEW, token, taking.head, taking.acknowledges, known, refused, reason)

    def _idle(self) -> None:
        """Nothing is out, and nothing is to follow."""
        self.out, self.wanted_again = 0, False
        if self.later is not None:
            self.later.cancel()
            self.later = None

    def _later(self, delay_ms: float, call: Callable[[], None]) -> None:
        if self.later is None and not self.closed:
            self.later = self.loop.call_later(delay_ms / 1000.0, self._now, call)

    def _now(self, call: Callable[[], None]) -> None:
        self.later = None
        call()

    def _connect(self) -> None:
        if self.task is None and self.wire is None and not self.closed:
            address, self.wanted = self.wanted, ""
            if not address:
                address = self.members[self.next_member % len(self.members)]
                self.next_member += 1
            self.task = self.loop.create_task(self._try(address))

    async def _try(self, address: str) -> None:
        session = Session("head", self.taking.head, self.limits.frame, self.limits.streams, greets=True)
        wire = _Wire(self, session, address)
        try:
            async with asyncio.timeout(1.0):
                await dial(self.loop, wire, address)
        except (OSError, TimeoutError):
            pass
        finally:
            self.task = None

    def opened(self, wire: _Wire) -> None:
        if self.closed or self.wire is not None:  # one that was given up came after all
            wire.close()
            return
        self.wire, self.answered_ms, self.leaderless = wire, self.clock(), 0
        self.ask()

    def lost(self, wire: _Wire) -> None:
        """Without a better address the next beat finds an instance: heads beat at times of their own."""
        if self.wire is wire:
            self.wire = None
            self._idle()
            if self.wanted:
                # All that a leader loses are sent to the next one at once: they come spread over half a beat.
                self._later(self.rng.uniform(0.0, self.group.renew / 2), self._connect)

    def granted(
        self,
        token: int,
        lease_ms: float,
        active: int,
        active_text: str,
        pending: int,
        pending_text: str,
        aside: dict[str, tuple[float, float]],
        leader: str,
    ) -> None:
        self.answered_ms = self.clock()
        if token == self.out:
            self.out = 0
        if not active and not pending:
            self._turned_away(leader)
            return
        self.leaderless = 0
        taking, mark = self.taking, self.taking.mark()
        if lease_ms:
            self.pause = self.group.tick
        if taking.answered(token, lease_ms, active, active_text, pending, pending_text, aside):
            # Nothing of it is acted on or acknowledged before it lasts; the loop goes on meanwhile.
            data, changed = taking.dump(), taking.hold(mark)
            self.missed = self.keeping
            if not self.keeping:
                self.keeping = True
                self.beside(lambda: self.keep(data), lambda error: self._kept(error, changed))
        elif not lease_ms and taking.acknowledges >= active:
            self._ask_later()  # it is acknowledged, and the group has not got on
        self._show()
        if self.wanted_again and not self.out:
            self.ask()

    def _turned_away(self, leader: str) -> None:
        """No version: there is none yet, or this instance does not lead, or too much waits there."""
        wire = self.wire
        if wire is None:
            return
        if leader and leader != wire.address:
            self.wanted = leader
            wire.close()
        elif not leader and self.taking.active:
            self.leaderless += 1
            if self.leaderless >= LEADERLESS:
                wire.close()  # it may be cut off from the others: the next beat tries another one
            else:
                self._ask_later()
        elif leader:
            self._ask_later()

    def _ask_later(self) -> None:
        """After a pause that grows up to a beat, spread by half."""
        self._later(self.pause * self.rng.uniform(0.75, 1.25), self.want)
        self.pause = min(2 * self.pause, self.group.renew)

    def _kept(self, error: BaseException | None, changed: tuple[Any, ...]) -> None:
        self.keeping = False
        if error is not None:
            if self.unkept != str(error):  # it comes again with each renewal: told once
                self.unkept = str(error)
                self.log.error("a version can't be kept and is not taken up", why=self.unkept)
            return
        self.unkept = ""
        if self.closed:
            return
        self.taking.take_up(changed)
        self._show()
        if self.missed or self.taking.acknowledges != self.told:
            self.missed = False
            self.want()  # what was taken up is told

    def _show(self) -> None:
        """Hands on what to act on now, and comes again when the lease ends."""
        config, mode = self.taking.config(self.clock())
        what = (self.taking.active, self.taking.pending, mode, repr(self.taking.aside))
        if config is not None and what != self.shown:
            if self.shown is None or self.shown[2] != mode or self.shown[0] != what[0]:
                self.log.info("configuration", version=what[0], pending=what[1], mode=mode)
            self.shown = what
            self.adopt(config, mode)
        if self.expiry is not None:
            self.expiry.cancel()
        if (left := self.taking.lease_until - self.clock()) > 0:
            self.expiry = self.loop.call_later(left / 1000.0 + 0.001, self._show)
