"""A member's end of a connection from another member, a gateway or an operator."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

import msgspec

from pebblehinge.net import Peer
from pebblehinge.raft.node import Node
from pebblehinge.replicated_config import session_roles
from pebblehinge.replicated_config.lease_granting import LeaseGranting, RenewalRequest
from pebblehinge.replicated_config.operator_requests import OperatorRequests
from pebblehinge.settings import Config
from pebblehinge.wire import Kind, Session, WireError


class Member(Protocol):
    """The member that accepts the connection."""

    loop: asyncio.AbstractEventLoop
    name: str
    config: Config
    node: Node
    connections: dict[MemberConnection, None]
    operator_requests: OperatorRequests
    lease_granting: LeaseGranting


class MemberConnection(Peer):
    """Passes each frame to the component that handles it."""

    ACCEPTED_KINDS = frozenset({Kind.RAFT, Kind.RENEW, Kind.ASK})

    def __init__(self, member: Member) -> None:
        """Creates a connection that is being accepted."""
        limits = member.config.limits
        session = Session("group", member.name, limits.frame, limits.streams, dialed=False)
        super().__init__(member.loop, session, limits.stall, limits.keepalive)
        self.member = member

    def connection_made(self, transport: Any) -> None:
        """Registers the connection, which is open now."""
        super().connection_made(transport)
        self.member.connections[self] = None

    def on_disconnect(self, exc: Exception | None) -> None:
        """Unregisters the connection, which has ended."""
        self.member.connections.pop(self, None)

    def on_raft(self, data: bytes) -> None:
        """Passes a message from another member to Raft.

        Raises:
            WireError: If the sender is no member of this group, or the message can't be decoded.
        """
        if self.session.peer_role != session_roles.MEMBER:
            raise WireError("RAFT is for instances of the group")
        group = self.member.config.group.id
        if self.session.peer_name.rpartition("@")[2] != group:
            raise WireError(f"this is group {group!r}: {self.session.peer_name!r} is of another")
        try:
            self.member.node.receive(data)
        except msgspec.DecodeError as error:
            raise WireError(f"RAFT: {error}") from None

    def on_renew(
        self,
        token: int,
        gateway: str,
        acknowledged_version: int,
        known_version: int,
        rejected_version: int,
        reason: str,
    ) -> None:
        """Handles a gateway's renewal of its lease."""
        request = RenewalRequest(token, gateway, acknowledged_version, known_version, rejected_version, reason)
        self.member.lease_granting.on_renewal(self, request)

    def on_ask(self, token: int, verb: str, values: dict[str, str | int]) -> None:
        """Handles an operator's request."""
        self.member.operator_requests.on_request(self, token, verb, values)
