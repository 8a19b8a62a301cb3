"""Operators' requests to a member of the group: proposals, versions, members, status."""

from __future__ import annotations

import asyncio
import difflib
from collections.abc import Callable
from typing import Protocol

from pebblehinge.net import Peer
from pebblehinge.raft.node import Node
from pebblehinge.replicated_config.commands import CommandResult, ForgetGateway, ProposeVersion, encode_command
from pebblehinge.replicated_config.errors import NoProposalsError, ReplicatedConfigError, RequestError
from pebblehinge.replicated_config.leases import Leases
from pebblehinge.replicated_config.membership_requests import MembershipRequests, RequestValues
from pebblehinge.replicated_config.proposal_queue import ProposalQueue
from pebblehinge.replicated_config.replies import OperatorReply, SendReply
from pebblehinge.replicated_config.size_limits import check_text_size
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.replicated_config.status import status_json, status_text
from pebblehinge.replicated_config.version_cache import parse_version
from pebblehinge.settings import Config, SettingsError
from pebblehinge.wire import Kind

MAX_PENDING_REQUESTS = 64  # operators' requests, and the one read that all renewals share


class Member(Protocol):
    """The member that handles the requests."""

    loop: asyncio.AbstractEventLoop
    name: str
    config: Config
    clock: Callable[[], float]
    node: Node
    state: ConfigState

    @property
    def leases(self) -> Leases | None:
        """Returns the leases, None if this member does not lead."""

    @property
    def pending_requests(self) -> int:
        """Returns the number of pending proposals and reads."""

    def propose(
        self, data: bytes, on_result: Callable[[CommandResult], None], session: str = "", serial: int = 0
    ) -> bool:
        """Appends a command to the log; returns False if it can't now."""

    def reply_after_read(self, reply: SendReply, query: Callable[[], str]) -> None:
        """Replies with the result of a query on the state that is agreed on now."""

    def leader_address(self) -> str:
        """Returns the address of a leader other than this member, "" if none is known."""


class OperatorRequests:
    """Answers each request once. A member that does not lead answers only status requests, and names the leader."""

    def __init__(self, member: Member) -> None:
        """Creates the handlers of one member."""
        self.member = member
        self.proposal_queue = ProposalQueue(member)
        membership = MembershipRequests(member)
        self.handlers: dict[str, Callable[[RequestValues, SendReply], None]] = {
            "propose": self._propose,
            "rollback": self._roll_back,
            "forget": self._forget,
            "show": self._show,
            "diff": self._diff,
            "history": self._history,
            "members": membership.members,
            "transfer": membership.transfer,
        }

    def on_request(self, connection: Peer, token: int, verb: str, values: RequestValues) -> None:
        """Handles an ASK frame."""

        def reply(result: OperatorReply) -> None:
            connection.send(Kind.TOLD, token, result.ok, result.text, "")

        if verb == "status":
            reply(OperatorReply.success(status_json(self.member) if values.get("json") else status_text(self.member)))
            return
        if not self.member.node.is_leader:
            leader = self.member.leader_address()
            connection.send(Kind.TOLD, token, False, "not the leader" if leader else "no leader is known", leader)
            return
        try:
            self._dispatch(verb, values, reply)
        except ReplicatedConfigError as error:
            reply(OperatorReply.failure(error))
        except (KeyError, TypeError, ValueError) as error:
            reply(OperatorReply(False, f"{verb}: {error}"))

    def _dispatch(self, verb: str, values: RequestValues, reply: SendReply) -> None:
        if self.member.pending_requests > MAX_PENDING_REQUESTS:
            raise RequestError("too much is asked at once")
        handler = self.handlers.get(verb)
        if handler is None:
            raise RequestError(f"{verb!r} is not known")
        handler(values, reply)

    # ---- proposals

    def _propose(self, values: RequestValues, reply: SendReply) -> None:
        text = str(values["text"])
        check_text_size(text)
        try:
            parse_version(text, "proposal")
        except SettingsError as error:
            raise RequestError(str(error)) from None
        command = ProposeVersion(int(values["base"]), text, str(values.get("author", "")), str(values.get("note", "")))
        self.proposal_queue.add(command, str(values.get("session", "")), int(values.get("serial", 0)), reply)

    def _roll_back(self, values: RequestValues, reply: SendReply) -> None:
        """Proposes an older version's text as the next version."""
        text = self.member.state.text(int(values["version"]))
        if text is None:
            raise RequestError(f"version {values['version']} is not kept")
        note = f"back to version {values['version']}"
        self._propose({**values, "text": text, "base": self.member.state.newest, "note": note}, reply)

    def _forget(self, values: RequestValues, reply: SendReply) -> None:
        def on_result(result: CommandResult) -> None:
            reply(OperatorReply.from_error(result.error, "forgotten"))

        if not self.member.propose(encode_command(ForgetGateway(str(values["head"]))), on_result):
            raise NoProposalsError

    # ---- versions

    def _show(self, values: RequestValues, reply: SendReply) -> None:
        def query() -> str:
            number = int(values.get("version", 0)) or self.member.state.active
            text = self.member.state.text(number)
            if text is None:
                raise RequestError(f"version {number} is not kept")
            return text

        self.member.reply_after_read(reply, query)

    def _diff(self, values: RequestValues, reply: SendReply) -> None:
        def query() -> str:
            old = self.member.state.text(int(values["a"]))
            new = self.member.state.text(int(values["b"]))
            if old is None or new is None:
                raise RequestError("one of the versions is not kept")
            names = (f"version {values['a']}", f"version {values['b']}")
            return "\n".join(difflib.unified_diff(old.splitlines(), new.splitlines(), *names, lineterm=""))

        self.member.reply_after_read(reply, query)

    def _history(self, values: RequestValues, reply: SendReply) -> None:
        def query() -> str:
            state = self.member.state
            lines = []
            for number, version in state.versions.items():
                version_state = "active" if number == state.active else "pending" if number == state.pending else ""
                version_state = f"refused: {version.rejection}" if version.rejection else version_state
                lines.append(f"{number}  {version.author or '-'}  {version.note or '-'}  {version_state}".rstrip())
            return "\n".join(lines) or "no version yet"

        self.member.reply_after_read(reply, query)
