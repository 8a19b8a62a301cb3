"""A client of the simulated Raft cluster, which records its history for the linearizability check."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from raft_member import PendingRead

from pebblehinge.lab.histories import Operation

if TYPE_CHECKING:
    from raft_cluster import Cluster


RETRY_TIMEOUT_TICKS = 25
MAX_RETRIES = 4


@dataclass
class Client:
    """Executes one operation at a time, at a member that believes it is the leader.

    Attributes:
        cluster: The simulated cluster.
        name: The client's name, which is also the session of its proposals.
        serial: The number of the latest operation.
        version: The latest version of the register that the client knows.
        operation: The operation in progress, if any.
        sent_at: The tick of the latest attempt.
        attempts: The attempts of the operation in progress.
        history: All operations so far.
    """

    cluster: Cluster
    name: str
    serial: int = 0
    version: int = 0
    operation: Operation | None = None
    sent_at: int = 0
    attempts: int = 0
    history: list[Operation] = field(default_factory=list)

    def start_operation(self, kind: str, first_member: str) -> None:
        """Starts a `set` or `read`, unless an operation is in progress; `first_member` is asked first."""
        if self.operation is not None:
            return
        self.serial += 1
        argument = (self.version, f"{self.name}.{self.serial}") if kind == "set" else None
        self.operation = Operation(self.name, kind, argument, self.cluster.clock())
        self.history.append(self.operation)
        self.attempts = 0
        self.send(first_member)

    def send(self, first_member: str) -> None:
        """Sends the operation to the first member that accepts it, beginning with `first_member`."""
        assert self.operation is not None
        self.sent_at = self.cluster.now
        self.attempts += 1
        names = sorted(self.cluster.members)
        first = names.index(first_member) if first_member in names else 0
        for name in names[first:] + names[:first]:
            member = self.cluster.members[name]
            if not member.is_running:
                continue
            if self.operation.kind == "read":
                self.cluster.last_read_context += 1
                context = self.cluster.last_read_context
                member.pending_reads[context] = PendingRead(self.cluster.highest_applied_index, self, self.serial)
                if member.raft.read_index(context):
                    member.process_ready()
                    return
                del member.pending_reads[context]
            else:
                expected_version, text = self.operation.argument
                index = member.raft.propose(f"{expected_version}={text}".encode(), self.name, self.serial)
                if index is not None:
                    member.pending_proposals[(self.name, self.serial)] = self
                    member.process_ready()
                    return

    def on_result(self, serial: int, result: tuple[str | int, str | int | None]) -> None:
        """Records the result of the operation in progress, and completes it."""
        if self.operation is None or serial != self.serial:
            return  # the operation was abandoned, or another attempt has returned its result
        self.operation.returned_at = self.cluster.clock()
        self.operation.result = result
        if self.operation.kind == "read":
            self.version = max(self.version, int(result[0]))
        else:
            self.version = max(self.version, int(result[1] or 0))
        self.operation = None

    def tick(self) -> None:
        """Retries a `set` after a timeout; abandons a `read`, or a `set` after `MAX_RETRIES`, without a result."""
        if self.operation is None or self.cluster.now - self.sent_at < RETRY_TIMEOUT_TICKS:
            return
        if self.operation.kind == "read" or self.attempts > MAX_RETRIES:
            self.operation = None
        else:
            self.send(sorted(self.cluster.members)[(self.serial + self.attempts) % len(self.cluster.members)])
