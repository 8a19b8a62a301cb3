"""The link to discovery: one connection, kept up; the endpoint lists that come on it are passed on."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from pebblehinge.interface import DiscoveryCall, EndpointEntry, EndpointState, ListKind
from pebblehinge.net import Peer, parse_address
from pebblehinge.settings.schema import LimitsBlock
from pebblehinge.wire import Kind, Session, WireError
from pebblehinge.wire.kinds import ENDPOINT_ROW

LIST_KINDS = {"changes": ListKind.CHANGES, "whole": ListKind.WHOLE, "failed": ListKind.FAILED}
"""The kinds of an endpoint list, by their words in LIST frames."""

REDIAL_DELAY_RANGE_S = (0.2, 0.6)
"""The range of the wait before another dial, in seconds."""

MAX_QUOTED_WORD_CHARS, MAX_QUOTED_NAME_CHARS = 20, 60
"""Characters of a wrong word or its node's name that the text of an error repeats."""

EndpointListHandler = Callable[[float, ListKind, list[EndpointEntry], dict[str, str]], None]
"""Takes the time, the kind of a list, its entries, and the addresses of its storage nodes by name."""


class _DiscoveryConnection(Peer):
    """The connection of a link."""

    ACCEPTED_KINDS = frozenset({Kind.LIST})

    def __init__(self, link: DiscoveryLink, session: Session) -> None:
        super().__init__(link.loop, session, link.limits.stall, link.limits.keepalive)
        self.link = link

    def on_ready(self) -> None:
        """The greeting is over."""
        self.link.on_connected(self)

    def on_disconnect(self, exc: Exception | None) -> None:
        """The connection is over."""
        self.link.on_connection_lost(self)

    def on_list(self, token: int, kind: str, rows: list[ENDPOINT_ROW]) -> None:
        """An endpoint list, whole or its changes."""
        self.link.on_list(kind, rows)


class DiscoveryLink:
    """The link to discovery.

    Attributes:
        connection: The connection, while there is one that has greeted.
        polls: Whether the list is polled (as the settings say); otherwise discovery pushes it.
        calls: Requests for the list that wait for a connection.
        closed: Whether the link is closed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        gateway: str,
        address: str,
        limits: LimitsBlock,
        rng: random.Random,
        on_endpoint_list: EndpointListHandler,
        is_polling: bool,
    ) -> None:
        """Links `gateway` to discovery at `address`; `list_received` is called for each list."""
        self.loop = loop
        self.clock = clock
        self.gateway = gateway
        self.address = address
        self.limits = limits
        self.rng = rng
        self.on_endpoint_list = on_endpoint_list
        self.is_polling = is_polling
        self.connection: _DiscoveryConnection | None = None
        self.calls: list[DiscoveryCall] = []
        self.closed = False
        self._dial_task: asyncio.Task[None] | None = None
        self._redial_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begins a dial."""
        self._dial_task = self.loop.create_task(self._connect())

    def call(self, call: DiscoveryCall) -> None:
        """Asks for the list, at once or when there is a connection."""
        if self.connection is None:
            self.calls.append(call)
            del self.calls[:-4]
        else:
            self.connection.send(Kind.WATCH, 1)

    def close(self) -> None:
        """Closes the connection, and dials no more."""
        self.closed = True
        if self._dial_task is not None:
            self._dial_task.cancel()
        if self._redial_timer is not None:
            self._redial_timer.cancel()
        if self.connection is not None:
            self.connection.close()

    def on_connected(self, connection: _DiscoveryConnection) -> None:
        """The greeting is over."""
        self.connection = connection
        if not self.is_polling:
            connection.send(Kind.WATCH, 1)
        for call in self.calls:
            self.call(call)
        self.calls.clear()

    def on_connection_lost(self, connection: _DiscoveryConnection) -> None:
        """The connection is over. That alone changes nothing: the last list stays in force."""
        was_connected = self.connection is connection
        self.connection = None
        if was_connected and self.is_polling and not self.closed:
            self.on_endpoint_list(self.clock(), ListKind.FAILED, [], {})
        self._schedule_redial()

    def on_list(self, kind: str, rows: list[ENDPOINT_ROW]) -> None:
        """An endpoint list has come; raises WireError if it is none."""
        now = self.clock()
        if kind not in LIST_KINDS:
            raise WireError(f"LIST: kind {kind[:MAX_QUOTED_WORD_CHARS]!r}: expected one of {', '.join(LIST_KINDS)}")
        entries: list[EndpointEntry] = []
        addresses: dict[str, str] = {}
        for node, address, state, slot, age_ms in rows:
            # The list says how long ago a node started: no wall clock of another machine is trusted.
            start_ms = max(0.0, now - age_ms) if age_ms >= 0 else 0.0
            entries.append(EndpointEntry(node, _read_state(state, node), slot, start_ms))
            addresses[node] = address
        self.on_endpoint_list(now, LIST_KINDS[kind], entries, addresses)

    async def _connect(self) -> None:
        session = Session("head", self.gateway, self.limits.frame, self.limits.streams, dialed=True)
        try:
            host, port = parse_address(self.address)
            await self.loop.create_connection(lambda: _DiscoveryConnection(self, session), host, port)
        except (OSError, ValueError):
            self._schedule_redial()

    def _schedule_redial(self) -> None:
        if not self.closed:
            self._redial_timer = self.loop.call_later(self.rng.uniform(*REDIAL_DELAY_RANGE_S), self.start)


def _read_state(state: str, node: str) -> EndpointState:
    """Returns an endpoint's state by its word on the wire."""
    try:
        return EndpointState(state)
    except ValueError:
        quoted = f"{state[:MAX_QUOTED_WORD_CHARS]!r} of {node[:MAX_QUOTED_NAME_CHARS]!r}"
        raise WireError(f"LIST: standing {quoted} is not known") from None
