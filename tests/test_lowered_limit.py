"""Tests of a rate limit that is lowered far while a gateway is cut off.

The share that is reserved for that gateway must have been left unused by the transitional gateways. Random scripts of
`large_group_faults` found that 76 units a second could be sent under a limit of 60: a transitional gateway, which had
acknowledged the version with the limit of 60, used its whole allowance of it, and the version became active with 16
reserved for a gateway that was cut off on an older version. Until the others learned of that reservation, at worst for
the duration of a lease, all together might have sent 76.
"""

from __future__ import annotations

import asyncio

from config_group import Group, run_with_group
from group_settings import settings_text


def lower_limit(limit: float, through: int) -> Group:
    """Lowers a limit of 250 while h1 of three gateways is cut off; h1's floor of the 250 is 16.7."""

    async def script(group: Group) -> None:
        ok, reply = await group.propose(settings_text(250), 2)
        assert ok, reply
        await group.wait_until(lambda: all(act[1:] == ("active", 2) for act in group.gateway_states.values()))
        group.partitioned_names.add("h1")
        group.loop.net.partition(["h1"], [f"g{n}" for n in range(1, 6)])
        await group.wait_until(lambda: group.gateway_states["h1"][1] == "cut off")
        ok, reply = await group.propose(settings_text(limit, through), 3)
        assert ok, reply
        await asyncio.sleep(5.0)
        still_waits = group.active_version() == 2
        group.loop.net.heal(["h1"], [f"g{n}" for n in range(1, 6)])
        group.partitioned_names.clear()
        await group.wait_until(lambda: all(act[1:] == ("active", 3) for act in group.gateway_states.values()))
        group.activation_waited = still_waits  # type: ignore[attr-defined]

    return run_with_group(script, 31)


def test_version_waits_if_transitional_gateways_have_not_left_enough() -> None:
    assert lower_limit(20, 3).activation_waited  # type: ignore[attr-defined]


def test_version_that_leaves_enough_becomes_active_without_the_gateway_that_is_cut_off() -> None:
    assert not lower_limit(60, 3).activation_waited  # type: ignore[attr-defined]
