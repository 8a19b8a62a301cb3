"""Reads and writes the lines of the simulator's wire protocol. No decisions are made here.

A line holds the name of a message and its fields, separated by single spaces; the last field is the rest of the line.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from pebblehinge import platform_settings
from pebblehinge.interface import DiscoveryCall, EndpointEntry, FinalAnswerKind, ListKind, Outcome, Settings

OUTCOMES = {
    "completed": Outcome.SUCCEEDED,
    "errored": Outcome.SERVER_ERROR,
    "saturated": Outcome.OVERLOADED,
    "overdue": Outcome.TIMED_OUT,
    "refused_conn": Outcome.CONNECT_FAILED,
    "severed": Outcome.CONNECTION_LOST,
    "recalled": Outcome.CANCELLED,
    "superseded": Outcome.NOT_SENT,
}
LIST_KINDS = {
    "delta": ListKind.CHANGES,
    "full": ListKind.WHOLE,
    "cached": ListKind.CACHED,
    "failed": ListKind.FAILED,
}
MS_PER_S = 1000.0
RETRY_OPTION_BIT = 2  # of an ARRIVAL's options: the client marked the request as a retry
DISCOVERY_CALL_LINES = {DiscoveryCall.WATCH: "LISTEN 1"}


class WireError(Exception):
    """A line that the wire protocol does not allow; the text says what was expected."""


class Message(Enum):
    """The messages that the simulator sends; the values are their names on the wire."""

    BATCH = "BATCH"  # begins a batch and sets the clock
    FOR = "FOR"  # names the instance that the following lines are for
    HELLO = "HELLO"  # starts an instance
    DESTROY = "DESTROY"  # ends an instance
    MANIFEST = "MANIFEST"  # begins an endpoint list
    ROW = "ROW"  # one line of an endpoint list
    SYNC = "SYNC"  # gives an endpoint list to an instance
    ARRIVAL = "ARRIVAL"  # a client's request
    HEADERS = "HEADERS"  # an attempt's response has started
    VERDICT = "VERDICT"  # an attempt's outcome
    HANGUP = "HANGUP"  # a client has disconnected
    TICK_DUE = "TICK_DUE"  # a timer has fired
    ECHO = "ECHO"  # the outcome of a health check
    FROM_PEER = "FROM_PEER"  # gossip
    GO = "GO"  # ends a batch


@dataclass(frozen=True, slots=True)
class FieldType:
    """How a field is read.

    Attributes:
        reader: Returns the value of a field's text; raises ValueError or KeyError if the text is not allowed.
        expected: What is allowed, for error messages.
    """

    reader: Callable[[str], Any]
    expected: str


def _finite(text: str, scale: float = 1.0) -> float:
    value = float(text) * scale
    if not abs(value) < float("inf"):
        raise ValueError
    return value


def _milliseconds(text: str) -> float:
    return _finite(text, MS_PER_S)


def _flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError
    return text == "1"


def _name(text: str) -> str:
    if not text or text == "-":
        raise ValueError
    return text


def _or_absent(reader: Callable[[str], Any], absent: Any) -> Callable[[str], Any]:
    """Returns a reader that reads "-" as the value `absent`."""

    def read(text: str) -> Any:
        return absent if text == "-" else reader(text)

    return read


def _one_of(values: dict[str, Any]) -> FieldType:
    return FieldType(values.__getitem__, "one of " + ", ".join(values))


INTEGER = FieldType(int, "a whole number")
INTEGER_OR_0 = FieldType(_or_absent(int, 0), "a whole number or -")
SECONDS = FieldType(_milliseconds, "a time in seconds")  # converted to milliseconds
SECONDS_OR_0 = FieldType(_or_absent(_milliseconds, 0.0), "a time in seconds or -")
NUMBER = FieldType(_finite, "a number")
NUMBER_OR_0 = FieldType(_or_absent(_finite, 0.0), "a number or -")
FLAG = FieldType(_flag, "1 or 0")
NAME = FieldType(_name, "a name")
NAME_OR_NONE = FieldType(_or_absent(_name, None), "a name or -")
TEXT = FieldType(str, "text")

# The fields of each message in order: their names on the wire and their types.
MESSAGES: dict[Message, tuple[tuple[str, FieldType], ...]] = {
    Message.BATCH: (("clock", SECONDS),),
    Message.FOR: (("head", NAME),),
    Message.HELLO: (("prng", INTEGER), ("env", TEXT)),
    Message.DESTROY: (),
    Message.MANIFEST: (("ref", INTEGER), ("members", INTEGER)),
    Message.ROW: (
        ("generation_hw", TEXT),
        ("shelf", NAME),
        ("born_s", SECONDS_OR_0),
        ("status", _one_of(platform_settings.ENDPOINT_STATES)),
        ("pod", INTEGER),
        ("capacity_hint", NUMBER_OR_0),
        ("campus", TEXT),
    ),
    Message.SYNC: (("ref", INTEGER_OR_0), ("epoch", INTEGER_OR_0), ("how", _one_of(LIST_KINDS))),
    Message.ARRIVAL: (
        ("tid", INTEGER),
        ("block_key", NAME_OR_NONE),
        ("tier_class", NAME),
        ("tier", NAME),
        ("options", INTEGER_OR_0),
        ("set_size", INTEGER),
        ("slot_no", INTEGER),
        ("cost_units", NUMBER),
        ("share_id", NAME),
        ("give_up_at_s", SECONDS),
    ),
    Message.HEADERS: (("tid", INTEGER), ("attempt", INTEGER), ("shelf", NAME), ("rtt_s", SECONDS)),
    Message.VERDICT: (
        ("tid", INTEGER),
        ("attempt", INTEGER),
        ("use_pct", INTEGER_OR_0),
        ("status", _one_of(OUTCOMES)),
        ("over", FLAG),
        ("from_others", INTEGER_OR_0),
        ("shelf", NAME),
        ("rtt_s", SECONDS_OR_0),
        ("usage", TEXT),
    ),
    Message.HANGUP: (("tid", INTEGER),),
    Message.TICK_DUE: (("cookie", INTEGER),),
    Message.ECHO: (
        ("status", _one_of(OUTCOMES)),
        ("rtt_s", SECONDS_OR_0),
        ("shelf", NAME),
        ("usage", TEXT),
    ),
    Message.FROM_PEER: (("src_peer", INTEGER), ("body", TEXT)),
    Message.GO: (),
}
MESSAGES_BY_NAME = {message.value: message for message in MESSAGES}


def read_line(line: str) -> tuple[Message, list[Any]]:
    """Reads one line.

    Returns:
        Its message, and the values of its fields in order.

    Raises:
        WireError: The message is unknown, or a field is missing or invalid.
    """
    name, _, rest = line.partition(" ")
    message = MESSAGES_BY_NAME.get(name)
    if message is None:
        raise WireError(f"unknown message {name!r}: expected one of {', '.join(MESSAGES_BY_NAME)}")
    fields = MESSAGES[message]
    parts = rest.split(" ", len(fields) - 1) if fields and rest else []
    if len(parts) != len(fields) or (not fields and rest):
        expected = " ".join(field for field, _ in fields) or "no values"
        raise WireError(f"{name} holds {len(parts)} values: expected {len(fields)} ({expected})")
    values = []
    for (field, field_type), part in zip(fields, parts, strict=True):
        try:
            values.append(field_type.reader(part))
        except (ValueError, KeyError):
            raise WireError(f"{name}: {field} is {part[:60]!r}: expected {field_type.expected}") from None
    return message, values


def read_entry(values: list[Any]) -> EndpointEntry:
    """Returns the entry of an endpoint list that a ROW's values hold."""
    _, node_name, started_ms, state, slot, _, _ = values
    return EndpointEntry(node_name, state, slot, started_ms)


def format_seconds(ms: float) -> str:
    """Returns a time in milliseconds as text on the wire: seconds, to the microsecond."""
    return f"{ms / MS_PER_S:.6f}"


def write_answer(request_id: int, kind: FinalAnswerKind, retry_after_ms: float) -> str:
    """Returns the line of a final answer; a Retry-After of 0 ms means none."""
    if kind is FinalAnswerKind.FAILED:
        return f"REPORT_FAILURE {request_id}"
    retry_after = format_seconds(retry_after_ms) if retry_after_ms > 0 else "-"
    return f"NOT_NOW {request_id} {retry_after}"


def read_settings(text: str) -> Settings:
    """Reads the settings of an instance.

    Args:
        text: The JSON object that HELLO holds.

    Raises:
        WireError: It is not JSON, or a value is missing or invalid.
    """
    try:
        return platform_settings.read_settings(msgspec.json.decode(text))
    except msgspec.DecodeError as error:
        raise WireError(f"HELLO: env: {error}: expected a JSON object") from None
    except platform_settings.PlatformSettingsError as error:
        raise WireError(str(error)) from None
