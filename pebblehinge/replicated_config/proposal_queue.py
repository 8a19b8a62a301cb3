"""Versions that operators propose while another one is being taken up: they wait in order, each for a while."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pebblehinge.replicated_config.state_machine import State, command

MOST_QUEUED = 16  # versions that wait; each holds its text, a frame at most
WAIT_MS = 2_500.0  # of one of them, less than an operator's command waits for its answer

Tell = Callable[[bool, str], None]


class Member(Protocol):
    """The instance, a leader."""

    loop: asyncio.AbstractEventLoop
    state: State

    def propose(self, data: bytes, tell: Callable[[str], None], session: str = "", serial: int = 0) -> bool: ...


@dataclass(slots=True)
class Queued:
    """One proposal that was not proposed yet."""

    data: bytes
    tell: Tell
    session: str
    serial: int
    timer: asyncio.TimerHandle


class Proposals:
    """One version at a time is proposed, when none is pending. Which one a proposal is based on decides as ever: it is
    compared when the proposal is applied."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.queue: OrderedDict[tuple[str, int] | int, Queued] = OrderedDict()
        self.taken = 0  # names those without a session
        self.under_way = False

    def come(self, base: int, text: str, author: str, note: str, session: str, serial: int, tell: Tell) -> None:
        """One that is asked again takes its own place; what is answered is the newer question."""
        self.taken += 1
        key = (session, serial) if session else self.taken
        before = self.queue.get(key)
        if before is not None:
            before.tell = tell
            return
        if len(self.queue) >= MOST_QUEUED:
            tell(False, f"{len(self.queue)} versions wait already: expected {MOST_QUEUED} at most")
            return
        timer = self.member.loop.call_later(WAIT_MS / 1000.0, self._waited, key)
        data = command("propose", base, text, author, note)
        self.queue[key] = Queued(data, tell, session, serial, timer)
        self.go_on()

    def go_on(self) -> None:
        """Called whenever something was applied."""
        while self.queue and not self.under_way and not self.member.state.pending:
            _, first = self.queue.popitem(last=False)
            first.timer.cancel()
            self.under_way = True

            def done(said: str, tell: Tell = first.tell) -> None:
                self.under_way = False
                tell(not said, said or str(self.member.state.newest))

            if not self.member.propose(first.data, done, first.session, first.serial):
                self.under_way = False
                first.tell(False, "this instance takes no proposals now")

    def lost(self) -> None:
        """This instance leads no more."""
        queue, self.queue = self.queue, OrderedDict()
        for queued in queue.values():
            queued.timer.cancel()
            queued.tell(False, "this instance leads no more: ask whether it was done")

    def _waited(self, key: tuple[str, int] | int) -> None:
        queued = self.queue.pop(key, None)
        if queued is not None:
            queued.tell(False, f"version {self.member.state.pending} is being taken up: wait for it")
