"""Tests of a gateway's watcher alone: how often it renews, and what it does after a grant without a version."""

from __future__ import annotations

from typing import Any

import pytest
from group_settings import settings_text
from helpers import LOOPBACK

from pebblehinge.lab.simulated_fleet import WarningLog
from pebblehinge.lab.virtual import VirtualLoop
from pebblehinge.replicated_config.application_types import Grant
from pebblehinge.replicated_config.config_watcher import MAX_LEADERLESS_GRANTS, ConfigWatcher
from pebblehinge.replicated_config.version_application import VersionApplication
from pebblehinge.settings.load import loads
from pebblehinge.wire import Kind

SETTINGS_TEXT = settings_text(100)


class FakeConnection:
    """A watcher's connection to a member; records the renewals that are sent."""

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
    """A watcher with a connection to a member whose grants come from the test."""

    def __init__(self) -> None:
        self.loop = VirtualLoop(seed=1)
        machine = self.loop.node("h1")
        application = VersionApplication("h1", 0.2)
        self.watcher = ConfigWatcher(
            machine,
            lambda: machine.time() * 1000.0,
            loads(SETTINGS_TEXT),
            application,
            lambda *_: None,
            lambda _: None,
            WarningLog(),
        )
        self.connection = FakeConnection()
        self.watcher.connection = self.connection  # type: ignore[assignment]

    def grant(self, active: int = 0, text: str = "", lease_ms: float = 0.0, leader: str = "") -> None:
        self.watcher.on_grant(Grant(self.connection.renewals[-1][0], lease_ms, active, text, 0, "", {}, leader))

    def activate_version(self) -> None:
        """Makes version 1 active, with a lease."""
        self.watcher.renew()
        self.grant(1, SETTINGS_TEXT)
        self.grant(1, "", 2_000.0)
        assert self.watcher.application.effective_config(self.watcher.clock())[1] == "active"

    def run(self, seconds: float) -> int:
        """Runs for a time; returns the number of renewals that were sent."""
        renewal_count = len(self.connection.renewals)
        self.loop.run_until_complete(sleep(self.loop, seconds))
        return len(self.connection.renewals) - renewal_count


async def sleep(loop: VirtualLoop, seconds: float) -> None:
    timeout = loop.create_future()
    loop.call_later(seconds, timeout.set_result, None)
    await timeout


def test_many_requests_during_a_renewal_cause_one_further_renewal() -> None:
    rig = Rig()
    rig.activate_version()
    renewal_count = len(rig.connection.renewals)
    for _ in range(100):
        rig.watcher.request_renewal()
    assert len(rig.connection.renewals) == renewal_count + 1
    rig.grant(1, "", 2_000.0)
    assert len(rig.connection.renewals) == renewal_count + 2  # the first one was sent before the other requests
    rig.grant(1, "", 2_000.0)
    assert len(rig.connection.renewals) == renewal_count + 2


def test_a_version_is_acknowledged_at_once_and_reservations_are_not() -> None:
    rig = Rig()
    rig.watcher.renew()
    rig.grant(1, SETTINGS_TEXT)
    assert [r[2] for r in rig.connection.renewals] == [0, 1]
    rig.grant(1, "", 2_000.0)
    rig.watcher.renew()
    rig.watcher.on_grant(Grant(rig.connection.renewals[-1][0], 2_000.0, 1, "", 0, "", {"v": (1.0, 1.0)}, ""))
    assert rig.watcher.application.reservations and len(rig.connection.renewals) == 3


def test_renewals_without_progress_back_off_with_one_timer() -> None:
    """Guards against a retry loop for each grant without a lease, which renews every tick: 25 per second per event."""
    rig = Rig()
    rig.activate_version()
    rig.watcher.renew()
    for _ in range(30):
        rig.grant(1)
    delays_s = []
    for _ in range(6):
        started_at = rig.loop.now
        while not rig.run(0.005):
            assert rig.loop.now - started_at < 0.5
        delays_s.append(rig.loop.now - started_at)
        rig.grant(1)
    assert delays_s[0] < 0.06 and delays_s[-1] > 0.2, delays_s


def test_the_watcher_disconnects_after_some_grants_that_name_no_leader() -> None:
    rig = Rig()
    rig.activate_version()
    rig.watcher.renew()
    for n in range(MAX_LEADERLESS_GRANTS):
        assert not rig.connection.closed
        rig.grant()
        if n < MAX_LEADERLESS_GRANTS - 1:
            assert rig.run(0.5) == 1
    assert rig.connection.closed


@pytest.mark.parametrize(
    "leader, closed", [(FakeConnection.address, False), (f"{LOOPBACK}:6002", True)], ids=["itself", "another"]
)
def test_the_watcher_follows_a_redirect_unless_the_member_names_itself(leader: str, closed: bool) -> None:
    rig = Rig()
    rig.activate_version()
    rig.watcher.renew()
    rig.grant(leader=leader)
    assert rig.connection.closed == closed and rig.watcher.dialer.redirect_address == (leader if closed else "")
    if not closed:
        assert rig.run(0.5) == 1  # it renews again after its backoff


def test_a_redirected_gateway_reconnects_after_a_random_delay() -> None:
    rig = Rig()
    rig.activate_version()
    rig.watcher.renew()
    rig.grant(leader=f"{LOOPBACK}:6002")
    rig.watcher.on_connection_lost(rig.connection)  # type: ignore[arg-type]
    assert rig.watcher.dialer.task is None and rig.watcher.retry_timer is not None
    assert rig.loop.now < rig.watcher.retry_timer.when() <= rig.loop.now + 0.15  # half of the heartbeat's 300 ms


def test_a_connection_whose_dial_was_given_up_is_closed() -> None:
    """Guards against further connections that stay open and are notified of each version.

    On loopback, 200 gateways in one busy process had 328 connections to the leader.
    """
    rig, late_connection = Rig(), FakeConnection()
    rig.activate_version()
    rig.watcher.on_connected(late_connection)  # type: ignore[arg-type]
    assert (
        late_connection.closed
        and not late_connection.renewals
        and rig.watcher.connection is rig.connection
        and not rig.connection.closed
    )


def test_the_random_delays_of_gateways_differ_and_are_the_same_in_each_run() -> None:
    def first_random_number(name: str) -> float:
        machine = VirtualLoop(seed=1).node(name)
        application = VersionApplication(name, 0.2)
        return ConfigWatcher(
            machine, machine.time, loads(SETTINGS_TEXT), application, lambda *_: None, lambda _: None, WarningLog()
        ).rng.random()

    numbers = [first_random_number(f"h{n}") for n in range(1, 51)]
    assert numbers == [first_random_number(f"h{n}") for n in range(1, 51)] and len(set(numbers)) == 50
    assert min(numbers) < 0.1 and max(numbers) > 0.9
