"""Tests of the replicated configuration with faults: drifting clocks, partitions, killed members and old leaders."""

from __future__ import annotations

import asyncio
import random

import pytest
from config_group import Group, run_with_group
from group_settings import settings_text

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.lab.simulated_fleet import WarningLog
from pebblehinge.replicated_config.server import MemberServer
from pebblehinge.settings.load import loads


def lower_limit_during_partition(clock_rates: dict[str, float]) -> Group:
    """Partitions a gateway off as a limit is lowered: its lease must expire before the others share the lower limit."""

    async def script(g: Group) -> None:
        members = [f"g{n}" for n in range(1, 6)]
        for serial, limit in ((2, 300), (3, 90)):
            if serial == 3:
                g.partitioned_names.add("h1")
                g.loop.net.partition(["h1"], members)
            ok, reason = await g.propose(settings_text(limit), serial)
            assert ok, reason
            others = [n for n in g.gateway_states if n not in g.partitioned_names]
            await g.wait_until(
                lambda s=serial, others=others: all(g.gateway_states[n][1:] == ("active", s) for n in others)
            )
        await asyncio.sleep(5.0)

    return run_with_group(script, 21, clock_rates=clock_rates)


@pytest.mark.parametrize("gateway_rate, member_rate", [(1.0, 1.0), (0.976, 1.0), (0.976, 1.024), (1.024, 0.976)])
def test_the_limit_holds_while_clocks_differ_by_no_more_than_the_drift(gateway_rate: float, member_rate: float) -> None:
    """Covers the worst case: gateways' clocks are slower than members' by nearly the 5% that the settings state."""
    clock_rates = {f"h{n}": gateway_rate for n in range(1, 5)} | {f"g{n}": member_rate for n in range(1, 6)}
    group = lower_limit_during_partition(clock_rates)
    assert group.peak_utilization > 0.9


def test_a_clock_beyond_the_stated_drift_violates_the_limit() -> None:
    """Shows why the settings state a drift: a gateway whose clock runs at half speed holds its lease twice as long."""
    with pytest.raises(AssertionError, match=r"with a limit of 90: "):
        lower_limit_during_partition({"h1": 0.5})


@pytest.mark.parametrize("seed", range(12))
def test_limits_hold_through_random_faults_and_new_versions(seed: int) -> None:
    async def script(g: Group) -> None:
        rng = random.Random(seed)
        serial = 2
        members, gateways = [f"g{n}" for n in range(1, 6)], [f"h{n}" for n in range(1, 5)]
        for _ in range(14):
            choice = rng.random()
            dead_members = [n for n in members if g.machines[n].dead]
            if choice < 0.2 and len(dead_members) < 2:
                g.kill_member(rng.choice([n for n in members if n not in dead_members]))
            elif choice < 0.35 and dead_members:
                await g.start_member(dead_members[0])
            elif choice < 0.5:
                name = rng.choice(gateways)
                if g.gateway_states[name][1] == "dead":
                    g.start_gateway(name)
                else:
                    g.kill_gateway(name)
            elif choice < 0.65:
                isolated = rng.sample(gateways, 2) + rng.sample(members, rng.randint(0, 2))
                others = [n for n in members + gateways if n not in isolated]
                g.partitioned_names.update(isolated)
                g.loop.net.partition(isolated, others, both=rng.random() < 0.7)
            elif choice < 0.75:
                name = rng.choice(gateways)
                if not g.machines[name].dead and name not in g.frozen_names:
                    # As SIGSTOP does: the gateway sends nothing, and its timers fire late when it is resumed.
                    g.frozen_names.add(name)
                    g.machines[name].freeze()
                    state = g.gateway_states[name]
                    g.gateway_states[name] = (None, "frozen", state[2])
                    await asyncio.sleep(rng.uniform(0.2, 5.0))
                    g.machines[name].thaw()
                    g.gateway_states[name] = (
                        g.watchers[name].application.effective_config(g.clock_of(g.machines[name])())[0],
                        "thawed",
                        state[2],
                    )
                    g.frozen_names.discard(name)
            elif choice < 0.85:
                g.loop.net.heal(members + gateways, members + gateways)
                g.partitioned_names.clear()
            else:
                ok, _ = await g.propose(
                    settings_text(rng.choice([20, 60, 100, 250]), rng.randint(2, 4)), serial, within=3.0
                )
                serial += 1
            await asyncio.sleep(rng.uniform(0.1, 4.0))
        g.loop.net.heal(members + gateways, members + gateways)
        g.partitioned_names.clear()
        for n in members:
            if g.machines[n].dead:
                await g.start_member(n)
        for gateway in gateways:
            if g.gateway_states[gateway][1] == "dead":
                g.start_gateway(gateway)
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
    run_with_group(script, seed, clock_rates={n: rng.uniform(0.976, 1.024) for n in names} if seed % 2 else None)


def test_a_deposed_leader_without_a_majority_grants_no_lease() -> None:
    """Guards against leases from a partitioned leader that has not stepped down, while another one may activate."""

    async def script(g: Group) -> None:
        leader = g.leader()
        others = [n for n in g.members if n != leader.name]
        await g.wait_until(lambda: g.watchers["h1"].connection is not None)
        g.partitioned_names.add("h1")
        g.loop.net.partition([leader.name], others)
        g.loop.net.partition(["h1"], others)
        partitioned_at = g.clock()
        await asyncio.sleep(0.3)
        assert leader.node.is_leader
        await asyncio.sleep(1.0)
        assert g.watchers["h1"].application.lease_expires_ms <= partitioned_at + 2000.0 + 5.0

    run_with_group(script, 8)


def test_members_of_another_group_are_ignored() -> None:
    async def script(g: Group) -> None:
        term = g.leader().node.raft.current_term
        foreign_machine = g.loop.node("g9")
        foreign_config = loads(settings_text().replace("group {", "group {\n    id strangers"))
        server = MemberServer(
            foreign_machine, g.clock, foreign_config, "g5", FaultyDisk(random.Random(1)), WarningLog(), 9
        )
        server.node.start()
        await asyncio.sleep(5.0)
        assert g.leader().node.raft.current_term == term and g.active_version() == 1

    run_with_group(script, 9)
