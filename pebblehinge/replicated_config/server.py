"""A member of the group on sockets: it serves other members, gateways that renew their leases, and operators."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable

from pebblehinge.net import parse_address
from pebblehinge.raft import Entry, Raft, initial_snapshot
from pebblehinge.raft.node import Node, NodeCallbacks
from pebblehinge.raft.storage import Storage
from pebblehinge.raft.transport import LinkSettings, PeerLink
from pebblehinge.replicated_config.commands import AnyCommand, CommandResult, encode_command
from pebblehinge.replicated_config.config_publisher import Logger
from pebblehinge.replicated_config.errors import (
    LEADER_CHANGED,
    LEADERSHIP_LOST,
    LeadershipLostError,
    OutcomeUnknownError,
    ReplicatedConfigError,
    RequestError,
)
from pebblehinge.replicated_config.in_flight import CommandInFlight, PendingProposal
from pebblehinge.replicated_config.lease_granting import LeaseGranting
from pebblehinge.replicated_config.leases import Leases
from pebblehinge.replicated_config.member_connection import MemberConnection
from pebblehinge.replicated_config.operator_requests import OperatorRequests
from pebblehinge.replicated_config.replies import OperatorReply, SendReply
from pebblehinge.replicated_config.size_limits import with_group_frame_limit
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.settings import Config
from pebblehinge.store.disk import Disk
from pebblehinge.store.errors import StorageError

BACKLOG = 2048  # connections that wait to be accepted: all gateways reconnect after the loss of a leader


class MemberServer:
    """One member: its Raft node, its state machine and its connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        config: Config,
        name: str,
        disk: Disk,
        log: Logger,
        seed: int = 0,
    ) -> None:
        """Creates a member from what its disk holds.

        Args:
            loop: Runs timers and connections.
            clock: Returns the time in milliseconds.
            config: Names the members and the group's intervals.
            name: The name of this member.
            disk: Its folder; raises StorageError for one that can't be read.
            log: Logs why the member stops.
            seed: Seeds the election timeouts, together with the name.
        """
        self.loop = loop
        self.clock = clock
        self.config = with_group_frame_limit(config)
        self.name = name
        self.log = log
        storage = Storage(disk)
        snapshot = storage.snapshot or initial_snapshot(list(config.member))
        self.state = ConfigState.restore(snapshot.data)
        group = config.group
        rng = random.Random(f"{seed}/{name}")
        raft = Raft(name, snapshot, storage.entries, storage.hard_state, rng, group.election, group.heartbeat)
        callbacks = NodeCallbacks(
            self._apply, self._restore, lambda: self.state.dump(), self._on_read_done, self._on_storage_failed
        )
        self.node = Node(loop, raft, storage, self._peer_links(), callbacks, group.tick, group.compact)
        self.connections: dict[MemberConnection, None] = {}  # in the order in which they were opened
        self.pending_proposals: dict[int, PendingProposal] = {}  # by index
        self.pending_reads: dict[int, Callable[[bool], None]] = {}  # by context
        self.read_contexts = itertools.count(1)
        self.own_commands: dict[bytes, CommandInFlight] = {}  # the leader's own commands, by their stored form
        self.operator_requests = OperatorRequests(self)
        self.lease_granting = LeaseGranting(self)
        self.failure = ""  # the storage error for which the member stopped
        self.stopped: asyncio.Future[None] = loop.create_future()
        self.server: asyncio.Server | None = None
        self.tick_timer: asyncio.TimerHandle | None = None

    def _peer_links(self) -> dict[str, PeerLink]:
        limits = self.config.limits
        greeting = f"{self.name}@{self.config.group.id}"
        settings = LinkSettings(greeting, limits.frame, limits.stall, limits.keepalive)
        return {
            other: PeerLink(self.loop, block.listen, settings)
            for other, block in self.config.member.items()
            if other != self.name
        }

    async def start(self) -> None:
        """Starts to listen, and to take part in the group.

        Raises:
            OSError: If the member can't listen on its address.
        """
        host, port = parse_address(self.config.member[self.name].listen)
        self.server = await self.loop.create_server(lambda: MemberConnection(self), host, port, backlog=BACKLOG)
        self.node.start()
        self._tick()

    def stop(self, reason: str = "") -> None:
        """Stops for good. The reason, the name of a signal, is only passed by signal handlers and is not used."""
        self.node.stop()
        if self.server is not None:
            self.server.close()
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        for connection in list(self.connections):
            connection.close()
        if not self.stopped.done():
            self.stopped.set_result(None)

    def _on_storage_failed(self, error: StorageError) -> None:
        self.failure = str(error)
        self.log.error("stopped", why=self.failure)
        self.stop()

    def _tick(self) -> None:
        if not self.node.is_running:
            return
        self.tick_timer = self.loop.call_later(self.config.group.tick / 1000.0, self._tick)
        if self.node.is_leader:
            self.lease_granting.tick()
        else:
            self.lease_granting.lose_leadership()
            self._fail_proposals(OutcomeUnknownError(LEADERSHIP_LOST))
            self.operator_requests.proposal_queue.lose_leadership()

    # ---- the state machine

    def _apply(self, entry: Entry) -> None:
        result = self.state.apply(entry)
        proposal = self.pending_proposals.pop(entry.index, None)
        if proposal is not None:
            is_same_term = proposal.term == entry.term
            proposal.on_result(result if is_same_term else CommandResult(OutcomeUnknownError(LEADER_CHANGED)))
        for data in [data for data, command in self.own_commands.items() if command.index <= entry.index]:
            del self.own_commands[data]
        self.lease_granting.on_applied(entry.index)
        if self.node.is_leader:
            self.operator_requests.proposal_queue.propose_next()

    def _restore(self, data: bytes) -> None:
        self.state = ConfigState.restore(data)
        self._fail_proposals(OutcomeUnknownError(LEADER_CHANGED))

    def propose(
        self, data: bytes, on_result: Callable[[CommandResult], None], session: str = "", serial: int = 0
    ) -> bool:
        """Appends a command to the log, and calls back with its result, or with an error if that can't be known.

        Returns False if this member does not lead, transfers leadership, or has too many uncommitted entries.
        """
        index = self.node.raft.propose(data, session, serial)
        if index is None:
            return False
        self.pending_proposals[index] = PendingProposal(self.node.raft.current_term, on_result)
        self.node.process_ready()
        return True

    def _fail_proposals(self, error: ReplicatedConfigError) -> None:
        for proposal in self.pending_proposals.values():
            proposal.on_result(CommandResult(error))
        self.pending_proposals.clear()

    def propose_once(self, command: AnyCommand) -> None:
        """Proposes a command of the leader's own, unless the same one is in flight."""
        data = encode_command(command)
        if data in self.own_commands:
            return
        index = self.node.raft.propose(data)
        if index is not None:
            self.own_commands[data] = CommandInFlight(command, index)
            self.node.process_ready()

    @property
    def commands_in_flight(self) -> list[AnyCommand]:
        """Returns the leader's own commands that are not applied yet."""
        return [in_flight.command for in_flight in self.own_commands.values()]

    def clear_commands_in_flight(self) -> None:
        """Drops the leader's own commands, which are of an earlier term."""
        self.own_commands.clear()

    # ---- reads

    @property
    def leases(self) -> Leases | None:
        """Returns the leases, None if this member does not lead."""
        return self.lease_granting.leases

    @property
    def pending_requests(self) -> int:
        """Returns the number of pending proposals and reads."""
        return len(self.pending_reads) + len(self.pending_proposals)

    def confirm_leadership(self, callback: Callable[[bool], None]) -> None:
        """Calls back after a quorum round that begins from now on, with False if there was none."""
        context = next(self.read_contexts)
        self.pending_reads[context] = callback
        if not self.node.raft.read_index(context):
            self.pending_reads.pop(context)(False)
        self.node.process_ready()

    def _on_read_done(self, context: int, confirmed: bool) -> None:
        callback = self.pending_reads.pop(context, None)
        if callback is not None:
            callback(confirmed)

    def reply_after_read(self, reply: SendReply, query: Callable[[], str]) -> None:
        """Replies with a query's result on the state that is agreed on now, not on that of a deposed leader.

        The query may raise RequestError.
        """

        def callback(confirmed: bool) -> None:
            if not confirmed:
                reply(OperatorReply.failure(LeadershipLostError()))
                return
            try:
                answer = OperatorReply.success(query())
            except RequestError as error:
                answer = OperatorReply.failure(error)
            reply(answer)

        self.confirm_leadership(callback)

    def leader_address(self) -> str:
        """Returns the address of a leader other than this member, "" if none is known."""
        leader = self.node.raft.leader_id
        block = self.config.member.get(leader or "")
        return block.listen if block is not None and leader != self.name else ""
