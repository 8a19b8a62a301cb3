"""The names of the methods that handle frames, by the kind of the frame."""

from __future__ import annotations

from pebblehinge.wire import Kind

HANDLERS: dict[Kind, str] = {
    Kind.HELLO: "on_hello",
    Kind.ERROR: "on_error",
    Kind.PING: "on_ping",
    Kind.PONG: "on_pong",
    Kind.STOPPING: "on_stopping",
    Kind.TAKE: "on_take",
    Kind.CANCEL: "on_cancel",
    Kind.ANSWER: "on_answer",
    Kind.TRIP: "on_trip",
    Kind.RECALL: "on_recall",
    Kind.OUTCOME: "on_outcome",
    Kind.WATCH: "on_watch",
    Kind.LIST: "on_list",
    Kind.REGISTER: "on_register",
    Kind.STANDING: "on_standing",
    Kind.CONTROL: "on_control",
    Kind.CONTROLLED: "on_controlled",
    Kind.RAFT: "on_raft",
    Kind.RENEW: "on_renew",
    Kind.GRANT: "on_grant",
    Kind.ASK: "on_ask",
    Kind.TOLD: "on_told",
    Kind.NEWS: "on_news",
}
"""Name of the method of Peer that handles a kind of frame; it is called with the values of the frame."""

COMMON_KINDS = frozenset({Kind.HELLO, Kind.ERROR, Kind.PING, Kind.PONG})
"""The kinds that every peer may send."""
