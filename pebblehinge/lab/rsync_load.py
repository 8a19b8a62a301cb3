"""Members who copy folders: rsync clients of a day, with the tries that such people make, and what their records show.

Each member has a folder of its own and does one thing at a time there: pushes a changed folder, pulls it and looks at
every file, or pulls by delta over what it has. Connections are cut at any byte, clients stop reading, and a try that
failed is made again at another head. What a member may find is known: the last version whose push ended well, or one of
those that it tried since.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from pebblehinge.event_log import EventLog, NullEventLog
from pebblehinge.lab.connection_cut import ConnectionCutter
from pebblehinge.lab.rsync_call import Call, Local
from pebblehinge.lab.rsync_client import call
from pebblehinge.lab.rsync_member import Member
from pebblehinge.net import parse_address
from pebblehinge.rsync.stream_protocol import StreamProtocol
from pebblehinge.settings import Config

LAST_TRIES = 40  # for the look at the end of the day, when all is well again


class Copies:
    """All members of one load process."""

    def __init__(
        self,
        loop: Any,
        clock: Callable[[], float],
        config: Config,
        day: str,
        seed: int,
        records: EventLog | NullEventLog,
    ) -> None:
        assert config.copies is not None
        self.loop, self.clock, self.config, self.block, self.records = loop, clock, config, config.copies, records
        self.length = config.day[day].length
        self.rng = random.Random(f"{seed}/copies")
        self.members = [Member(f"m{n + 1}", random.Random(f"{seed}/copies/{n}")) for n in range(self.block.members)]
        self.heads = [name for name, block in config.head.items() if block.rsync is not None]
        self.numbers = 0
        self.out = 0
        self.drawn = False
        self.ended: asyncio.Future[None] = loop.create_future()
        self.tasks: dict[asyncio.Task[None], None] = {}

    def start(self, start_ms: float) -> None:
        self.start_ms = start_ms
        self._next(start_ms)

    def _next(self, at_ms: float) -> None:
        """Transfers begin open-loop; one that finds all members busy is not begun."""
        at_ms += self.rng.expovariate(self.block.rate) * 1000.0
        if at_ms > self.start_ms + self.length:
            self.drawn = True
            self._close()
            return
        self.loop.call_at(at_ms / 1000.0, self._due, at_ms)

    def _due(self, at_ms: float) -> None:
        free = [m for m in self.members if not m.busy]
        if free:
            member = self.rng.choice(free)
            push = member.versions == 0 or self.rng.random() < self.block.push
            self._begin(member, "push" if push else "pull", self.block.tries)
        self._next(at_ms)

    def _begin(self, member: Member, verb: str, tries: int, last: bool = False) -> None:
        member.busy = True
        self.out += 1
        task = self.loop.create_task(self._transfer(member, verb, tries, last))
        self.tasks[task] = None
        task.add_done_callback(lambda t: self.tasks.pop(t, None))

    def _close(self) -> None:
        """When all is over every folder is looked at once more."""
        if self.drawn and not self.out and not self.ended.done():
            looked = [m for m in self.members if m.may]
            if not looked or self.out < 0:
                self.ended.set_result(None)
                return
            for member in looked:
                member.busy = False
                self._begin(member, "pull", LAST_TRIES, True)

    async def _transfer(self, member: Member, verb: str, tries: int, last: bool) -> None:
        self.numbers += 1
        id_, rng = f"{member.name}.{self.numbers}", member.rng
        if verb == "push":
            member.change(self.block.files, self.block.size)
        self.records.note(self.clock(), "copy", id=id_, verb=verb, last=last)
        code, wrong, tried = -1, [], 0
        have = {n: Local(f.data, f.mtime, f.mode) for n, f in member.files.items()} if rng.random() < 0.5 else {}
        while tried < tries:
            tried += 1
            if verb == "push":
                member.tried()
            head = self.heads[(hash_of(id_) + tried) % len(self.heads)]
            version = rng.choice([27, 28, 29, 30, 31, 31, 31])
            wanted = Call(
                self.block.module,
                version,
                compress=rng.random() < 0.3,
                checksum=rng.random() < 0.1,
                able=rng.choice(["LsfxCIvu", "LsfxC", ""]),
                files=dict(member.files) if verb == "push" else dict(have),
            )
            cut = rng.random() < self.block.cuts and not last
            code = await self._try(wanted, verb, head, member, int(rng.expovariate(1 / 20_000)) if cut else -1)
            self.records.note(self.clock(), "tried", id=id_, n=tried, head=head, code=code, why=wanted.error, cut=cut)
            if code == 0:
                if verb == "push":
                    member.landed()
                else:
                    wrong = member.wrong(wanted.files)
                break
            await asyncio.sleep(self.block.again / 1000.0 * rng.uniform(0.5, 1.5))
        member.busy = False
        self.records.note(self.clock(), "copied", id=id_, verb=verb, code=code, tries=tried, wrong=wrong, last=last)
        self.out -= 1
        if last and not self.out:
            self.ended.set_result(None)
        elif not last:
            self._close()

    async def _try(self, wanted: Call, verb: str, head: str, member: Member, cut: int) -> int:
        """One connection, as a tool makes it; its exit code."""
        line = StreamProtocol(self.loop, self.config.rsync.stall)
        host, port = parse_address(self.config.head[head].rsync or "")
        try:
            await self.loop.create_connection(lambda: line, host, port)
        except OSError as error:
            wanted.error = str(error)
            return 10
        if cut >= 0:
            ConnectionCutter(line, cut, reset=True)
        try:
            async with asyncio.timeout(self.block.patience / 1000.0):
                await call(line.stream, wanted, verb, member.name + "/")
        except TimeoutError:
            wanted.code, wanted.error = 30, "the member lost patience"
        finally:
            line.close()
        return wanted.code


def hash_of(text: str) -> int:
    """A place that does not hang on the process's own hashes."""
    return sum(text.encode())
