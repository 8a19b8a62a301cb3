"""Tests of the stored form of commands: a msgpack array of a verb and its values."""

from __future__ import annotations

import msgspec
import pytest
from group_settings import stored_form

from pebblehinge.replicated_config.activation import Allowance
from pebblehinge.replicated_config.commands import (
    Acknowledge,
    AcknowledgeMany,
    Activate,
    AnyCommand,
    CommandResult,
    ForgetGateway,
    ProposeVersion,
    RejectVersion,
    Verb,
    decode_command,
    encode_command,
)
from pebblehinge.replicated_config.errors import StaleBaseError

STORED_FORMS: list[tuple[AnyCommand, tuple[object, ...]]] = [
    (ProposeVersion(3, "text", "ana", "why"), ("propose", 3, "text", "ana", "why")),
    (Acknowledge("h1", 4), ("acknowledge", "h1", 4)),
    (AcknowledgeMany({"h1": 4, "h2": 3}), ("taken_up", {"h1": 4, "h2": 3})),
    (RejectVersion(4, "h1: no"), ("refuse", 4, "h1: no")),
    (Activate(4, {"v": Allowance(10.0, 4.5)}, 17), ("activate", 4, {"v": (10.0, 4.5)}, 17)),
    (ForgetGateway("h1"), ("forget", "h1")),
]


@pytest.mark.parametrize(("command", "parts"), STORED_FORMS, ids=[parts[0] for _, parts in STORED_FORMS])
def test_command_keeps_its_stored_form(command: AnyCommand, parts: tuple[object, ...]) -> None:
    assert encode_command(command) == stored_form(*parts)
    assert decode_command(stored_form(*parts)) == command


def test_each_verb_has_one_command() -> None:
    assert sorted(verb.value for verb in Verb) == sorted(parts[0] for _, parts in STORED_FORMS)


@pytest.mark.parametrize(
    "parts", [("begin",), ("forget",), ("forget", "h1", "h2"), ("forget", 1), (), ("activate", 1, {"v": (1.0,)}, 2)]
)
def test_decoding_rejects_invalid_stored_forms(parts: tuple[object, ...]) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_command(stored_form(*parts))


def test_result_is_stored_as_its_reason() -> None:
    assert CommandResult().stored_reason() == "" and CommandResult.from_stored("") == CommandResult()
    rejection = CommandResult(StaleBaseError(1, 2))
    restored = CommandResult.from_stored(rejection.stored_reason())
    assert not rejection.ok and not restored.ok
    assert str(restored.error) == str(rejection.error) == "it is based on version 1, the newest is 2: look again"
