"""A queue of versions that operators propose while another one is pending: first in, first out, for a limited time."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pebblehinge.replicated_config.commands import CommandResult, ProposeVersion, encode_command
from pebblehinge.replicated_config.errors import (
    LEADERSHIP_LOST,
    NoProposalsError,
    OutcomeUnknownError,
    ProposalQueueFullError,
    VersionPendingError,
)
from pebblehinge.replicated_config.replies import OperatorReply, SendReply
from pebblehinge.replicated_config.state_machine import ConfigState

MAX_QUEUED_PROPOSALS = 16  # each holds its text
MAX_QUEUE_TIME_MS = 2_500.0  # less than the time for which an operator's command waits for its reply


class Member(Protocol):
    """The member that accepts proposals, which is the leader."""

    loop: asyncio.AbstractEventLoop
    state: ConfigState

    def propose(
        self, data: bytes, on_result: Callable[[CommandResult], None], session: str = "", serial: int = 0
    ) -> bool:
        """Appends a command to the log; returns False if it can't now."""


@dataclass(frozen=True, slots=True)
class ProposalId:
    """Identifies a proposal by session and serial, so that a retry is recognized; one without a session by a count."""

    session: str
    serial: int


@dataclass(slots=True)
class QueuedProposal:
    """A proposal that was not appended to the log yet."""

    data: bytes
    reply: SendReply
    session: str
    serial: int
    timer: asyncio.TimerHandle


class ProposalQueue:
    """Proposes one version at a time, when none is pending.

    The base version of a proposal is compared with the newest one when the proposal is applied, not in the queue.
    """

    def __init__(self, member: Member) -> None:
        """Creates an empty queue."""
        self.member = member
        self.queue: OrderedDict[ProposalId, QueuedProposal] = OrderedDict()
        self.proposal_count = 0  # identifies proposals without a session
        self.proposal_in_flight = False

    def add(self, command: ProposeVersion, session: str, serial: int, reply: SendReply) -> None:
        """Adds a proposal. A retry keeps its place in the queue, and only the newer request is answered."""
        self.proposal_count += 1
        key = ProposalId(session, serial) if session else ProposalId("", self.proposal_count)
        queued_proposal = self.queue.get(key)
        if queued_proposal is not None:
            queued_proposal.reply = reply
            return
        if len(self.queue) >= MAX_QUEUED_PROPOSALS:
            reply(OperatorReply.failure(ProposalQueueFullError(len(self.queue), MAX_QUEUED_PROPOSALS)))
            return
        timer = self.member.loop.call_later(MAX_QUEUE_TIME_MS / 1000.0, self._on_timeout, key)
        self.queue[key] = QueuedProposal(encode_command(command), reply, session, serial, timer)
        self.propose_next()

    def propose_next(self) -> None:
        """Proposes the next version if none is pending; called after each applied entry."""
        while self.queue and not self.proposal_in_flight and not self.member.state.pending:
            _, proposal = self.queue.popitem(last=False)
            proposal.timer.cancel()
            self.proposal_in_flight = True

            def on_result(result: CommandResult, reply: SendReply = proposal.reply) -> None:
                self.proposal_in_flight = False
                reply(OperatorReply.from_error(result.error, str(self.member.state.newest)))

            if not self.member.propose(proposal.data, on_result, proposal.session, proposal.serial):
                self.proposal_in_flight = False
                proposal.reply(OperatorReply.failure(NoProposalsError()))

    def lose_leadership(self) -> None:
        """Fails all queued proposals, since this member no longer leads."""
        queue, self.queue = self.queue, OrderedDict()
        for proposal in queue.values():
            proposal.timer.cancel()
            proposal.reply(OperatorReply.failure(OutcomeUnknownError(LEADERSHIP_LOST)))

    def _on_timeout(self, key: ProposalId) -> None:
        proposal = self.queue.pop(key, None)
        if proposal is not None:
            proposal.reply(OperatorReply.failure(VersionPendingError(self.member.state.pending)))
