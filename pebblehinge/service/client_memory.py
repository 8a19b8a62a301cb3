"""What a client connection charges to the memory budget: all but the few kilobytes that any connection takes."""

from __future__ import annotations

from pebblehinge.service.client_request import ClientRequest

REQUEST_BYTES = 2048  # Of an open request beside its head and body.


class ClientMemory:
    """The memory of one client connection.

    Attributes:
        held_bytes: What the connection has charged.
        answer_bytes: Size of the answers since the transport was last empty, as it keeps each until all is written.
        unwritten_bytes: Bytes of answers that were in the transport at the last look.
        write_progress_ms: Clock time at which they were last seen to become fewer.
    """

    __slots__ = ("held_bytes", "answer_bytes", "unwritten_bytes", "write_progress_ms")

    def __init__(self) -> None:
        self.held_bytes = 0
        self.answer_bytes = 0
        self.unwritten_bytes = 0
        self.write_progress_ms = 0.0

    def update(self, input_bytes: int, pending: ClientRequest | None, unwritten_bytes: int, now: float) -> int:
        """Notes what the connection holds now; returns by how much that is more than it has charged.

        Args:
            input_bytes: Memory of its input.
            pending: Its open request, or None.
            unwritten_bytes: Bytes of answers in its transport.
            now: Clock time in milliseconds.
        """
        if unwritten_bytes and (unwritten_bytes < self.unwritten_bytes or not self.unwritten_bytes):
            self.write_progress_ms = now
        if not unwritten_bytes:
            self.answer_bytes = 0
        self.unwritten_bytes = unwritten_bytes
        held_bytes = input_bytes + self.answer_bytes
        if pending is not None:
            held_bytes += REQUEST_BYTES + len(pending.data) + len(pending.head)
        change_bytes = held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        return change_bytes
