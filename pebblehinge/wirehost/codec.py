"""Reads and writes the lines of the simulator's wire. No decisions are taken here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from pebblehinge import stated
from pebblehinge.interface import Entry, Final, ListCall, ListKind, Outcome, Settings

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
KINDS = {
    "delta": ListKind.CHANGES,
    "full": ListKind.WHOLE,
    "cached": ListKind.CACHED,
    "failed": ListKind.FAILED,
}
RETRY_BIT = 2  # of an ARRIVAL's options
CALLS = {ListCall.WATCH: "LISTEN 1"}


class WireError(Exception):
    """A line that is not what the wire allows; the text says what was expected."""


def whole(text: str) -> int:
    return int(text)


def whole_or_0(text: str) -> int:
    return 0 if text == "-" else int(text)


def millis(text: str) -> float:
    value = float(text) * 1000.0
    if not abs(value) < float("inf"):
        raise ValueError
    return value


def millis_or_0(text: str) -> float:
    return 0.0 if text == "-" else millis(text)


def number(text: str) -> float:
    value = float(text)
    if not abs(value) < float("inf"):
        raise ValueError
    return value


def number_or_0(text: str) -> float:
    return 0.0 if text == "-" else number(text)


def flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError
    return text == "1"


def name(text: str) -> str:
    if not text or text == "-":
        raise ValueError
    return text


def name_or_none(text: str) -> str | None:
    return None if text == "-" else name(text)


def anything(text: str) -> str:
    return text


def one_of(values: dict[str, Any]) -> Callable[[str], Any]:
    def read(text: str) -> Any:
        return values[text]

    read.__name__ = "one of " + ", ".join(values)
    return read


# For each message its values in order: what each is called on the wire, and how it is read.
MESSAGES: dict[str, tuple[tuple[str, Callable[[str], Any]], ...]] = {
    "BATCH": (("clock", millis),),
    "FOR": (("head", name),),
    "HELLO": (("prng", whole), ("env", anything)),
    "DESTROY": (),
    "MANIFEST": (("ref", whole), ("members", whole)),
    "ROW": (
        ("generation_hw", anything),
        ("shelf", name),
        ("born_s", millis_or_0),
        ("status", one_of(stated.STANDINGS)),
        ("pod", whole),
        ("capacity_hint", number_or_0),
        ("campus", anything),
    ),
    "SYNC": (("ref", whole_or_0), ("epoch", whole_or_0), ("how", one_of(KINDS))),
    "ARRIVAL": (
        ("tid", whole),
        ("block_key", name_or_none),
        ("tier_class", name),
        ("tier", name),
        ("options", whole_or_0),
        ("set_size", whole),
        ("slot_no", whole),
        ("cost_units", number),
        ("share_id", name),
        ("give_up_at_s", millis),
    ),
    "HEADERS": (("tid", whole), ("attempt", whole), ("shelf", name), ("rtt_s", millis)),
    "VERDICT": (
        ("tid", whole),
        ("attempt", whole),
        ("use_pct", whole_or_0),
        ("status", one_of(OUTCOMES)),
        ("over", flag),
        ("from_others", whole_or_0),
        ("shelf", name),
        ("rtt_s", millis_or_0),
        ("usage", anything),
    ),
    "HANGUP": (("tid", whole),),
    "TICK_DUE": (("cookie", whole),),
    "ECHO": (
        ("status", one_of(OUTCOMES)),
        ("rtt_s", millis_or_0),
        ("shelf", name),
        ("usage", anything),
    ),
    "FROM_PEER": (("src_peer", whole), ("body", anything)),
    "GO": (),
}
EXPECTED = {
    "whole": "a whole number",
    "whole_or_0": "a whole number or -",
    "millis": "a time in seconds",
    "millis_or_0": "a time in seconds or -",
    "number": "a number",
    "number_or_0": "a number or -",
    "flag": "1 or 0",
    "name": "a name",
    "name_or_none": "a name or -",
}


def read_line(line: str) -> tuple[str, list[Any]]:
    """The name of a line's message and its values."""
    word, _, rest = line.partition(" ")
    fields = MESSAGES.get(word)
    if fields is None:
        raise WireError(f"unknown message {word!r}: expected one of {', '.join(MESSAGES)}")
    parts = rest.split(" ", len(fields) - 1) if fields and rest else []
    if len(parts) != len(fields) or (not fields and rest):
        wanted = " ".join(f for f, _ in fields) or "no values"
        raise WireError(f"{word} holds {len(parts)} values: expected {len(fields)} ({wanted})")
    values = []
    for (field, read), part in zip(fields, parts, strict=True):
        try:
            values.append(read(part))
        except (ValueError, KeyError):
            wanted = EXPECTED.get(read.__name__, read.__name__)
            raise WireError(f"{word}: {field} is {part[:60]!r}: expected {wanted}") from None
    return word, values


def read_entry(values: list[Any]) -> Entry:
    _, shelf, started, standing, slot, _, _ = values
    return Entry(shelf, standing, slot, started)


def seconds(ms: float) -> str:
    """A time as the wire writes it, to the microsecond."""
    return f"{ms / 1000.0:.6f}"


def write_answer(tid: int, final: Final, stay_away_ms: float) -> str:
    if final is Final.FAILED:
        return f"REPORT_FAILURE {tid}"
    return f"NOT_NOW {tid} {seconds(stay_away_ms)}" if stay_away_ms > 0 else f"NOT_NOW {tid} -"


def read_settings(text: str) -> Settings:
    """The settings of an instance, from the object that HELLO holds."""
    try:
        return stated.read_settings(msgspec.json.decode(text))
    except msgspec.DecodeError as error:
        raise WireError(f"HELLO: env: {error}: expected a JSON object") from None
    except stated.StatedError as error:
        raise WireError(str(error)) from None
