"""A limit is lowered far while a head is cut off: what is set aside for it must have been left by careful heads.

Seen by the drawn scripts of `wide_faults`: 'some 76 of 60'. A head that prepared for a version of 60 acted on its whole
part of the 60, and the version came into force with 16 set aside for a head that was cut off on an older one: until the
others heard of it, and at the worst for a lease, all together might send 76.
"""

from __future__ import annotations

import asyncio

from config_group import Group, run_with_group
from group_settings import settings_text


def lowered(limit: float, through: int) -> Group:
    """h1 of three is cut off on a limit of 250, of which its floor is 16.7."""

    async def script(g: Group) -> None:
        ok, said = await g.propose(settings_text(250), 2)
        assert ok, said
        await g.wait_until(lambda: all(act[1:] == ("active", 2) for act in g.gateway_states.values()))
        g.partitioned_names.add("h1")
        g.loop.net.partition(["h1"], [f"g{n}" for n in range(1, 6)])
        await g.wait_until(lambda: g.gateway_states["h1"][1] == "cut off")
        ok, said = await g.propose(settings_text(limit, through), 3)
        assert ok, said
        await asyncio.sleep(5.0)
        waits = g.active_version() == 2
        g.loop.net.heal(["h1"], [f"g{n}" for n in range(1, 6)])
        g.partitioned_names.clear()
        await g.wait_until(lambda: all(act[1:] == ("active", 3) for act in g.gateway_states.values()))
        g.waited = waits  # type: ignore[attr-defined]

    return run_with_group(script, 31)


def test_a_version_waits_where_those_who_are_careful_have_not_left_enough() -> None:
    assert lowered(20, 3).waited  # type: ignore[attr-defined]


def test_a_version_that_leaves_enough_is_in_force_without_the_head_that_is_away() -> None:
    assert not lowered(60, 3).waited  # type: ignore[attr-defined]
