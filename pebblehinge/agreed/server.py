"""An instance of the group on sockets: other instances, heads that renew their leases, and operators that ask."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Any

import msgspec

from pebblehinge.agreed.asking import Asking
from pebblehinge.agreed.bounds import roomy
from pebblehinge.agreed.granting import Granting
from pebblehinge.agreed.leases import Leases
from pebblehinge.agreed.state import State, command
from pebblehinge.net import Peer, parse_address
from pebblehinge.raft import Entry, Raft, initial_snapshot
from pebblehinge.raft.node import Node, NodeCallbacks
from pebblehinge.raft.storage import Storage
from pebblehinge.raft.transport import LinkSettings, PeerLink
from pebblehinge.settings import Config
from pebblehinge.store.disk import Disk
from pebblehinge.store.errors import StorageError
from pebblehinge.wire import Kind, Session, WireError

BACKLOG = 2048  # connections that wait to be accepted: all heads come back after a leader's loss


class MemberConn(Peer):
    """A connection from another instance, a head, or an operator."""

    FRAMES = frozenset({Kind.RAFT, Kind.RENEW, Kind.ASK})

    def __init__(self, member: MemberServer) -> None:
        limits = member.config.limits
        session = Session("group", member.name, limits.frame, limits.streams, greets=False)
        super().__init__(member.loop, session, limits.stall, limits.keepalive)
        self.member = member

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.member.conns[self] = None

    def gone(self, exc: Exception | None) -> None:
        self.member.conns.pop(self, None)

    def on_raft(self, data: bytes) -> None:
        if self.session.peer_role != "member":
            raise WireError("RAFT is for instances of the group")
        if self.session.peer_name.rpartition("@")[2] != self.member.config.group.id:
            raise WireError(f"this is group {self.member.config.group.id!r}: {self.session.peer_name!r} is of another")
        try:
            self.member.node.receive(data)
        except msgspec.DecodeError as error:
            raise WireError(f"RAFT: {error}") from None

    def on_renew(self, *values: Any) -> None:
        self.member.granting.renewed(self, *values)

    def on_ask(self, token: int, verb: str, values: dict[str, str | int]) -> None:
        self.member.asking.asked(self, token, verb, values)


class MemberServer:
    """Everything of one instance. `disk` is its folder."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        name: str,
        disk: Disk,
        log: Any,
        seed: int = 0,
    ) -> None:
        config = roomy(config)
        self.loop, self.clock, self.config, self.name, self.log = loop, clock, config, name, log
        group, limits = config.group, config.limits
        storage = Storage(disk)
        snapshot = storage.snapshot or initial_snapshot(list(config.member))
        rng = random.Random(f"{seed}/{name}")
        raft = Raft(name, snapshot, storage.entries, storage.hard_state, rng, group.election, group.heartbeat)
        self.state = State.restore(snapshot.data)
        link_settings = LinkSettings(f"{name}@{group.id}", limits.frame, limits.stall, limits.keepalive)
        links = {
            other: PeerLink(loop, block.listen, link_settings)
            for other, block in config.member.items()
            if other != name
        }
        callbacks = NodeCallbacks(
            self._apply, self._restore, lambda: self.state.dump(), self._read_done, self._storage_failed
        )
        self.node = Node(loop, raft, storage, links, callbacks, group.tick, group.compact)
        self.conns: dict[MemberConn, None] = {}
        self.proposals: dict[int, tuple[int, Callable[[str], None]]] = {}  # index -> term, who waits
        self.reads: dict[int, Callable[[bool], None]] = {}
        self.contexts = itertools.count(1)
        self.on_its_way: dict[tuple[Any, ...], int] = {}  # commands of the leader itself -> index
        self.asking, self.granting = Asking(self), Granting(self)
        self.failure = ""
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.server: Any = None
        self.timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        host, port = parse_address(self.config.member[self.name].listen)
        self.server = await self.loop.create_server(lambda: MemberConn(self), host, port, backlog=BACKLOG)
        self.node.start()
        self._look()

    def stop(self, why: str = "") -> None:
        self.node.stop()
        if self.server is not None:
            self.server.close()
        if self.timer is not None:
            self.timer.cancel()
        for conn in list(self.conns):
            conn.close()
        if not self.stopped.done():
            self.stopped.set_result(None)

    def _storage_failed(self, error: StorageError) -> None:
        self.failure = str(error)
        self.log.error("stopped", why=self.failure)
        self.stop()

    # ---- the state machine

    def _apply(self, entry: Entry) -> None:
        said = self.state.apply(entry)
        waiting = self.proposals.pop(entry.index, None)
        if waiting is not None:
            term, tell = waiting
            tell(said if term == entry.term else "another leader came: ask whether it was done")
        for key in [k for k, index in self.on_its_way.items() if index <= entry.index]:
            del self.on_its_way[key]
        self.granting.applied(entry.index)
        if self.node.is_leader:
            self.asking.proposals.go_on()

    def _restore(self, data: bytes) -> None:
        self.state = State.restore(data)
        for _, tell in self.proposals.values():
            tell("another leader came: ask whether it was done")
        self.proposals.clear()

    def propose(self, data: bytes, tell: Callable[[str], None], session: str = "", serial: int = 0) -> bool:
        index = self.node.raft.propose(data, session, serial)
        if index is None:
            return False
        self.proposals[index] = (self.node.raft.current_term, tell)
        self.node.process_ready()
        return True

    def own(self, *parts: Any) -> None:
        """A command of the leader's own, once at a time."""
        key = tuple(str(p) for p in parts)
        if key in self.on_its_way:
            return
        index = self.node.raft.propose(command(*parts))
        if index is not None:
            self.on_its_way[key] = index
            self.node.process_ready()

    def _look(self) -> None:
        """Every tick."""
        if not self.node.up:
            return
        self.timer = self.loop.call_later(self.config.group.tick / 1000.0, self._look)
        if self.node.is_leader:
            self.granting.look()
        else:
            self.granting.lost()
            self._lost_lead()

    def _lost_lead(self) -> None:
        for _, tell in self.proposals.values():
            tell("this instance leads no more: ask whether it was done")
        self.proposals.clear()
        self.asking.proposals.lost()

    # ---- reads

    @property
    def leases(self) -> Leases | None:
        """None where this instance does not lead."""
        return self.granting.leases

    def read(self, call: Callable[[bool], None]) -> None:
        """Calls back when a round of the majority that begins from now on is over; False where there was none."""
        context = next(self.contexts)
        self.reads[context] = call
        if not self.node.raft.read_index(context):
            self.reads.pop(context)(False)
        self.node.process_ready()

    def _read_done(self, context: int, sound: bool) -> None:
        call = self.reads.pop(context, None)
        if call is not None:
            call(sound)

    def leader_address(self) -> str:
        leader = self.node.raft.leader_id
        block = self.config.member.get(leader or "")
        return block.listen if block is not None and leader != self.name else ""

    # ---- what operators ask needs

    def after_read(self, tell: Callable[[bool, str], None], look: Callable[[], tuple[bool, str]]) -> None:
        """Answers with what is agreed now, not with what this instance believed when it led."""
        self.read(lambda sound: tell(*look()) if sound else tell(False, "this instance leads no more"))
