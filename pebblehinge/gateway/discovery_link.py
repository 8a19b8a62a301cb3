"""The link to discovery, which maintains one connection and passes on the endpoint lists received on it."""

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
"""The kinds of an endpoint list by their names in LIST frames."""

REDIAL_DELAY_RANGE_S = (0.2, 0.6)
"""The range from which the delay before another dial is drawn."""

MAX_QUOTED_WORD_CHARS, MAX_QUOTED_NAME_CHARS = 20, 60
"""Limits of the quotations of an invalid kind or state and of a storage node's name in an error message."""

EndpointListHandler = Callable[[float, ListKind, list[EndpointEntry], dict[str, str]], None]
"""Called with the clock time in milliseconds, the kind of a list, its entries, and the nodes' addresses by name."""


class _DiscoveryConnection(Peer):
    """A connection of a link to discovery."""

    ACCEPTED_KINDS = frozenset({Kind.LIST})

    def __init__(self, link: DiscoveryLink, session: Session) -> None:
        super().__init__(link.loop, session, link.limits.stall, link.limits.keepalive)
        self.link = link

    def on_ready(self) -> None:
        """Reports the completed greeting to the link."""
        self.link.on_connected(self)

    def on_disconnect(self, exc: Exception | None) -> None:
        """Reports the end of the connection to the link."""
        self.link.on_connection_lost(self)

    def on_list(self, token: int, kind: str, rows: list[ENDPOINT_ROW]) -> None:
        """Passes an endpoint list, or changes to it, to the link."""
        self.link.on_list(kind, rows)


class DiscoveryLink:
    """The link of one gateway to discovery.

    Attributes:
        connection: The connection whose greeting is complete, None for none.
        must_request_watch: Whether the scheduler requests the watch; otherwise the link does so on each connection.
        calls: Requests for a watch that wait for a connection, the last four.
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
        must_request_watch: bool,
    ) -> None:
        """Creates a link, which dials once `start` is called.

        Args:
            loop: The event loop.
            clock: Returns the clock time in milliseconds.
            gateway: Name of the gateway.
            address: Address of discovery, host:port.
            limits: Limits and timeouts of connections.
            rng: Draws the delays before dials.
            on_endpoint_list: Called for each list.
            must_request_watch: Whether the scheduler requests the watch, by `call`.
        """
        self.loop = loop
        self.clock = clock
        self.gateway = gateway
        self.address = address
        self.limits = limits
        self.rng = rng
        self.on_endpoint_list = on_endpoint_list
        self.must_request_watch = must_request_watch
        self.connection: _DiscoveryConnection | None = None
        self.calls: list[DiscoveryCall] = []
        self.closed = False
        self._dial_task: asyncio.Task[None] | None = None
        self._redial_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts a dial."""
        self._dial_task = self.loop.create_task(self._connect())

    def call(self, call: DiscoveryCall) -> None:
        """Requests the list and its further changes, now or once there is a connection."""
        if self.connection is None:
            self.calls.append(call)
            del self.calls[:-4]
        else:
            self.connection.send(Kind.WATCH, 1)

    def close(self) -> None:
        """Closes the connection and stops dialing."""
        self.closed = True
        if self._dial_task is not None:
            self._dial_task.cancel()
        if self._redial_timer is not None:
            self._redial_timer.cancel()
        if self.connection is not None:
            self.connection.close()

    def on_connected(self, connection: _DiscoveryConnection) -> None:
        """Requests the watch that the scheduler waits for, or that the link itself requests on each connection."""
        self.connection = connection
        if not self.must_request_watch:
            connection.send(Kind.WATCH, 1)
        for call in self.calls:
            self.call(call)
        self.calls.clear()

    def on_connection_lost(self, connection: _DiscoveryConnection) -> None:
        """Schedules another dial; the last list stays in force.

        A scheduler that requests the watch is told that it failed, so that it requests it again.
        """
        was_connected = self.connection is connection
        self.connection = None
        if was_connected and self.must_request_watch and not self.closed:
            self.on_endpoint_list(self.clock(), ListKind.FAILED, [], {})
        self._schedule_redial()

    def on_list(self, kind: str, rows: list[ENDPOINT_ROW]) -> None:
        """Decodes an endpoint list and passes it on; raises WireError if it is invalid."""
        now = self.clock()
        if kind not in LIST_KINDS:
            raise WireError(f"LIST: kind {kind[:MAX_QUOTED_WORD_CHARS]!r}: expected one of {', '.join(LIST_KINDS)}")
        entries: list[EndpointEntry] = []
        addresses: dict[str, str] = {}
        for node, address, state, slot, age_ms in rows:
            # A row states the time since the node's start, as the wall clocks of other machines are not trusted.
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
    """Returns the endpoint state with this name on the wire; raises WireError if there is none."""
    try:
        return EndpointState(state)
    except ValueError:
        quoted = f"{state[:MAX_QUOTED_WORD_CHARS]!r} of {node[:MAX_QUOTED_NAME_CHARS]!r}"
        raise WireError(f"LIST: standing {quoted} is not known") from None
