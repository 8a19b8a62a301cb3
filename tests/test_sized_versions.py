"""Versions of the coming size between instances and heads; what is larger is refused before it can block the group."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from click.testing import CliRunner
from config_group import Group
from group_settings import settings_text

from pebblehinge.cli import main as cli
from pebblehinge.replicated_config.size_limits import MAX_TEXT_BYTES

LARGE = 1_400_000  # bytes: more than a frame of `limits frame`, half as much again as the coming size


def padded(text: str, size: int) -> str:
    """The same settings in so many bytes."""
    while (left := size - len(text)) > 0:
        text += "#" * min(100_000, left - 1) + "\n"
    return text


def in_a_group(script: Any, seed: int = 7) -> None:
    group = Group(seed)

    async def run() -> None:
        for n in range(1, 4):
            await group.start_member(f"g{n}")
        await group.wait_until(group.leader)
        await script(group)

    group.loop.run_until_complete(run())
    for task in asyncio.all_tasks(group.loop):
        task.cancel()
    group.loop.close()
    assert not group.loop.caught, group.loop.caught[:1]


def test_a_large_version_becomes_active_also_at_a_head_that_lacks_it_and_the_one_before() -> None:
    """Before, its frames were cut off as too large: the operator heard that no instance could be reached."""

    async def script(group: Group) -> None:
        for name in ("h1", "h2"):
            group.start_gateway(name)
        ok, said = await group.propose(padded(settings_text(100), LARGE), 1)
        assert ok, said
        await group.wait_until(lambda: all((m, v) == ("active", 1) for _, m, v in group.gateway_states.values()))
        group.kill_gateway("h2")  # its lease holds the next version back, so that two texts are wanted at once
        ok, said = await group.propose(padded(settings_text(90), LARGE), 2)
        assert ok, said
        group.start_gateway("h3")
        await group.wait_until(lambda: len(group.watchers["h3"].application.texts) == 2)
        assert set(map(len, group.watchers["h3"].application.texts.values())) == {LARGE}
        await group.wait_until(lambda: all(group.gateway_states[h][1:] == ("active", 2) for h in ("h1", "h3")))
        ok, said = await group.ask("diff", a=1, b=2)
        assert ok and "-    limit 100/s" in said

    in_a_group(script)


def test_a_text_beyond_the_bound_is_refused_with_both_sizes_and_the_next_one_is_agreed_on() -> None:
    async def script(group: Group) -> None:
        ok, said = await group.propose(padded(settings_text(100), MAX_TEXT_BYTES + 1), 1)
        assert not ok and said == "the version's text has 3,145,729 bytes: expected at most 3,145,728"
        ok, said = await group.propose(padded(settings_text(100), MAX_TEXT_BYTES), 2)
        assert ok and said == "1", said

    in_a_group(script)


def test_the_command_line_refuses_it_before_it_asks(tmp_path: Path) -> None:
    (tmp_path / "group.conf").write_text(settings_text())
    users = "".join(f'user u{n} {{\n    secret "{"x" * 130_000}"\n}}\n' for n in range(26))
    (tmp_path / "new.conf").write_text(settings_text() + users)
    got = CliRunner().invoke(
        cli, ["config", "--group", str(tmp_path / "group.conf"), "propose", str(tmp_path / "new.conf")]
    )
    assert got.exit_code == 2 and "new.conf: the version's text has 3," in got.output, got.output
