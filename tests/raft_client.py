"""A client of the simulated Raft group: one operation at a time, kept as a history of calls and results."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pebblehinge.lab.histories import Operation

if TYPE_CHECKING:
    from raft_world import World


@dataclass
class Client:
    """Asks one thing at a time of whoever says that it leads; asks again elsewhere when it hears nothing."""

    world: World
    name: str
    serial: int = 0
    version: int = 0  # the newest that it knows
    open: Operation | None = None
    since: int = 0
    tries: int = 0
    history: list[Operation] = field(default_factory=list)

    def ask(self, what: str, at: str) -> None:
        if self.open is not None:
            return
        self.serial += 1
        value = (self.version, f"{self.name}.{self.serial}") if what == "set" else None
        self.open = Operation(self.name, what, value, self.world.clock())
        self.history.append(self.open)
        self.tries = 0
        self.reach(at)

    def reach(self, at: str) -> None:
        """Beginning with one instance, the first that takes it."""
        assert self.open is not None
        self.since, self.tries = self.world.now, self.tries + 1
        names = sorted(self.world.instances)
        first = names.index(at) if at in names else 0
        for name in names[first:] + names[:first]:
            instance = self.world.instances[name]
            if not instance.up:
                continue
            if self.open.what == "read":
                self.world.contexts += 1
                context = self.world.contexts
                instance.asked[context] = (self.world.top, self.serial, self)
                if instance.raft.read_index(context):
                    instance.work()
                    return
                del instance.asked[context]
            else:
                expected, text = self.open.value
                index = instance.raft.propose(f"{expected}={text}".encode(), self.name, self.serial)
                if index is not None:
                    instance.waiting[(self.name, self.serial)] = self
                    instance.work()
                    return

    def hears(self, serial: int, result: tuple[str | int, str | int | None]) -> None:
        if self.open is None or serial != self.serial:
            return  # two were asked, and the other has answered
        self.open.back, self.open.result = self.world.clock(), result
        if self.open.what == "read":
            self.version = max(self.version, int(result[0]))
        else:
            self.version = max(self.version, int(result[1] or 0))
        self.open = None

    def wait(self) -> None:
        """Time passes: after a while it asks again, and after some tries goes on without having heard."""
        if self.open is None or self.world.now - self.since < 25:
            return
        if self.open.what == "read" or self.tries > 4:
            self.open = None  # its outcome stays unknown
        else:
            self.reach(sorted(self.world.instances)[(self.serial + self.tries) % len(self.world.instances)])
