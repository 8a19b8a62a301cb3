"""Tests of the replicated configuration: allowances, the state machine, and changes by five members in virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
from config_group import Group, run_with_group
from group_settings import RATE_TOLERANCE, allowed_rate, apply_entry, settings_text, stored_form

from pebblehinge.raft import Entry
from pebblehinge.replicated_config.activation import (
    config_without_lease,
    find_conflict,
    reservations_for,
    subtract_reservations,
    transitional_config,
)
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.replicated_config.commands import CommandResult
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings.load import loads

# ---- allowances


def test_allowances_between_versions_never_exceed_either_limit() -> None:
    rng = random.Random(4)
    names = [f"h{n}" for n in range(1, 5)]
    for _ in range(200):
        old = loads(settings_text(rng.choice([20, 50, 100, 300]), rng.randint(1, 4)))
        new = loads(settings_text(rng.choice([20, 50, 100, 300]), rng.randint(1, 4)))
        lower_limit = min(old.plan["capped"].limit, new.plan["capped"].limit)
        assert sum(allowed_rate(transitional_config(old, new, h), h) for h in names) <= lower_limit + RATE_TOLERANCE
        unreachable = rng.sample(names, rng.randint(0, 3))
        reservations = reservations_for([(h, old) for h in unreachable], 0.2)
        if find_conflict(new, reservations) is None:
            reduced = subtract_reservations(new, reservations)
            total = sum(allowed_rate(reduced, h) for h in names if h not in unreachable)
            total += sum(allowed_rate(config_without_lease(old, 0.2), h) for h in unreachable)
            assert total <= new.plan["capped"].limit + RATE_TOLERANCE


def test_the_state_machine_applies_a_repeated_proposal_once_and_checks_its_base() -> None:
    state = ConfigState()

    def apply(index: int, *parts: Any, session: str = "", serial: int = 0) -> str:
        return apply_entry(state, Entry(1, index, 1, stored_form(*parts), session, serial))

    proposal = ("propose", 0, settings_text(), "a", "")
    assert apply(1, *proposal, session="s", serial=1) == "" and state.pending == 1
    assert apply(2, *proposal, session="s", serial=1) == "" and state.newest == 1  # repeated
    assert "wait for it" in apply(3, "propose", 1, settings_text(50), "a", "")
    assert "moved on" in apply(4, "activate", 1, {}, state.revision - 1)
    assert apply(5, "activate", 1, {}, state.revision) == "" and (state.active, state.pending) == (1, 0)
    assert "based on version 0" in apply(6, "propose", 0, settings_text(50), "b", "")
    assert "unknown directive" in apply(7, "propose", 1, "rubbish 1\n", "b", "")
    assert ConfigState.restore(state.dump()).dump() == state.dump()
    assert apply(8, "propose", 1, settings_text(50), "b", "") == ""
    assert apply(9, "refuse", 2, "h1: no") == "" and state.pending == 0 and state.versions[2].rejection == "h1: no"


def test_without_sessions_a_repeated_proposal_is_not_recognized() -> None:
    """Shows that the test above depends on the sessions."""

    class StateWithoutSessions(ConfigState):
        def apply(self, entry: Entry) -> CommandResult:
            self.sessions.clear()
            return super().apply(entry)

    for state_class, reason in ((ConfigState, ""), (StateWithoutSessions, "wait for it")):
        state = state_class()
        entry = Entry(1, 1, 1, stored_form("propose", 0, settings_text(), "a", ""), "s", 1)
        repeated_entry = Entry(1, 2, 1, stored_form("propose", 1, settings_text(), "a", ""), "s", 1)
        assert apply_entry(state, entry) == ""
        assert reason in apply_entry(state, repeated_entry)
        assert state_class is ConfigState or "wait for it" in apply_entry(state, repeated_entry)


def test_a_gateway_restarts_on_its_last_version_without_a_lease() -> None:
    application = VersionApplication("h1", 0.2)
    token = application.begin_renewal(100.0)
    assert application.apply_grant(Grant(token, 0.0, 1, settings_text(100), 0, "", {}))
    assert application.effective_config(100.0)[1] == "cut off"
    token = application.begin_renewal(200.0)
    application.apply_grant(Grant(token, 1000.0, 1, "", 0, "", {}))
    assert (
        application.effective_config(1199.0)[1] == "active" and application.effective_config(1200.0)[1] == "cut off"
    )  # the lease of 1000 ms runs from the request
    config, mode = VersionApplication.restore("h1", 0.2, application.dump()).effective_config(300.0)
    assert mode == "cut off" and allowed_rate(config, "h1") == pytest.approx(100 / 3 * 0.2)
    assert not application.apply_grant(Grant(999, 5000.0, 1, "", 0, "", {}))  # an unknown token
    token = application.begin_renewal(400.0)
    assert (
        not application.apply_grant(Grant(token, 0.0, 1, "", 2, "rubbish 1\n", {}))
        and application.rejection.version == 2
    )


# ---- the group


def test_each_version_is_active_at_all_gateways_within_the_bound_and_the_limit_always_holds() -> None:
    async def script(g: Group) -> None:
        for serial, (limit, set_size) in enumerate([(40, 3), (200, 3), (200, 4), (60, 2)], 2):
            ok, reason = await g.propose(settings_text(limit, set_size), serial)
            assert ok, reason
            await g.wait_until(lambda s=serial: all((m, v) == ("active", s) for _, m, v in g.gateway_states.values()))

    group = run_with_group(script)
    assert max(group.divergence_times_ms, default=0.0) < 800  # no lease had to expire: this takes a renewal or two
    assert group.peak_utilization > 0.9  # the gateways could use nearly the whole limit


def test_all_members_hold_each_version_once_and_in_order_after_three_of_five_were_killed() -> None:
    async def script(g: Group) -> None:
        serial = 2
        leader = g.leader()
        others = [n for n in g.members if n != leader.name]

        async def activate_next_version() -> None:
            nonlocal serial
            ok, reason = await g.propose(settings_text(50 + serial), serial)
            assert ok, reason
            await g.wait_until(lambda: g.active_version() == serial)
            serial += 1

        await activate_next_version()
        for name in others[:2]:
            g.kill_member(name)
        await activate_next_version()
        g.kill_member(leader.name)
        ok, _ = await g.ask("history", within=3.0)
        assert not ok  # without a majority no version can follow, and gateways stay on the last one
        last_version = serial - 1
        await asyncio.sleep(6.0)
        assert all(m == "cut off" and v >= last_version - 1 for _, m, v in g.gateway_states.values())
        await g.start_member(others[0])
        await g.wait_until(g.leader)
        await activate_next_version()
        await g.start_member(others[1])
        await g.start_member(leader.name)
        await activate_next_version()
        await g.wait_until(lambda: len({m.node.raft.last_applied for m in g.members.values()}) == 1)
        texts = [[v.text for v in m.state.versions.values()] for m in g.members.values()]
        assert all(t == texts[0] for t in texts) and len(texts[0]) == serial - 1

    run_with_group(script, 3)


def test_the_collections_of_a_member_do_not_grow_with_the_versions() -> None:
    """Guards against a memory leak such as a list of all applied commands, which a member once kept for tests."""

    async def script(g: Group) -> None:
        def item_count() -> int:
            return sum(len(v) for m in g.members.values() for v in vars(m).values() if isinstance(v, (list, dict)))

        initial_count = item_count()
        for n in range(2, 10):
            ok, reason = await g.propose(settings_text(40 + n), n)
            assert ok, reason
            await g.wait_until(lambda n=n: all(v == n for _, _, v in g.gateway_states.values()))
        assert item_count() <= initial_count + 4

    run_with_group(script)


def test_the_floor_of_a_gateway_that_is_cut_off_is_reserved_until_it_reconnects() -> None:
    async def script(g: Group) -> None:
        g.partitioned_names.add("h1")
        g.loop.net.partition(["h1"], [f"g{n}" for n in range(1, 6)])
        proposed_at = g.clock()
        ok, reason = await g.propose(settings_text(40), 2)
        assert ok, reason
        await g.wait_until(
            lambda: all((m, v) == ("active", 2) for n, (_, m, v) in g.gateway_states.items() if n != "h1")
        )
        # Its lease with the drift, twice in case a new leader is elected; a renewal, four network delays, an election.
        assert g.clock() - proposed_at < 2 * 2000 * 1.05 + 300 + 4 * 1 + 800
        assert g.gateway_states["h1"][1:] == ("cut off", 1)
        reserved_rate = g.leader().state.reservations["v"][0]
        assert reserved_rate == pytest.approx(100 / 3 * 0.2)
        assert allowed_rate(g.gateway_states["h2"][0], "h2") == pytest.approx((40 - reserved_rate) / 3, rel=1e-4)
        g.loop.net.heal(["h1"], [f"g{n}" for n in range(1, 6)])
        await g.wait_until(lambda: all((m, v) == ("active", 2) for _, m, v in g.gateway_states.values()))
        await g.wait_until(lambda: not any(r for r, _ in g.leader().state.reservations.values()))
        await g.wait_until(lambda: allowed_rate(g.gateway_states["h2"][0], "h2") == pytest.approx(40 / 3, rel=1e-4))

    run_with_group(script, 4)


def test_a_limit_below_the_floor_of_a_dead_gateway_is_active_only_once_it_is_forgotten() -> None:
    async def script(g: Group) -> None:
        g.kill_gateway("h1")
        ok, reason = await g.propose(settings_text(5), 2)
        assert ok, reason
        await asyncio.sleep(10.0)
        assert g.active_version() == 1  # h1 may still send 6.7 units per second, as far as the group knows
        ok, reason = await g.ask("forget", head="h1")
        assert ok, reason
        await g.wait_until(
            lambda: all((m, v) == ("active", 2) for n, (_, m, v) in g.gateway_states.items() if n != "h1")
        )

    run_with_group(script, 5)


def test_a_version_that_one_gateway_cannot_use_is_rejected_for_all() -> None:
    async def script(g: Group) -> None:
        ok, reason = await g.propose(settings_text(70, 2, gateway_count=2), 2)  # without h3 and h4
        assert ok, reason
        await g.wait_until(lambda: g.leader() and g.leader().state.versions[2].rejection)
        assert "it has no head 'h" in g.leader().state.versions[2].rejection
        await g.wait_until(lambda: all((m, v) == ("active", 1) for _, m, v in g.gateway_states.values()))
        ok, reason = await g.propose(settings_text(70), 3)
        await g.wait_until(lambda: all((m, v) == ("active", 3) for _, m, v in g.gateway_states.values()))

    run_with_group(script, 6)
