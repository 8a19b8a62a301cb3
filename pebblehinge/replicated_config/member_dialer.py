"""A gateway's connections to members of the group: one at a time, to whichever is named as the leader or comes next."""

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
    """Who uses the connections."""

    def on_connected(self, connection: OutboundConnection) -> None:
        """A connection may be written to."""

    def on_connection_lost(self, connection: OutboundConnection) -> None:
        """A connection is over."""

    def on_watch_event(self) -> None:
        """The versions in force have changed."""

    def on_grant(self, grant: Grant) -> None:
        """A renewal is answered."""


class OutboundConnection(Peer):
    """A connection to one member."""

    ACCEPTED_KINDS = frozenset({Kind.GRANT, Kind.NEWS})

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        session: Session,
        stall_ms: float,
        address: str,
        listener: ConnectionListener,
    ) -> None:
        """To `address`, host:port."""
        super().__init__(loop, session, stall_ms)
        self.address = address
        self.listener = listener

    def on_ready(self) -> None:
        """The greeting is over."""
        self.listener.on_connected(self)

    def on_disconnect(self, exc: Exception | None) -> None:
        """The connection is over."""
        self.listener.on_connection_lost(self)

    def on_news(self, revision: int) -> None:
        """A watch event. Its revision is of no use: whatever was missed meanwhile comes with the next grant."""
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
        """A renewal is answered."""
        self.listener.on_grant(Grant(token, lease_ms, active, active_text, pending, pending_text, reservations, leader))


class MemberDialer:
    """Opens one connection at a time; `redirect` is the address that was named as the leader's, "" for none."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gateway: str,
        addresses: Sequence[str],
        limits: LimitsBlock,
        listener: ConnectionListener,
    ) -> None:
        """Tries the addresses in turn, but for a redirect."""
        self.loop = loop
        self.gateway = gateway
        self.addresses = addresses
        self.limits = limits
        self.listener = listener
        self.redirect_address = ""
        self.dial_count = 0  # counts addresses that were tried
        self.task: asyncio.Task[None] | None = None

    def connect(self) -> None:
        """Opens a connection, unless one is being opened. One that fails is not tried again by itself."""
        if self.task is not None:
            return
        address, self.redirect_address = self.redirect_address, ""
        if not address:
            address = self.addresses[self.dial_count % len(self.addresses)]
            self.dial_count += 1
        self.task = self.loop.create_task(self._dial(address))

    def close(self) -> None:
        """Gives up what is being opened."""
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
