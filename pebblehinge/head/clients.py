"""One client's connection on the framed protocol."""

from __future__ import annotations

from typing import Any

from pebblehinge.core import FinalStatus, PendingRequest
from pebblehinge.head.house import House
from pebblehinge.net import Peer
from pebblehinge.wire import Kind, Session, WireError

STOP_TOKEN = 1


class ClientConn(Peer):
    """One client's connection, with the requests it has open."""

    FRAMES = frozenset({Kind.TAKE, Kind.CANCEL})

    def __init__(self, server: House) -> None:
        limits = server.config.limits
        session = Session("head", server.name, limits.frame, limits.streams, greets=False)
        super().__init__(server.loop, session, limits.stall, limits.keepalive)
        self.server = server
        self.open: dict[int, PendingRequest | None] = {}
        self.seen: dict[int, Any] = {}  # reads of buffered volumes: what they must show
        self.settled = False  # has heard of the stop, and all that it sent before has come

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.server.conns[self] = None
        if len(self.server.conns) > self.server.config.limits.connections:
            self.fail(f"{self.server.config.limits.connections} connections are open here already")

    def batch(self) -> None:
        self.server.now = self.server.clock()  # one reading for all that came together

    def ready(self) -> None:
        if self.server.core.stopping:
            self.tell_stopping()

    def tell_stopping(self) -> None:
        """What the client sent before it heard of the stop is on its way yet: closing now would lose it. It
        answers the ping after the last of them, and sends nothing more."""
        self.send(Kind.STOPPING, "this head is stopping")
        self.send(Kind.PING, STOP_TOKEN)

    def on_pong(self, token: int) -> None:
        if token == STOP_TOKEN and self.server.core.stopping:
            self.settled = True
            self.server.stop_if_done()

    def gone(self, exc: Exception | None) -> None:
        self.server.gone(self)

    def fail(self, reason: str) -> None:
        if not self.failed:
            self.server.log.warning("client cut", peer=self.session.peer_name, reason=reason)
            self.server.faults += 1
        super().fail(reason)

    def on_take(
        self, id_: int, trace: str, volume: str, plan: str | None, profile: str, extent: str, *rest: Any
    ) -> None:
        if id_ in self.open:
            raise WireError(f"TAKE: id {id_} is open already")
        if len(self.open) >= self.session.streams:
            raise WireError(f"TAKE: more than {self.session.streams} accesses open on one connection")
        if len(trace) > 200 or len(extent) > 500 or not extent:
            raise WireError("TAKE: an id of at most 200 and an extent of 1 to 500 characters are taken")
        server = self.server
        self.open[id_] = None  # until the module has it: its answer may come within the call
        server.note(server.now, "take", id=trace, client=self.session.peer_name)
        back, seen = server.back, ()
        if back is not None and back.buffers(volume):
            slot, units, left_ms, _, label, op, offset, length, data = rest
            more = (slot, units, left_ms, label, op, offset, length, data)
            if back.take(self, id_, trace, volume, profile, extent, *more):
                return
            seen = back.before_read(volume, extent)
        pending = server.core.take(server.now, self, id_, trace, volume, plan, profile, extent, *rest)
        if pending is not None and seen:
            self.seen[id_] = seen
        if pending is not None and not pending.answered:
            self.open[id_] = pending

    def tell(self, id_: int, final: int, stay_ms: float, reason: str, slot: int, data: bytes) -> None:
        """An answer to what the core never saw."""
        if self.open.pop(id_, self) is not self:
            self.send(Kind.ANSWER, id_, final, stay_ms, reason, slot, data)

    def answered(self, pending: PendingRequest, final: FinalStatus, stay_ms: float, reason: str, data: bytes) -> None:
        self.open.pop(pending.id, None)
        back, seen = self.server.back, self.seen.pop(pending.id, ())
        if back is not None and final is FinalStatus.SUCCEEDED and pending.op == 0 and back.buffers(pending.volume):
            data = back.after_read(pending, seen, data)
        self.send(Kind.ANSWER, pending.id, final, stay_ms, reason, pending.slot, data)

    def on_cancel(self, id_: int) -> None:
        pending = self.open.pop(id_, None)
        if pending is not None:  # an answer that crossed it on the way stands
            self.server.core.left(self.server.now, pending)
