"""A leader's service to gateways on sockets, as `renewals` and `leases` decide: leases, rounds, commands, events."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from pebblehinge.net import Peer
from pebblehinge.raft.node import Node
from pebblehinge.replicated_config import session_roles
from pebblehinge.replicated_config.commands import AcknowledgeMany, AnyCommand, RejectVersion, encode_command
from pebblehinge.replicated_config.leases import Leases
from pebblehinge.replicated_config.renewals import CurrentVersions, Renewal, Renewals
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.settings import Config
from pebblehinge.wire import Kind

MAX_GRANTS_PER_ITERATION = 64  # of the event loop: sending a new text to a thousand gateways must not block it


class Member(Protocol):
    """The member that grants leases."""

    loop: asyncio.AbstractEventLoop
    name: str
    config: Config
    clock: Callable[[], float]
    node: Node
    state: ConfigState

    @property
    def connections(self) -> Iterable[Peer]:
        """Returns all open connections."""

    @property
    def commands_in_flight(self) -> Iterable[AnyCommand]:
        """Returns the leader's own commands that are not applied yet."""

    def clear_commands_in_flight(self) -> None:
        """Drops the leader's own commands, which are of an earlier term."""

    def confirm_leadership(self, callback: Callable[[bool], None]) -> None:
        """Calls back after a quorum round that begins from now on, with False if there was none."""

    def propose_once(self, command: AnyCommand) -> None:
        """Proposes a command of the leader's own, unless the same one is in flight."""

    def leader_address(self) -> str:
        """Returns the address of a leader other than this member, "" if none is known."""


@dataclass(frozen=True, slots=True)
class RenewalRequest:
    """The values of a RENEW frame, in its order. The gateway can't use `rejected_version`; 0 for none."""

    token: int
    gateway: str
    acknowledged_version: int
    known_version: int
    rejected_version: int
    reason: str


class LeaseGranting:
    """Answers renewals while this member leads; `leases` is None while it does not. No state outlives its term."""

    def __init__(self, member: Member) -> None:
        """Starts as a follower."""
        self.member = member
        self.group = member.config.group
        self.leases: Leases | None = None
        self.term = 0
        self.renewals = Renewals(self.group.tick)
        self.answer_queue: deque[Renewal] = deque()  # `renewals` counts these no longer
        self.answer_scheduled = False

    @property
    def is_leading(self) -> bool:
        """Returns whether this member leads in the term of `leases` and `renewals`."""
        node = self.member.node
        return self.leases is not None and node.is_leader and self.term == node.raft.current_term

    # ---- ticks

    def tick(self) -> None:
        """Handles a leader's tick: proposes activations and acknowledgements, begins a round, notifies gateways."""
        raft = self.member.node.raft
        now = self.member.clock()
        if not self.is_leading:
            self.lose_leadership()
            self.leases = Leases(self.group.lease, self.group.drift, self.group.floor, now)
            self.term = raft.current_term
            self.member.clear_commands_in_flight()
        if raft.last_applied >= raft.term_start_index:  # it has applied all entries of earlier terms
            self._activate()
            self._propose_acknowledgements(now)
        self._begin_round()
        self._notify()

    def lose_leadership(self) -> None:
        """Redirects all waiting gateways: this member no longer leads, or leads in another term."""
        if self.leases is None:
            return  # a follower's tick: it has accepted no renewals
        renewals, self.renewals = self.renewals, Renewals(self.group.tick)
        self.leases = None
        waiting = [*self.answer_queue, *renewals.pending_renewals()]
        self.answer_queue.clear()
        for renewal in waiting:
            self._redirect(renewal.connection, renewal.token, self.member.leader_address())

    def _activate(self) -> None:
        # With acknowledgements in flight, the activation's revision would be stale by the time it is applied.
        if self.leases is not None and not self.renewals.proposed_acknowledgements:
            command = self.leases.next_activation(self.member.clock(), self.member.state)
            if command is not None:
                self.member.propose_once(command)

    def _propose_acknowledgements(self, now: float) -> None:
        versions = self.renewals.acknowledgements_due(now)
        if not versions:
            return
        index = self.member.node.raft.propose(encode_command(AcknowledgeMany(versions)))
        if index is not None:
            self.renewals.mark_proposed(now, index)
            self.member.node.process_ready()

    def _notify(self) -> None:
        state = self.member.state
        now = self.member.clock()
        versions = CurrentVersions(state.active, state.pending)
        if self.renewals.notification_due(now, versions):
            self.renewals.mark_notified(now, versions)
            for connection in self.member.connections:
                if connection.session.peer_role == session_roles.GATEWAY:
                    connection.send(Kind.NEWS, state.revision)

    # ---- events

    def on_renewal(self, connection: Peer, request: RenewalRequest) -> None:
        """Accepts a gateway's renewal and acknowledgement, or redirects the gateway."""
        member, state = self.member, self.member.state
        if not self.is_leading:
            self._redirect(connection, request.token, member.leader_address())
            return
        if request.rejected_version and request.rejected_version == state.pending:
            self._reject_pending(request)
        record = state.gateways.get(request.gateway)
        is_new = record is None or record.version < request.acknowledged_version
        is_known = request.acknowledged_version != 0 and state.text(request.acknowledged_version) is not None
        renewal = Renewal(
            connection, request.token, request.gateway, request.acknowledged_version, request.known_version
        )
        if not self.renewals.add(renewal, is_new and is_known):
            self._redirect(connection, request.token, member.config.member[member.name].listen)  # retry here later
            return
        self._begin_round()

    def on_applied(self, index: int) -> None:
        """Answers the renewals whose acknowledgements are applied now that the state machine has applied an index."""
        if self.is_leading:
            answerable = self.renewals.mark_applied(index)
            if answerable:
                self._activate()
                self._answer(answerable)
            self._notify()

    def _reject_pending(self, request: RenewalRequest) -> None:
        """Proposes to reject the pending version, unless that is in flight: the first gateway's reason counts."""
        for command in self.member.commands_in_flight:
            if isinstance(command, RejectVersion) and command.version == request.rejected_version:
                return
        self.member.propose_once(RejectVersion(request.rejected_version, f"{request.gateway}: {request.reason}"))

    def _begin_round(self) -> None:
        """Begins a quorum round if one is due.

        Only a round shows that no other leader has meanwhile computed an activation without these gateways.
        """
        renewals = self.renewals
        now = self.member.clock()
        if renewals.round_due(now):
            number = renewals.begin_round(now)
            self.member.confirm_leadership(lambda confirmed: self._on_round_over(renewals, number, confirmed))

    def _on_round_over(self, renewals: Renewals, number: int, confirmed: bool) -> None:
        if renewals is not self.renewals:
            return  # of an earlier term, whose gateways were redirected
        if confirmed:
            self._answer(renewals.end_round(number))
        else:
            self.lose_leadership()

    # ---- answers

    def _answer(self, renewals: list[Renewal]) -> None:
        self.answer_queue += renewals
        if not self.answer_scheduled and self.answer_queue:
            self._answer_batch()

    def _answer_batch(self) -> None:
        self.answer_scheduled = False
        for _ in range(min(MAX_GRANTS_PER_ITERATION, len(self.answer_queue))):
            self._grant(self.answer_queue.popleft())
        if self.answer_queue:
            self.answer_scheduled = True
            self.member.loop.call_soon(self._answer_batch)

    def _grant(self, renewal: Renewal) -> None:
        """Sends the current state, with a lease if one may be granted, and with the texts that the gateway lacks."""
        state = self.member.state
        lease_ms = 0.0
        if self.leases is not None and self.leases.may_grant(state, renewal.gateway, renewal.acknowledged_version):
            self.leases.record_grant(self.member.clock(), renewal.gateway)
            lease_ms = self.group.lease
        active_text, pending_text = (
            (state.text(number) or "") if number > renewal.known_version else ""
            for number in (state.active, state.pending)
        )
        renewal.connection.send(
            Kind.GRANT,
            renewal.token,
            lease_ms,
            state.active,
            active_text,
            state.pending,
            pending_text,
            state.reservations,
            "",
        )

    @staticmethod
    def _redirect(connection: Peer, token: int, leader: str) -> None:
        """Sends a GRANT without a version that names the leader's address, "" if none is known."""
        connection.send(Kind.GRANT, token, 0.0, 0, "", 0, "", {}, leader)
