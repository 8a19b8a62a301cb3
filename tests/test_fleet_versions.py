"""Versions through dozens of heads: frames a head that do not grow with heads, a leader's loss, heads that go and come.

Limits are summed over all heads every 7 ms meanwhile (`Group.watch`).
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter

import pytest
from gateway_fleet import Fleet, run_with_fleet

from pebblehinge.replicated_config.config_watcher import ConfigWatcher
from pebblehinge.replicated_config.lease_granting import LeaseGranting
from pebblehinge.wire import Kind

HEADS = 50


async def counted(fleet: Fleet) -> list[Counter[Kind]]:
    found = []
    for number in range(2, 5):
        fleet.sent_frames.clear()
        await fleet.roll_out(number, within=1.0)
        found.append(fleet.sent_frames.copy())
        await asyncio.sleep(1.0)
    return found


@pytest.mark.parametrize("heads", [5, HEADS])
def test_a_version_costs_a_head_a_few_frames_however_many_there_are(heads: int) -> None:
    """Before, with 50 heads: 51 NEWS, 52 RENEW and 52 GRANT a head and version, and 5,700 RAFT in all."""
    found: list[Counter[Kind]] = []

    async def script(f: Fleet) -> None:
        found.extend(await counted(f))

    run_with_fleet(script, heads)
    for sent in found:
        assert sent[Kind.NEWS] == 2 * heads
        # One for each news, one with its word, and a beat that may fall into it or stand for the first; those that are
        # out as the count begins or ends are counted by half.
        assert all(2 * heads <= sent[kind] <= 4 * heads for kind in (Kind.RENEW, Kind.GRANT)), sent
        assert sent[Kind.RAFT] <= 200


def test_the_count_notices_heads_that_are_told_of_each_others_words(monkeypatch: pytest.MonkeyPatch) -> None:
    """As it was before: each change of the state is news to all."""

    def tell(self: LeaseGranting) -> None:
        for conn in self.member.connections:
            if conn.session.peer_role == "head" and self.member.state.revision != getattr(conn, "told", 0):
                conn.told = self.member.state.revision
                conn.send(Kind.NEWS, self.member.state.revision)

    monkeypatch.setattr(LeaseGranting, "_notify", tell)
    found: list[Counter[Kind]] = []

    async def script(f: Fleet) -> None:
        found.extend(await counted(f))

    run_with_fleet(script, HEADS)
    assert all(sent[Kind.NEWS] > 2 * HEADS for sent in found)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_after_the_leaders_loss_heads_come_back_spread_and_none_is_cut_off(seed: int) -> None:
    async def script(f: Fleet) -> None:
        f.opened_connections.clear()
        f.kill_member(f.leader().name)
        began = f.clock()
        while f.clock() - began < 4_000:
            assert all(mode == "active" for _, mode, _ in f.gateway_states.values()), (
                f"{f.clock() - began:.0f} ms after the loss"
            )
            await asyncio.sleep(0.01)
        leader = f.leader()
        there = [at for at, _, address in f.opened_connections if address == leader.config.member[leader.name].listen]
        assert len(there) >= HEADS and len(f.opened_connections) <= 5 * HEADS
        # No fifth of a beat brings more than half of them.
        assert max(sum(at <= other < at + 60.0 for other in there) for at in there) <= HEADS / 2
        await f.roll_out(2)

    run_with_fleet(script, HEADS, seed)


def test_a_version_during_the_leaders_loss_is_in_force_within_the_bound() -> None:
    async def script(f: Fleet) -> None:
        leader = f.leader()
        f.loop.call_later(0.03, f.kill_member, leader.name)  # while heads are taking it up
        await f.roll_out(2, within=12.0)

    run_with_fleet(script, HEADS, 4)


def test_a_version_with_heads_dead_and_others_starting_is_in_force_within_the_bound() -> None:
    async def script(f: Fleet) -> None:
        rng = random.Random(5)
        mixed = rng.sample(f.gateway_names, len(f.gateway_names))
        dead, restarted = mixed[:5], mixed[5:15]
        for name in [*dead, *restarted]:
            f.kill_gateway(name)
        for n, name in enumerate(restarted):
            f.loop.call_later(0.02 * n, f.start_gateway, name)
        await f.roll_out(2, *dead, within=12.0)
        for name in dead:  # a zone's heads come back all at once
            f.start_gateway(name)
        await f.wait_until(lambda: f.is_active_everywhere(2), 3.0)
        await f.wait_until(lambda: not any(r for r, _ in f.leader().state.reservations.values()), 3.0)

    run_with_fleet(script, HEADS, 5)


class Impatient(ConfigWatcher):
    """Asks as heads of before did: at once at each news, and each tick for as long as it has no lease."""

    def request_renewal(self) -> None:
        self.renew()

    def _back_off(self) -> None:
        self.loop.call_later(self.group.tick / 1000.0, self.renew)


def test_heads_that_ask_as_those_of_before_are_served_beside_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        "config_group.ConfigWatcher",
        lambda *given: (Impatient if int(given[3].gateway[1:]) % 2 else ConfigWatcher)(*given),
    )

    async def script(f: Fleet) -> None:
        assert sum(isinstance(watcher, Impatient) for watcher in f.watchers.values()) == 10
        for number in range(2, 5):
            assert await f.roll_out(number) < 1_000

    run_with_fleet(script, 20)


def test_where_too_much_waits_heads_keep_their_connections_and_come_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen with 50 heads on loopback: 1,600 to 4,300 refused a version, each with an empty answer upon which the head
    closed its connection and turned elsewhere."""
    monkeypatch.setattr("pebblehinge.replicated_config.renewals.MAX_PENDING_RENEWALS", 5)

    async def script(f: Fleet) -> None:
        f.opened_connections.clear()
        assert await f.roll_out(2) < 12_000
        await asyncio.sleep(3.0)
        assert f.opened_connections == []
        assert all(mode == "active" for _, mode, _ in f.gateway_states.values())

    run_with_fleet(script, 20)
