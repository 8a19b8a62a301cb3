"""A leader's side of heads on sockets: leases, rounds, commands and news as `renewals` and `leases` decide them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from pebblehinge.net import Peer
from pebblehinge.raft.node import Node
from pebblehinge.replicated_config.leases import Leases
from pebblehinge.replicated_config.renewals import Renewal, Renewals
from pebblehinge.replicated_config.state_machine import State, command
from pebblehinge.settings import Config
from pebblehinge.wire import Kind

AT_ONCE = 64  # answers in one turn of the loop: a new text for a thousand heads must not hold it


class Member(Protocol):
    """The instance."""

    loop: asyncio.AbstractEventLoop
    name: str
    config: Config
    clock: Callable[[], float]
    node: Node
    state: State
    conns: dict[Any, None]
    on_its_way: dict[tuple[Any, ...], int]

    def read(self, call: Callable[[bool], None]) -> None: ...
    def own(self, *parts: Any) -> None: ...
    def leader_address(self) -> str: ...


class Granting:
    """`leases` is None where this instance does not lead. Nothing of a term outlives it."""

    def __init__(self, member: Member) -> None:
        self.member, self.group = member, member.config.group
        self.leases: Leases | None = None
        self.term = 0
        self.renewals = Renewals(self.group.tick)
        self.due: deque[Renewal] = deque()  # to be answered; each was counted by `renewals` until now
        self.answering = False

    @property
    def leads(self) -> bool:
        """Whether this instance leads in the term that `leases` and `renewals` are of."""
        node = self.member.node
        return self.leases is not None and node.is_leader and self.term == node.raft.current_term

    # ---- time

    def look(self) -> None:
        """Every tick of a leader: what came meanwhile, and whether a version may be activated."""
        raft, now = self.member.node.raft, self.member.clock()
        if not self.leads:
            self.lost()
            self.leases = Leases(self.group.lease, self.group.drift, self.group.floor, now)
            self.term = raft.current_term
            self.member.on_its_way.clear()
        if raft.last_applied >= raft.term_start_index:  # it knows all that was agreed before it
            self._activate()
            fresh = self.renewals.commit_due(now)
            if fresh and (index := raft.propose(command("taken_up", fresh))) is not None:
                self.renewals.proposed(now, index)
                self.member.node.process_ready()
        self._ask_majority()
        self._tell()

    def lost(self) -> None:
        """This instance leads no more, or anew: whoever waits is sent on."""
        if self.leases is None:
            return  # nothing was taken in: the followers' look at each tick
        renewals, self.renewals = self.renewals, Renewals(self.group.tick)
        self.leases = None
        waiting = [*self.due, *renewals.shown.values(), *renewals.asked.values(), *renewals.waiting.values()]
        self.due.clear()
        for renewal in waiting:
            self._send_on(renewal.conn, renewal.token, self.member.leader_address())

    def _activate(self) -> None:
        # Beside acknowledgements on their way it would be reckoned from a state that has moved on.
        if self.leases is not None and not self.renewals.on_way:
            wanted = self.leases.wanted(self.member.clock(), self.member.state)
            if wanted is not None:
                self.member.own(*wanted)

    def _tell(self) -> None:
        state, now = self.member.state, self.member.clock()
        if self.renewals.news_due(now, state.active, state.pending):
            self.renewals.news_told(now, state.active, state.pending)
            for conn in self.member.conns:
                if conn.session.peer_role == "head":
                    conn.send(Kind.NEWS, state.changed)

    # ---- events

    def renewed(
        self, conn: Peer, token: int, head: str, acknowledges: int, known: int, refused: int, reason: str
    ) -> None:
        """A head asks for its lease and tells what it has taken up."""
        member, state = self.member, self.member.state
        if not self.leads:
            self._send_on(conn, token, member.leader_address())
            return
        if refused and refused == state.pending:
            if not any(key[:2] == ("refuse", str(refused)) for key in member.on_its_way):
                member.own("refuse", refused, f"{head}: {reason}")
        row = state.heads.get(head)
        fresh = (row is None or row.version < acknowledges) and state.text(acknowledges) is not None
        if not self.renewals.came(Renewal(conn, token, head, acknowledges, known), bool(acknowledges and fresh)):
            self._send_on(conn, token, member.config.member[member.name].listen)  # here, and later
            return
        self._ask_majority()

    def applied(self, index: int) -> None:
        """The state machine has gone on to an index."""
        if self.leads:
            settled = self.renewals.applied(index)
            if settled:
                self._activate()
                self._answer(settled)
            self._tell()

    def _ask_majority(self) -> None:
        """Only a round of the majority shows that no other leader has been reckoning without these heads meanwhile."""
        renewals, now = self.renewals, self.member.clock()
        if renewals.round_due(now):
            number = renewals.begin_round(now)
            self.member.read(lambda sound: self._answered(renewals, number, sound))

    def _answered(self, renewals: Renewals, number: int, sound: bool) -> None:
        if renewals is not self.renewals:
            return  # of a term that is over; whoever waited was sent on
        if sound:
            self._answer(renewals.round_over(number))
        else:
            self.lost()

    # ---- answers

    def _answer(self, renewals: list[Renewal]) -> None:
        self.due += renewals
        if not self.answering and self.due:
            self._some()

    def _some(self) -> None:
        self.answering = False
        for _ in range(min(AT_ONCE, len(self.due))):
            self._grant(self.due.popleft())
        if self.due:
            self.answering = True
            self.member.loop.call_soon(self._some)

    def _grant(self, renewal: Renewal) -> None:
        state, lease = self.member.state, 0.0
        if self.leases is not None and self.leases.may_grant(state, renewal.head, renewal.acknowledges):
            self.leases.granted(self.member.clock(), renewal.head)
            lease = self.group.lease
        active, pending = (
            (state.text(number) or "") if number > renewal.known else "" for number in (state.active, state.pending)
        )
        renewal.conn.send(
            Kind.GRANT, renewal.token, lease, state.active, active, state.pending, pending, state.aside, ""
        )

    @staticmethod
    def _send_on(conn: Peer, token: int, leader: str) -> None:
        conn.send(Kind.GRANT, token, 0.0, 0, "", 0, "", {}, leader)
