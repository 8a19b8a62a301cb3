"""A client of the simulated Raft group: one operation at a time, kept as a history of calls and results."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from raft_member import PendingRead

from pebblehinge.lab.histories import Operation

if TYPE_CHECKING:
    from raft_cluster import World


RETRY_AFTER = 25  # ticks
MAX_RETRIES = 4


@dataclass
class Client:
    """Has one operation at a time, sent to an instance that believes it leads; retries elsewhere without a result."""

    world: World
    name: str
    serial: int = 0
    version: int = 0  # the newest that it knows
    operation: Operation | None = None
    sent_at: int = 0
    attempts: int = 0
    history: list[Operation] = field(default_factory=list)

    def begin(self, what: str, at: str) -> None:
        """Begins to `set` or `read`, at one instance first; nothing if an operation is open."""
        if self.operation is not None:
            return
        self.serial += 1
        value = (self.version, f"{self.name}.{self.serial}") if what == "set" else None
        self.operation = Operation(self.name, what, value, self.world.clock())
        self.history.append(self.operation)
        self.attempts = 0
        self.send(at)

    def send(self, at: str) -> None:
        """Sends the operation to the first instance that takes it, beginning with one."""
        assert self.operation is not None
        self.sent_at = self.world.now
        self.attempts += 1
        names = sorted(self.world.instances)
        first = names.index(at) if at in names else 0
        for name in names[first:] + names[:first]:
            instance = self.world.instances[name]
            if not instance.up:
                continue
            if self.operation.what == "read":
                self.world.read_contexts += 1
                context = self.world.read_contexts
                instance.pending_reads[context] = PendingRead(self.world.highest_applied, self, self.serial)
                if instance.raft.read_index(context):
                    instance.process_ready()
                    return
                del instance.pending_reads[context]
            else:
                expected, text = self.operation.value
                index = instance.raft.propose(f"{expected}={text}".encode(), self.name, self.serial)
                if index is not None:
                    instance.pending_proposals[(self.name, self.serial)] = self
                    instance.process_ready()
                    return

    def on_result(self, serial: int, result: tuple[str | int, str | int | None]) -> None:
        """A result of an operation has come."""
        if self.operation is None or serial != self.serial:
            return  # it was sent to two, and the other has answered
        self.operation.back = self.world.clock()
        self.operation.result = result
        if self.operation.what == "read":
            self.version = max(self.version, int(result[0]))
        else:
            self.version = max(self.version, int(result[1] or 0))
        self.operation = None

    def tick(self) -> None:
        """Retries after a time-out, and after some attempts goes on without a result."""
        if self.operation is None or self.world.now - self.sent_at < RETRY_AFTER:
            return
        if self.operation.what == "read" or self.attempts > MAX_RETRIES:
            self.operation = None  # its outcome stays unknown
        else:
            self.send(sorted(self.world.instances)[(self.serial + self.attempts) % len(self.world.instances)])
