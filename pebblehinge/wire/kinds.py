"""The kinds of frames: their numbers on the wire and the types of their values.

`docs/protocol.md` names the values. Error messages on the wire contain the names of kinds, so names, numbers and types
are all part of the protocol and must not change. Some kinds have another term in the code:

| kind | term in the code |
| --- | --- |
| TAKE, ANSWER | a request and its final answer |
| TRIP, OUTCOME | an attempt of a request at a storage node, and its outcome |
| RECALL | cancellation of an attempt |
| LIST | the endpoint list, or changes to it |
| REGISTER, STANDING | registration of an endpoint, and its state |
| RENEW, GRANT | renewal of a gateway's lease, and the lease |
| ASK, TOLD | an operator's request to the replicated configuration, and its result |
| NEWS | a watch event: a new version of the configuration exists |
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any


class Kind(IntEnum):
    """The kind of a frame; the value is its byte on the wire."""

    HELLO = 1
    ERROR = 2
    PING = 3
    PONG = 4
    STOPPING = 5
    TAKE = 16
    CANCEL = 17
    ANSWER = 18
    TRIP = 32
    RECALL = 33
    OUTCOME = 34
    WATCH = 48
    LIST = 50
    REGISTER = 51
    STANDING = 52
    CONTROL = 64
    CONTROLLED = 65
    RAFT = 80
    RENEW = 81
    GRANT = 82
    ASK = 83
    TOLD = 84
    NEWS = 85


ENDPOINT_ROW = tuple[str, str, str, int, float]
"""A row of LIST: storage node, address, state, slot of placement, milliseconds since its start or -1 for long ago."""

VALUE_TYPES: dict[Kind, Any] = {
    Kind.HELLO: tuple[str, int, int, str, str, int, int],
    Kind.ERROR: tuple[str],
    Kind.PING: tuple[int],
    Kind.PONG: tuple[int],
    Kind.STOPPING: tuple[str],
    Kind.TAKE: tuple[
        int, str, str, str | None, str, str, int, float, float, bool | None, str | None, int, int, int, bytes
    ],
    Kind.CANCEL: tuple[int],
    Kind.ANSWER: tuple[int, int, float, str, int, bytes],
    Kind.TRIP: tuple[int, str, int, str, int, int, int, float, str | None, float, bytes],
    Kind.RECALL: tuple[int],
    Kind.OUTCOME: tuple[int, int, str, bytes],
    Kind.WATCH: tuple[int],
    Kind.LIST: tuple[int, str, list[ENDPOINT_ROW]],
    Kind.REGISTER: tuple[str, str, int, str, float],
    Kind.STANDING: tuple[str],
    Kind.CONTROL: tuple[int, str, dict[str, float | str]],
    Kind.CONTROLLED: tuple[int, str],
    Kind.RAFT: tuple[bytes],
    Kind.RENEW: tuple[int, str, int, int, int, str],
    Kind.GRANT: tuple[int, float, int, str, int, str, dict[str, tuple[float, float]], str],
    Kind.ASK: tuple[int, str, dict[str, str | int]],
    Kind.TOLD: tuple[int, bool, str, str],
    Kind.NEWS: tuple[int],
}
"""The types of the values of each kind, in order."""
