"""Shared configuration under faults: drifting clocks, cut-off heads, killed instances, old leaders, strangers."""

from __future__ import annotations

import asyncio
import random

import pytest
from config_group import Group, run_with_group
from group_settings import settings_text

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.lab.village import Quiet
from pebblehinge.replicated_config.server import MemberServer
from pebblehinge.settings.load import loads


def cut_off_through_a_lowering(rates: dict[str, float]) -> Group:
    """A head is cut off just as a limit is lowered far: its lease must be over before the others share what is left."""

    async def script(g: Group) -> None:
        members = [f"g{n}" for n in range(1, 6)]
        for serial, limit in ((2, 300), (3, 90)):
            if serial == 3:
                g.partitioned_names.add("h1")
                g.loop.net.partition(["h1"], members)
            ok, said = await g.propose(settings_text(limit), serial)
            assert ok, said
            rest = [n for n in g.gateway_states if n not in g.partitioned_names]
            await g.wait_until(lambda s=serial, rest=rest: all(g.gateway_states[n][1:] == ("active", s) for n in rest))
        await asyncio.sleep(5.0)

    return run_with_group(script, 21, rates=rates)


@pytest.mark.parametrize("slow, fast", [(1.0, 1.0), (0.976, 1.0), (0.976, 1.024), (1.024, 0.976)])
def test_the_limit_holds_while_clocks_differ_by_no_more_than_the_drift(slow: float, fast: float) -> None:
    """5% are stated; here the head's clock is slow against the instances' by as much, the worst there is."""
    rates = {f"h{n}": slow for n in range(1, 5)} | {f"g{n}": fast for n in range(1, 6)}
    group = cut_off_through_a_lowering(rates)
    assert group.peak_utilization > 0.9


def test_a_clock_beyond_the_stated_drift_breaks_the_limit_and_is_seen() -> None:
    """What the drift in the settings is for: a clock at half speed holds its lease for twice as long."""
    with pytest.raises(AssertionError, match=r"of 90 by"):
        cut_off_through_a_lowering({"h1": 0.5})


@pytest.mark.parametrize("seed", range(12))
def test_limits_hold_through_changes_with_heads_and_instances_failing(seed: int) -> None:
    async def script(g: Group) -> None:
        rng = random.Random(seed)
        serial = 2
        members, heads = [f"g{n}" for n in range(1, 6)], [f"h{n}" for n in range(1, 5)]
        for _ in range(14):
            what = rng.random()
            dead = [n for n in members if g.machines[n].dead]
            if what < 0.2 and len(dead) < 2:
                g.kill_member(rng.choice([n for n in members if n not in dead]))
            elif what < 0.35 and dead:
                await g.start_member(dead[0])
            elif what < 0.5:
                name = rng.choice(heads)
                if g.gateway_states[name][1] == "dead":
                    g.start_gateway(name)
                else:
                    g.kill_gateway(name)
            elif what < 0.65:
                some = rng.sample(heads, 2) + rng.sample(members, rng.randint(0, 2))
                rest = [n for n in members + heads if n not in some]
                g.partitioned_names.update(some)
                g.loop.net.partition(some, rest, both=rng.random() < 0.7)
            elif what < 0.75:
                name = rng.choice(heads)
                if not g.machines[name].dead and name not in g.frozen_names:
                    # Stopped by signal: it sends nothing meanwhile, and its timers are late when it goes on.
                    g.frozen_names.add(name)
                    g.machines[name].freeze()
                    acts = g.gateway_states[name]
                    g.gateway_states[name] = (None, "frozen", acts[2])
                    await asyncio.sleep(rng.uniform(0.2, 5.0))
                    g.machines[name].thaw()
                    g.gateway_states[name] = (
                        g.watchers[name].application.effective_config(g.clock_of(g.machines[name])())[0],
                        "thawed",
                        acts[2],
                    )
                    g.frozen_names.discard(name)
            elif what < 0.85:
                g.loop.net.heal(members + heads, members + heads)
                g.partitioned_names.clear()
            else:
                ok, _ = await g.propose(
                    settings_text(rng.choice([20, 60, 100, 250]), rng.randint(2, 4)), serial, within=3.0
                )
                serial += 1
            await asyncio.sleep(rng.uniform(0.1, 4.0))
        g.loop.net.heal(members + heads, members + heads)
        g.partitioned_names.clear()
        for n in members:
            if g.machines[n].dead:
                await g.start_member(n)
        for h in heads:
            if g.gateway_states[h][1] == "dead":
                g.start_gateway(h)
        await g.wait_until(
            lambda: (
                g.active_version()
                and all((m, v) == ("active", g.active_version()) for _, m, v in g.gateway_states.values())
            ),
            60,
        )
        await g.wait_until(lambda: not any(r for r, _ in g.leader().state.reservations.values()))

    rng = random.Random(f"{seed}/clocks")
    names = [f"g{n}" for n in range(1, 6)] + [f"h{n}" for n in range(1, 5)]
    run_with_group(script, seed, rates={n: rng.uniform(0.976, 1.024) for n in names} if seed % 2 else None)


def test_an_old_leader_that_hears_no_majority_grants_no_lease() -> None:
    """Between its cut and its step-down it still believes that it leads; another may be reckoning without it."""

    async def script(g: Group) -> None:
        leader = g.leader()
        others = [n for n in g.members if n != leader.name]
        await g.wait_until(lambda: g.watchers["h1"].connection is not None)
        g.partitioned_names.add("h1")
        g.loop.net.partition([leader.name], others)
        g.loop.net.partition(["h1"], others)
        cut_at = g.clock()
        await asyncio.sleep(0.3)
        assert leader.node.is_leader
        await asyncio.sleep(1.0)
        assert g.watchers["h1"].application.lease_expires_ms <= cut_at + 2000.0 + 5.0

    run_with_group(script, 8)


def test_instances_of_another_group_are_not_listened_to() -> None:
    async def script(g: Group) -> None:
        term = g.leader().node.raft.current_term
        alien = g.loop.node("g9")
        strange = loads(settings_text().replace("group {", "group {\n    id strangers"))
        server = MemberServer(alien, g.clock, strange, "g5", FaultyDisk(random.Random(1)), Quiet(), 9)
        server.node.start()
        await asyncio.sleep(5.0)
        assert g.leader().node.raft.current_term == term and g.active_version() == 1

    run_with_group(script, 9)
