"""Tests of large versions: members and gateways exchange them, and one over the limit is rejected when proposed."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from click.testing import CliRunner
from config_group import Group
from group_settings import settings_text

from pebblehinge.cli import main as cli
from pebblehinge.replicated_config.size_limits import MAX_TEXT_BYTES

# More than the default of `limits.frame`, and 1.5 times the size with 1,024 gateways and 2,048 storage nodes.
LARGE_TEXT_BYTES = 1_400_000


def pad(text: str, size: int) -> str:
    """Returns the same settings with comments up to a number of bytes."""
    while (missing := size - len(text)) > 0:
        text += "#" * min(100_000, missing - 1) + "\n"
    return text


def run_with_members(script: Any, seed: int = 7) -> None:
    """Runs a script with a group of three running members, without gateways and versions."""
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
    assert not group.loop.callback_errors, group.loop.callback_errors[:1]


def test_a_large_version_becomes_active_also_at_a_gateway_that_lacks_the_last_two_versions() -> None:
    """Guards against frames that exceed the configured limit: the operator was told that no member can be reached."""

    async def script(group: Group) -> None:
        for name in ("h1", "h2"):
            group.start_gateway(name)
        ok, reason = await group.propose(pad(settings_text(100), LARGE_TEXT_BYTES), 1)
        assert ok, reason
        await group.wait_until(lambda: all((m, v) == ("active", 1) for _, m, v in group.gateway_states.values()))
        group.kill_gateway("h2")  # its lease delays the next version, so that h3 needs two texts at once
        ok, reason = await group.propose(pad(settings_text(90), LARGE_TEXT_BYTES), 2)
        assert ok, reason
        group.start_gateway("h3")
        await group.wait_until(lambda: len(group.watchers["h3"].application.texts) == 2)
        assert set(map(len, group.watchers["h3"].application.texts.values())) == {LARGE_TEXT_BYTES}
        await group.wait_until(lambda: all(group.gateway_states[h][1:] == ("active", 2) for h in ("h1", "h3")))
        ok, diff = await group.ask("diff", a=1, b=2)
        assert ok and "-    limit 100/s" in diff

    run_with_members(script)


def test_a_text_over_the_limit_is_rejected_with_both_sizes_and_the_next_one_is_accepted() -> None:
    async def script(group: Group) -> None:
        ok, reply = await group.propose(pad(settings_text(100), MAX_TEXT_BYTES + 1), 1)
        assert not ok and reply == "the version's text has 3,145,729 bytes: expected at most 3,145,728"
        ok, reply = await group.propose(pad(settings_text(100), MAX_TEXT_BYTES), 2)
        assert ok and reply == "1", reply

    run_with_members(script)


def test_the_command_line_rejects_a_text_over_the_limit_before_it_connects(tmp_path: Path) -> None:
    (tmp_path / "group.conf").write_text(settings_text())
    users = "".join(f'user u{n} {{\n    secret "{"x" * 130_000}"\n}}\n' for n in range(26))
    (tmp_path / "new.conf").write_text(settings_text() + users)
    result = CliRunner().invoke(
        cli, ["config", "--group", str(tmp_path / "group.conf"), "propose", str(tmp_path / "new.conf")]
    )
    assert result.exit_code == 2 and "new.conf: the version's text has 3," in result.output, result.output
