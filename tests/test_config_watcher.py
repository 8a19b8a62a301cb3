"""A head's way to the group, alone: how many renewals it has out, and what it makes of an answer without a version."""

from __future__ import annotations

from typing import Any

import pytest
from group_settings import settings_text
from helpers import LOOPBACK

from pebblehinge.lab.village import Quiet
from pebblehinge.lab.virtual import VirtualLoop
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.replicated_config.config_watcher import MAX_LEADERLESS_GRANTS, ConfigWatcher
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings.load import loads
from pebblehinge.wire import Kind

TEXT = settings_text(100)


class Wire:
    """The instance's end."""

    address = f"{LOOPBACK}:6001"

    def __init__(self) -> None:
        self.renewals: list[tuple[Any, ...]] = []
        self.closed = False

    def send(self, kind: Kind, *values: Any) -> None:
        assert kind is Kind.RENEW and not self.closed
        self.renewals.append(values)

    def close(self) -> None:
        self.closed = True


class Rig:
    def __init__(self) -> None:
        self.world = VirtualLoop(seed=1)
        node = self.world.node("h1")
        application = VersionApplication("h1", 0.2)
        self.watcher = ConfigWatcher(
            node, lambda: node.time() * 1000.0, loads(TEXT), application, lambda *_: None, lambda _: None, Quiet()
        )
        self.wire = Wire()
        self.watcher.connection = self.wire  # type: ignore[assignment]

    def grant(self, active: int = 0, text: str = "", lease_ms: float = 0.0, leader: str = "") -> None:
        self.watcher.on_grant(Grant(self.wire.renewals[-1][0], lease_ms, active, text, 0, "", {}, leader))

    def in_force(self) -> None:
        self.watcher.renew()
        self.grant(1, TEXT)
        self.grant(1, "", 2_000.0)
        assert self.watcher.application.effective_config(self.watcher.clock())[1] == "active"

    def run(self, seconds: float) -> int:
        """Renewals that leave in so long."""
        before = len(self.wire.renewals)
        self.world.run_until_complete(sleep(self.world, seconds))
        return len(self.wire.renewals) - before


async def sleep(world: VirtualLoop, seconds: float) -> None:
    done = world.create_future()
    world.call_later(seconds, done.set_result, None)
    await done


def test_many_news_while_a_renewal_is_out_make_one_more() -> None:
    rig = Rig()
    rig.in_force()
    before = len(rig.wire.renewals)
    for _ in range(100):
        rig.watcher.request_renewal()
    assert len(rig.wire.renewals) == before + 1
    rig.grant(1, "", 2_000.0)
    assert len(rig.wire.renewals) == before + 2  # it may have left before the last of them
    rig.grant(1, "", 2_000.0)
    assert len(rig.wire.renewals) == before + 2


def test_what_was_taken_up_is_told_at_once_and_only_that() -> None:
    rig = Rig()
    rig.watcher.renew()
    rig.grant(1, TEXT)
    assert [r[2] for r in rig.wire.renewals] == [0, 1]
    rig.grant(1, "", 2_000.0)
    rig.watcher.renew()
    rig.watcher.on_grant(
        Grant(rig.wire.renewals[-1][0], 2_000.0, 1, "", 0, "", {"v": (1.0, 1.0)}, "")
    )  # set aside: kept, not told
    assert rig.watcher.application.reservations and len(rig.wire.renewals) == 3


def test_without_progress_it_asks_ever_more_seldom_and_in_one_line() -> None:
    """Each answer without a lease began another one that asked each tick: 25 a second, times the news."""
    rig = Rig()
    rig.in_force()
    rig.watcher.renew()
    for _ in range(30):
        rig.grant(1)
    left = []
    for _ in range(6):
        before = rig.world.now
        while not rig.run(0.005):
            assert rig.world.now - before < 0.5
        left.append(rig.world.now - before)
        rig.grant(1)
    assert left[0] < 0.06 and left[-1] > 0.2, left


def test_an_instance_that_knows_no_leader_is_left_after_some_answers() -> None:
    rig = Rig()
    rig.in_force()
    rig.watcher.renew()
    for n in range(MAX_LEADERLESS_GRANTS):
        assert not rig.wire.closed
        rig.grant()
        if n < MAX_LEADERLESS_GRANTS - 1:
            assert rig.run(0.5) == 1
    assert rig.wire.closed


@pytest.mark.parametrize(
    "leader, closed", [(Wire.address, False), (f"{LOOPBACK}:6002", True)], ids=["itself", "another"]
)
def test_one_that_names_another_leader_is_left_and_one_that_names_itself_is_not(leader: str, closed: bool) -> None:
    rig = Rig()
    rig.in_force()
    rig.watcher.renew()
    rig.grant(leader=leader)
    assert rig.wire.closed == closed and rig.watcher.dialer.redirect_address == (leader if closed else "")
    if not closed:
        assert rig.run(0.5) == 1  # it comes back


def test_a_head_that_is_sent_on_comes_after_a_while_of_its_own() -> None:
    rig = Rig()
    rig.in_force()
    rig.watcher.renew()
    rig.grant(leader=f"{LOOPBACK}:6002")
    rig.watcher.on_connection_lost(rig.wire)  # type: ignore[arg-type]
    assert rig.watcher.dialer.task is None and rig.watcher.retry_timer is not None
    assert rig.world.now < rig.watcher.retry_timer.when() <= rig.world.now + 0.15  # half a beat


def test_a_connection_that_comes_after_it_was_given_up_is_closed() -> None:
    """Seen on loopback with 200 heads in one busy process: 328 connections stood at the leader, each told of news."""
    rig, late = Rig(), Wire()
    rig.in_force()
    rig.watcher.on_connected(late)  # type: ignore[arg-type]
    assert late.closed and not late.renewals and rig.watcher.connection is rig.wire and not rig.wire.closed


def test_heads_spread_by_their_names_and_alike_in_each_run() -> None:
    def pause(name: str) -> float:
        node = VirtualLoop(seed=1).node(name)
        application = VersionApplication(name, 0.2)
        return ConfigWatcher(
            node, node.time, loads(TEXT), application, lambda *_: None, lambda _: None, Quiet()
        ).rng.random()

    drawn = [pause(f"h{n}") for n in range(1, 51)]
    assert drawn == [pause(f"h{n}") for n in range(1, 51)] and len(set(drawn)) == 50
    assert min(drawn) < 0.1 and max(drawn) > 0.9
