"""An operator's client of the group: finds the leader, sends a request, and retries it if leadership changes."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping

from pebblehinge.net import Peer, dial
from pebblehinge.replicated_config import session_roles
from pebblehinge.replicated_config.replies import MemberReply, OperatorReply
from pebblehinge.replicated_config.size_limits import MAX_FRAME_BYTES
from pebblehinge.wire import Kind, Session

MAX_STREAMS = 64  # announced by the session
STALL_TIMEOUT_MS = 5_000.0
RETRY_DELAY_S = 0.1
NO_LEADER = "no leader is known"
# A request that failed with one of these texts in its reply may succeed when it is retried.
TRANSIENT_REASONS = ("ask whether it was done", "leads no more", "wait for it")

RequestValues = Mapping[str, str | int]


class _OperatorConnection(Peer):
    """An operator's connection to one member."""

    ACCEPTED_KINDS = frozenset({Kind.TOLD})

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        session = Session(session_roles.OPERATOR, session_roles.OPERATOR, MAX_FRAME_BYTES, MAX_STREAMS, dialed=True)
        super().__init__(loop, session, STALL_TIMEOUT_MS)
        self.pending_replies: dict[int, asyncio.Future[MemberReply]] = {}
        self.tokens = itertools.count(1)

    def on_disconnect(self, exc: Exception | None) -> None:
        """Fails the pending requests, as the connection has ended."""
        for future in self.pending_replies.values():
            if not future.done():
                future.set_exception(ConnectionError("the member closed the connection"))

    def on_told(self, token: int, ok: bool, text: str, leader: str) -> None:
        """Completes the request that a reply belongs to."""
        future = self.pending_replies.pop(token, None)
        if future is not None and not future.done():
            future.set_result(MemberReply(ok, text, leader))

    async def ask(self, verb: str, values: RequestValues) -> MemberReply:
        """Sends a request and waits for its reply."""
        token = next(self.tokens)
        self.pending_replies[token] = self.loop.create_future()
        self.send(Kind.ASK, token, verb, values)
        return await self.pending_replies[token]


async def ask_member(
    loop: asyncio.AbstractEventLoop, address: str, verb: str, values: RequestValues, timeout_s: float = 3.0
) -> MemberReply:
    """Returns one member's reply to a request.

    Raises:
        OSError: If the member can't be reached, or closes the connection.
        TimeoutError: If it does not reply within `timeout_s`.
    """
    connection = _OperatorConnection(loop)
    async with asyncio.timeout(timeout_s):
        await dial(loop, connection, address)
        try:
            return await connection.ask(verb, values)
        finally:
            connection.close()


async def ask_group(
    loop: asyncio.AbstractEventLoop, addresses: list[str], verb: str, values: RequestValues, timeout_s: float = 10.0
) -> OperatorReply:
    """Returns the leader's reply, or a failed reply with the last reason why there is none.

    A proposal carries a session and a serial, so that it is applied once even if it is retried.
    """
    deadline = loop.time() + timeout_s
    last_reason = "no member of the group can be reached"
    address_cycle = itertools.cycle(addresses)
    address = next(address_cycle)
    while loop.time() < deadline:
        try:
            reply = await ask_member(loop, address, verb, values)
            if not _is_transient(reply):
                return OperatorReply(reply.ok, reply.text)
            last_reason = reply.text
            address = reply.leader or next(address_cycle)
        except (OSError, TimeoutError):
            address = next(address_cycle)
        await asyncio.sleep(RETRY_DELAY_S)
    return OperatorReply(False, last_reason)


def _is_transient(reply: MemberReply) -> bool:
    if reply.ok:
        return False
    if reply.leader or reply.text == NO_LEADER:
        return True
    return any(reason in reply.text for reason in TRANSIENT_REASONS)
