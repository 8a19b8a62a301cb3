"""Messages between members by the places of their frame, as the fixtures hold them."""

from __future__ import annotations

from typing import Any

from plain import native, plain

from pebblehinge.raft import Membership
from pebblehinge.raft.codec import WIRE_KINDS
from pebblehinge.raft.entries import Entry
from pebblehinge.raft.messages import Message

# Which field of a message stands at each place after the kind; None: the kind leaves the place at its default.
VOTE = ("source", "to", "term", "last_log_index", "last_log_term", None, None, "leadership_transfer")
VOTE_RESPONSE = ("source", "to", "term", None, None, None, "granted")
FIELDS: dict[str, tuple[str | None, ...]] = {
    "vote": VOTE,
    "vote-answer": VOTE_RESPONSE,
    "pre-vote": VOTE,
    "pre-vote-answer": VOTE_RESPONSE,
    "append": (
        *("source", "to", "term", "prev_log_index", "prev_log_term", "leader_commit", None, None, "entries"),
        *(None, None, None, "read_round"),
    ),
    "append-answer": (
        *("source", "to", "term", "index", "conflict_term", None, "success", "conflict_index", None),
        *(None, None, None, "read_round"),
    ),
    "snapshot": (
        *("source", "to", "term", "last_included_index", "last_included_term", "leader_commit", None, "total_bytes"),
        *(None, "offset", "data", "membership"),
    ),
    "snapshot-answer": ("source", "to", "term", "last_included_index", None, None, "installed", None, None, "offset"),
    "timeout": ("source", "to", "term"),
}
DEFAULTS = (None, None, None, 0, 0, 0, False, 0, [], 0, {"hex": ""}, None, 0)  # of each place after the kind


def places(message: Message) -> list[Any]:
    """All values of a message's frame, as JSON."""
    kind = WIRE_KINDS[type(message)]
    fields = FIELDS[kind] + (None,) * (len(DEFAULTS) - len(FIELDS[kind]))
    values = [
        default if field is None else plain(getattr(message, field))
        for field, default in zip(fields, DEFAULTS, strict=True)
    ]
    transfer = fields.index("leadership_transfer") if "leadership_transfer" in fields else None
    if transfer is not None:
        values[transfer] = int(values[transfer])  # a flag, in the place of a number
    return [kind, *values]


def message_of(values: list[Any]) -> Message:
    """The message of a frame's values; a place that the kind doesn't use must hold its default."""
    classes = {kind: cls for cls, kind in WIRE_KINDS.items()}
    kind, *rest = values
    if kind not in classes:
        raise ValueError(f"{kind!r} is no kind of message")
    arguments: dict[str, Any] = {}
    for field, default, value in zip(FIELDS[kind], DEFAULTS, rest, strict=False):
        if field is None:
            assert value == default, (kind, value)
        else:
            arguments[field] = native(value)
    if "entries" in arguments:
        arguments["entries"] = tuple(Entry(*row) for row in arguments["entries"])
    if "membership" in arguments:
        voters, learners = arguments["membership"]
        arguments["membership"] = Membership(tuple(voters), tuple(learners))
    if "leadership_transfer" in arguments:
        arguments["leadership_transfer"] = bool(arguments["leadership_transfer"])
    return classes[kind](**arguments)
