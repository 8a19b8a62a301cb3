"""Operators' requests about the group's members: to list, add or remove them, and to transfer leadership."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from pebblehinge.raft import Membership, RaftError
from pebblehinge.raft.node import Node
from pebblehinge.replicated_config.errors import RequestError
from pebblehinge.replicated_config.replies import OperatorReply, SendReply
from pebblehinge.settings import Config

RequestValues = Mapping[str, str | int]  # the values of an ASK frame


class Member(Protocol):
    """The member that handles the request, which is the leader."""

    config: Config
    node: Node


class MembershipRequests:
    """Changes one member at a time: a new one starts as a learner, and becomes a voter when it is added again."""

    def __init__(self, member: Member) -> None:
        """Creates the handlers of one member."""
        self.member = member

    def members(self, values: RequestValues, reply: SendReply) -> None:
        """Lists the members, or adds or removes one."""
        current = self.member.node.raft.membership
        action = str(values.get("do", "list"))
        if action == "list":
            learners = " ".join(current.learners) or "none"
            reply(OperatorReply.success(f"voters {' '.join(current.voters)}\nlearners {learners}"))
            return
        new_membership = self._changed_membership(current, action, str(values.get("name", "")))
        if new_membership == current:
            reply(OperatorReply.success("the membership is already as requested"))
            return
        try:
            self.member.node.raft.change_membership(new_membership)
        except RaftError as error:
            raise RequestError(str(error)) from None
        self.member.node.process_ready()
        learners = " ".join(new_membership.learners) or "none"
        reply(OperatorReply.success(f"voters {' '.join(new_membership.voters)}; learners {learners}"))

    def transfer(self, values: RequestValues, reply: SendReply) -> None:
        """Starts a transfer of leadership to another member."""
        try:
            self.member.node.raft.transfer_leadership(str(values["to"]))
        except RaftError as error:
            raise RequestError(str(error)) from None
        self.member.node.process_ready()
        reply(OperatorReply.success("the transfer has started"))

    def _changed_membership(self, current: Membership, action: str, name: str) -> Membership:
        if action == "add":
            return self._with_member(current, name)
        if action == "remove":
            return Membership(_without(current.voters, name), _without(current.learners, name))
        raise RequestError(f"members {action!r}: expected list, add or remove")

    def _with_member(self, current: Membership, name: str) -> Membership:
        member_blocks = self.member.config.member
        if name not in member_blocks:
            raise RequestError(f"{name!r} has no member block here: expected one of {', '.join(member_blocks)}")
        if name in current.learners:
            return Membership(tuple(sorted({*current.voters, name})), _without(current.learners, name))
        return Membership(current.voters, tuple(sorted({*current.learners, name})))


def _without(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(other for other in names if other != name)
