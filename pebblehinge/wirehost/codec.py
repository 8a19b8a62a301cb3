"""Reads and writes the lines of the simulator's wire. No decisions are taken here.

A line is the name of a message and its fields, separated by single spaces; the last field takes the rest of the line.
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
RETRY_BIT = 2  # of an ARRIVAL's options
DISCOVERY_CALL_LINES = {DiscoveryCall.WATCH: "LISTEN 1"}


class WireError(Exception):
    """A line that is not what the wire allows; the text says what was expected."""


class Message(Enum):
    """The messages that the simulator sends; the values are their names on the wire."""

    BATCH = "BATCH"  # begins a batch, at a time
    FOR = "FOR"  # the following lines are for this instance
    HELLO = "HELLO"  # starts an instance
    DESTROY = "DESTROY"  # ends an instance
    MANIFEST = "MANIFEST"  # begins an endpoint list
    ROW = "ROW"  # a line of it
    SYNC = "SYNC"  # an instance gets an endpoint list
    ARRIVAL = "ARRIVAL"  # a client's request
    HEADERS = "HEADERS"  # an attempt's answer has begun
    VERDICT = "VERDICT"  # an attempt's outcome
    HANGUP = "HANGUP"  # a client is gone
    TICK_DUE = "TICK_DUE"  # a timer has fired
    ECHO = "ECHO"  # the outcome of a health check
    FROM_PEER = "FROM_PEER"  # gossip
    GO = "GO"  # ends a batch


@dataclass(frozen=True, slots=True)
class FieldType:
    """How a field is read.

    Attributes:
        reader: gives the value of a field's text; ValueError or KeyError where the text is not allowed.
        expected: what is allowed, for error messages.
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
    """Returns a reader that takes "-" for a value that is absent."""

    def read(text: str) -> Any:
        return absent if text == "-" else reader(text)

    return read


def _one_of(values: dict[str, Any]) -> FieldType:
    return FieldType(values.__getitem__, "one of " + ", ".join(values))


INTEGER = FieldType(int, "a whole number")
INTEGER_OR_0 = FieldType(_or_absent(int, 0), "a whole number or -")
SECONDS = FieldType(_milliseconds, "a time in seconds")  # read as milliseconds
SECONDS_OR_0 = FieldType(_or_absent(_milliseconds, 0.0), "a time in seconds or -")
NUMBER = FieldType(_finite, "a number")
NUMBER_OR_0 = FieldType(_or_absent(_finite, 0.0), "a number or -")
FLAG = FieldType(_flag, "1 or 0")
NAME = FieldType(_name, "a name")
NAME_OR_NONE = FieldType(_or_absent(_name, None), "a name or -")
TEXT = FieldType(str, "text")

# For each message its fields in order: what each is called on the wire, and its type.
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
        Its message and the values of its fields, in order.

    Raises:
        WireError: the message is unknown, or a field is missing or not as it should be.
    """
    word, _, rest = line.partition(" ")
    message = MESSAGES_BY_NAME.get(word)
    if message is None:
        raise WireError(f"unknown message {word!r}: expected one of {', '.join(MESSAGES_BY_NAME)}")
    fields = MESSAGES[message]
    parts = rest.split(" ", len(fields) - 1) if fields and rest else []
    if len(parts) != len(fields) or (not fields and rest):
        wanted = " ".join(field for field, _ in fields) or "no values"
        raise WireError(f"{word} holds {len(parts)} values: expected {len(fields)} ({wanted})")
    values = []
    for (field, kind), part in zip(fields, parts, strict=True):
        try:
            values.append(kind.reader(part))
        except (ValueError, KeyError):
            raise WireError(f"{word}: {field} is {part[:60]!r}: expected {kind.expected}") from None
    return message, values


def read_entry(values: list[Any]) -> EndpointEntry:
    """Returns the line of an endpoint list that a ROW's values state."""
    _, node, started_ms, standing, slot, _, _ = values
    return EndpointEntry(node, standing, slot, started_ms)


def seconds(ms: float) -> str:
    """Returns a time in ms as the wire has it: seconds, to the microsecond."""
    return f"{ms / MS_PER_S:.6f}"


def write_answer(request_id: int, final: FinalAnswerKind, stay_away_ms: float) -> str:
    """Returns the line of a final answer; a Retry-After of 0 ms is none."""
    if final is FinalAnswerKind.FAILED:
        return f"REPORT_FAILURE {request_id}"
    retry_after = seconds(stay_away_ms) if stay_away_ms > 0 else "-"
    return f"NOT_NOW {request_id} {retry_after}"


def read_settings(text: str) -> Settings:
    """Reads the settings of an instance.

    Args:
        text: the JSON object that HELLO holds.

    Raises:
        WireError: it is no JSON, or a value is not as it should be.
    """
    try:
        return platform_settings.read_settings(msgspec.json.decode(text))
    except msgspec.DecodeError as error:
        raise WireError(f"HELLO: env: {error}: expected a JSON object") from None
    except platform_settings.PlatformSettingsError as error:
        raise WireError(str(error)) from None
