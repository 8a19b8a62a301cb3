"""Shared configuration: arithmetic of parts, the state machine, and changes by five instances in virtual time."""

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

# ---- arithmetic


def test_parts_between_versions_never_sum_to_more_than_either_limit() -> None:
    rng = random.Random(4)
    names = [f"h{n}" for n in range(1, 5)]
    for _ in range(200):
        old = loads(settings_text(rng.choice([20, 50, 100, 300]), rng.randint(1, 4)))
        new = loads(settings_text(rng.choice([20, 50, 100, 300]), rng.randint(1, 4)))
        low = min(old.plan["capped"].limit, new.plan["capped"].limit)
        assert sum(allowed_rate(transitional_config(old, new, h), h) for h in names) <= low + RATE_TOLERANCE
        missing = rng.sample(names, rng.randint(0, 3))
        aside = reservations_for([(h, old) for h in missing], 0.2)
        if find_conflict(new, aside) is None:
            rest = subtract_reservations(new, aside)
            total = sum(allowed_rate(rest, h) for h in names if h not in missing)
            total += sum(allowed_rate(config_without_lease(old, 0.2), h) for h in missing)
            assert total <= new.plan["capped"].limit + RATE_TOLERANCE


def test_the_state_machine_applies_a_repeated_proposal_once_and_guards_the_base() -> None:
    state = ConfigState()

    def apply(index: int, *parts: Any, session: str = "", serial: int = 0) -> str:
        return apply_entry(state, Entry(1, index, 1, stored_form(*parts), session, serial))

    first = ("propose", 0, settings_text(), "a", "")
    assert apply(1, *first, session="s", serial=1) == "" and state.pending == 1
    assert apply(2, *first, session="s", serial=1) == "" and state.newest == 1  # sent twice
    assert "wait for it" in apply(3, "propose", 1, settings_text(50), "a", "")
    assert "moved on" in apply(4, "activate", 1, {}, state.revision - 1)
    assert apply(5, "activate", 1, {}, state.revision) == "" and (state.active, state.pending) == (1, 0)
    assert "based on version 0" in apply(6, "propose", 0, settings_text(50), "b", "")
    assert "unknown directive" in apply(7, "propose", 1, "rubbish 1\n", "b", "")
    assert ConfigState.restore(state.dump()).dump() == state.dump()
    assert apply(8, "propose", 1, settings_text(50), "b", "") == ""
    assert apply(9, "refuse", 2, "h1: no") == "" and state.pending == 0 and state.versions[2].rejection == "h1: no"


def test_without_sessions_a_repeated_proposal_would_be_applied_twice() -> None:
    class Forgetful(ConfigState):
        def apply(self, entry: Entry) -> CommandResult:
            self.sessions.clear()
            return super().apply(entry)

    for kind, wanted in ((ConfigState, ""), (Forgetful, "wait for it")):
        state = kind()
        entry = Entry(1, 1, 1, stored_form("propose", 0, settings_text(), "a", ""), "s", 1)
        again = Entry(1, 2, 1, stored_form("propose", 1, settings_text(), "a", ""), "s", 1)
        assert apply_entry(state, entry) == ""
        assert wanted in apply_entry(state, again)
        assert kind is ConfigState or "wait for it" in apply_entry(state, again)


def test_a_head_restarts_on_its_last_version_without_a_lease() -> None:
    application = VersionApplication("h1", 0.2)
    token = application.begin_renewal(100.0)
    assert application.apply_grant(Grant(token, 0.0, 1, settings_text(100), 0, "", {}))
    assert application.effective_config(100.0)[1] == "cut off"
    token = application.begin_renewal(200.0)
    application.apply_grant(Grant(token, 1000.0, 1, "", 0, "", {}))
    assert (
        application.effective_config(1199.0)[1] == "active" and application.effective_config(1200.0)[1] == "cut off"
    )  # from its own asking
    config, mode = VersionApplication.restore("h1", 0.2, application.dump()).effective_config(300.0)
    assert mode == "cut off" and allowed_rate(config, "h1") == pytest.approx(100 / 3 * 0.2)
    assert not application.apply_grant(Grant(999, 5000.0, 1, "", 0, "", {}))  # an answer to nothing that was asked
    token = application.begin_renewal(400.0)
    assert (
        not application.apply_grant(Grant(token, 0.0, 1, "", 2, "rubbish 1\n", {}))
        and application.rejection.version == 2
    )


# ---- the group


def test_a_change_reaches_all_heads_within_the_bound_and_the_limit_holds_throughout() -> None:
    async def script(g: Group) -> None:
        for serial, (limit, heads) in enumerate([(40, 3), (200, 3), (200, 4), (60, 2)], 2):
            ok, said = await g.propose(settings_text(limit, heads), serial)
            assert ok, said
            await g.wait_until(lambda s=serial: all((m, v) == ("active", s) for _, m, v in g.gateway_states.values()))

    group = run_with_group(script)
    assert max(group.divergence_times_ms, default=0.0) < 800  # nobody was cut off: a renewal or two
    assert group.peak_utilization > 0.9  # the limit was really used


def test_five_instances_two_killed_then_the_leader_every_change_once_in_order_everywhere() -> None:
    async def script(g: Group) -> None:
        serial = 2
        leader = g.leader()
        others = [n for n in g.members if n != leader.name]

        async def change() -> None:
            nonlocal serial
            ok, said = await g.propose(settings_text(50 + serial), serial)
            assert ok, said
            await g.wait_until(lambda: g.active_version() == serial)
            serial += 1

        await change()
        for name in others[:2]:
            g.kill_member(name)
        await change()
        g.kill_member(leader.name)
        ok, _ = await g.ask("history", within=3.0)
        assert not ok  # no majority: nothing new, and the last agreed version stays
        kept = serial - 1
        await asyncio.sleep(6.0)
        assert all(m == "cut off" and v >= kept - 1 for _, m, v in g.gateway_states.values())
        await g.start_member(others[0])
        await g.wait_until(g.leader)
        await change()
        await g.start_member(others[1])
        await g.start_member(leader.name)
        await change()
        await g.wait_until(lambda: len({m.node.raft.last_applied for m in g.members.values()}) == 1)
        texts = [[v.text for v in m.state.versions.values()] for m in g.members.values()]
        assert all(t == texts[0] for t in texts) and len(texts[0]) == serial - 1

    run_with_group(script, 3)


def test_a_member_keeps_nothing_of_what_it_applied_but_the_state() -> None:
    """Seen: a list for tests, in which every command that was ever applied stood for as long as the member ran."""

    async def script(g: Group) -> None:
        def held() -> int:
            return sum(len(v) for m in g.members.values() for v in vars(m).values() if isinstance(v, (list, dict)))

        before = held()
        for n in range(2, 10):
            ok, said = await g.propose(settings_text(40 + n), n)
            assert ok, said
            await g.wait_until(lambda n=n: all(v == n for _, _, v in g.gateway_states.values()))
        assert held() <= before + 4

    run_with_group(script)


def test_a_head_that_is_cut_off_is_counted_for_its_floor_until_it_is_back() -> None:
    async def script(g: Group) -> None:
        g.partitioned_names.add("h1")
        g.loop.net.partition(["h1"], [f"g{n}" for n in range(1, 6)])
        began = g.clock()
        ok, said = await g.propose(settings_text(40), 2)
        assert ok, said
        await g.wait_until(
            lambda: all((m, v) == ("active", 2) for n, (_, m, v) in g.gateway_states.items() if n != "h1")
        )
        # Its lease with the clocks' drift, and one more where a leader came anew; a renewal, the ways, an election.
        assert g.clock() - began < 2 * 2000 * 1.05 + 300 + 4 * 1 + 800
        assert g.gateway_states["h1"][1:] == ("cut off", 1)
        aside = g.leader().state.reservations["v"][0]
        assert aside == pytest.approx(100 / 3 * 0.2)
        assert allowed_rate(g.gateway_states["h2"][0], "h2") == pytest.approx((40 - aside) / 3, rel=1e-4)
        g.loop.net.heal(["h1"], [f"g{n}" for n in range(1, 6)])
        await g.wait_until(lambda: all((m, v) == ("active", 2) for _, m, v in g.gateway_states.values()))
        await g.wait_until(lambda: not any(r for r, _ in g.leader().state.reservations.values()))
        await g.wait_until(lambda: allowed_rate(g.gateway_states["h2"][0], "h2") == pytest.approx(40 / 3, rel=1e-4))

    run_with_group(script, 4)


def test_a_limit_under_what_a_missing_head_may_send_waits_until_it_is_forgotten() -> None:
    async def script(g: Group) -> None:
        g.kill_gateway("h1")
        ok, said = await g.propose(settings_text(5), 2)
        assert ok, said
        await asyncio.sleep(10.0)
        assert g.active_version() == 1  # 6.7 units a second may still come from h1, for all that the group knows
        ok, said = await g.ask("forget", head="h1")
        assert ok, said
        await g.wait_until(
            lambda: all((m, v) == ("active", 2) for n, (_, m, v) in g.gateway_states.items() if n != "h1")
        )

    run_with_group(script, 5)


def test_a_version_that_a_head_cannot_use_is_refused_as_a_whole() -> None:
    async def script(g: Group) -> None:
        ok, said = await g.propose(settings_text(70, 2, gateway_count=2), 2)  # heads 3 and 4 are not in it
        assert ok, said
        await g.wait_until(lambda: g.leader() and g.leader().state.versions[2].rejection)
        assert "it has no head 'h" in g.leader().state.versions[2].rejection
        await g.wait_until(lambda: all((m, v) == ("active", 1) for _, m, v in g.gateway_states.values()))
        ok, said = await g.propose(settings_text(70), 3)
        await g.wait_until(lambda: all((m, v) == ("active", 3) for _, m, v in g.gateway_states.values()))

    run_with_group(script, 6)
