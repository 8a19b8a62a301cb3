"""What operators ask about the members of the group: who votes, another one, another leader."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from pebblehinge.raft import Membership, RaftError
from pebblehinge.raft.node import Node
from pebblehinge.replicated_config.errors import RequestError
from pebblehinge.replicated_config.replies import OperatorReply, Reply
from pebblehinge.settings import Config

Values = Mapping[str, str | int]  # of an ASK frame


class Member(Protocol):
    """The member that is asked, the leader."""

    config: Config
    node: Node


class MembershipRequests:
    """Changes take one member at a time: a new one learns first, and votes when it is added again."""

    def __init__(self, member: Member) -> None:
        """Requests to one member."""
        self.member = member

    def members(self, values: Values, reply: Reply) -> None:
        """Lists members, adds or removes one."""
        current = self.member.node.raft.membership
        action = str(values.get("do", "list"))
        if action == "list":
            learners = " ".join(current.learners) or "none"
            reply(OperatorReply.done(f"voters {' '.join(current.voters)}\nlearners {learners}"))
            return
        changed = self._changed(current, action, str(values.get("name", "")))
        if changed == current:
            reply(OperatorReply.done("it is so already"))
            return
        try:
            self.member.node.raft.change_membership(changed)
        except RaftError as error:
            raise RequestError(str(error)) from None
        self.member.node.process_ready()
        learners = " ".join(changed.learners) or "none"
        reply(OperatorReply.done(f"voters {' '.join(changed.voters)}; learners {learners}"))

    def transfer(self, values: Values, reply: Reply) -> None:
        """Hands leadership over to another member."""
        try:
            self.member.node.raft.transfer_leadership(str(values["to"]))
        except RaftError as error:
            raise RequestError(str(error)) from None
        self.member.node.process_ready()
        reply(OperatorReply.done("under way"))

    def _changed(self, current: Membership, action: str, name: str) -> Membership:
        if action == "add":
            return self._with(current, name)
        if action == "remove":
            return Membership(_without(current.voters, name), _without(current.learners, name))
        raise RequestError(f"members {action!r}: expected list, add or remove")

    def _with(self, current: Membership, name: str) -> Membership:
        configured = self.member.config.member
        if name not in configured:
            raise RequestError(f"{name!r} has no member block here: expected one of {', '.join(configured)}")
        if name in current.learners:
            return Membership(tuple(sorted({*current.voters, name})), _without(current.learners, name))
        return Membership(current.voters, tuple(sorted({*current.learners, name})))


def _without(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(other for other in names if other != name)
