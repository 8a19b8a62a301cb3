"""A gateway's connections to members of the group: one at a time, to the named leader or else to the next address."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

from pebblehinge.net import Peer, dial
from pebblehinge.replicated_config import session_roles
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.replicated_config.commands import Reservations
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.wire import Kind, Session

DIAL_TIMEOUT_S = 1.0


class ConnectionListener(Protocol):
    """The user of the connections."""

    def on_connected(self, connection: OutboundConnection) -> None:
        """Handles a connection that can be written to from now on."""

    def on_connection_lost(self, connection: OutboundConnection) -> None:
        """Handles the end of a connection."""

    def on_watch_event(self) -> None:
        """Handles a change of the active or the pending version."""

    def on_grant(self, grant: Grant) -> None:
        """Handles the answer to a renewal."""


class OutboundConnection(Peer):
    """A gateway's connection to one member."""

    ACCEPTED_KINDS = frozenset({Kind.GRANT, Kind.NEWS})

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        session: Session,
        stall_ms: float,
        address: str,
        listener: ConnectionListener,
    ) -> None:
        """Creates a connection to `address`, host:port."""
        super().__init__(loop, session, stall_ms)
        self.address = address
        self.listener = listener

    def on_ready(self) -> None:
        """Tells the listener that the greeting is complete."""
        self.listener.on_connected(self)

    def on_disconnect(self, exc: Exception | None) -> None:
        """Tells the listener that the connection has ended."""
        self.listener.on_connection_lost(self)

    def on_news(self, revision: int) -> None:
        """Passes a watch event on. Its revision is not used, since the next grant brings whatever was missed."""
        self.listener.on_watch_event()

    def on_grant(
        self,
        token: int,
        lease_ms: float,
        active: int,
        active_text: str,
        pending: int,
        pending_text: str,
        reservations: Reservations,
        leader: str,
    ) -> None:
        """Passes a grant on."""
        self.listener.on_grant(Grant(token, lease_ms, active, active_text, pending, pending_text, reservations, leader))


class MemberDialer:
    """Opens one connection at a time; `redirect_address` was named as the leader's address, "" for none."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gateway: str,
        addresses: Sequence[str],
        limits: LimitsBlock,
        listener: ConnectionListener,
    ) -> None:
        """Creates a dialer that tries the addresses in turn, unless it is redirected."""
        self.loop = loop
        self.gateway = gateway
        self.addresses = addresses
        self.limits = limits
        self.listener = listener
        self.redirect_address = ""
        self.dial_count = 0  # dials to addresses in turn
        self.task: asyncio.Task[None] | None = None

    def connect(self) -> None:
        """Opens a connection, unless one is being opened. It does not retry a dial that fails."""
        if self.task is not None:
            return
        address, self.redirect_address = self.redirect_address, ""
        if not address:
            address = self.addresses[self.dial_count % len(self.addresses)]
            self.dial_count += 1
        self.task = self.loop.create_task(self._dial(address))

    def close(self) -> None:
        """Cancels the dial in progress."""
        if self.task is not None:
            self.task.cancel()

    async def _dial(self, address: str) -> None:
        session = Session(session_roles.GATEWAY, self.gateway, self.limits.frame, self.limits.streams, dialed=True)
        connection = OutboundConnection(self.loop, session, self.limits.stall, address, self.listener)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await dial(self.loop, connection, address)
        except (OSError, TimeoutError):
            pass
        finally:
            self.task = None
