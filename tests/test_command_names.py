"""Commands carry the standard names; the former ones go on unlisted, since units and scripts out there use them."""

from __future__ import annotations

import click
import pytest
from click.testing import CliRunner

from pebblehinge.cli import main

FORMER_NAMES = {"head": "gateway", "shelf": "storage-node", "listing": "discovery"}


def listed_commands() -> set[str]:
    """The commands that `pebblehinge --help` names."""
    result = CliRunner().invoke(main, ["--help"])
    assert result.exit_code == 0
    commands = result.output.split("Commands:")[1].splitlines()
    return {line.split()[0] for line in commands if line.strip()}


@pytest.mark.parametrize("former", FORMER_NAMES)
def test_a_former_name_does_what_the_command_does_and_is_not_listed(former: str) -> None:
    current = FORMER_NAMES[former]
    command, alias = main.commands[current], main.commands[former]
    assert alias.hidden and not command.hidden
    assert alias.callback is command.callback
    assert [option.opts for option in alias.params] == [option.opts for option in command.params]
    assert current in listed_commands() and former not in listed_commands()


@pytest.mark.parametrize("name", [*FORMER_NAMES, *FORMER_NAMES.values()])
def test_a_missing_file_is_one_line_under_either_name(name: str) -> None:
    result = CliRunner().invoke(main, [name, "no-such-file.conf"])
    assert result.exit_code == 2
    assert "no-such-file.conf" in result.output


def test_an_alias_is_a_command_of_its_own() -> None:
    """Hiding the alias must not hide the command: both are objects of their own."""
    for former, current in FORMER_NAMES.items():
        assert isinstance(main.commands[former], click.Command)
        assert main.commands[former] is not main.commands[current]
