"""Tests of command names: the former names still work, unlisted, since service units and scripts use them."""

from __future__ import annotations

import click
import pytest
from click.testing import CliRunner

from pebblehinge.cli import main

FORMER_NAMES = {"head": "gateway", "shelf": "storage-node", "listing": "discovery"}


def listed_commands() -> set[str]:
    """Returns the commands that `pebblehinge --help` lists."""
    result = CliRunner().invoke(main, ["--help"])
    assert result.exit_code == 0
    commands = result.output.split("Commands:")[1].splitlines()
    return {line.split()[0] for line in commands if line.strip()}


@pytest.mark.parametrize("former", FORMER_NAMES)
def test_former_name_runs_the_same_command_and_is_not_listed(former: str) -> None:
    current = FORMER_NAMES[former]
    command, alias = main.commands[current], main.commands[former]
    assert alias.hidden and not command.hidden
    assert alias.callback is command.callback
    assert [option.opts for option in alias.params] == [option.opts for option in command.params]
    assert current in listed_commands() and former not in listed_commands()


@pytest.mark.parametrize("name", [*FORMER_NAMES, *FORMER_NAMES.values()])
def test_missing_file_is_reported_under_current_and_former_names(name: str) -> None:
    result = CliRunner().invoke(main, [name, "no-such-file.conf"])
    assert result.exit_code == 2
    assert "no-such-file.conf" in result.output


def test_alias_is_a_separate_command_object() -> None:
    """Guards against a shared object: hiding the alias would then hide the command too."""
    for former, current in FORMER_NAMES.items():
        assert isinstance(main.commands[former], click.Command)
        assert main.commands[former] is not main.commands[current]
