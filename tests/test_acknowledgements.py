"""Tests of acknowledgements in one log entry, and of the leases that a leader grants for them."""

from __future__ import annotations

from typing import Any

from config_group import Group, run_with_group
from group_settings import settings_text, stored_form

from pebblehinge.raft import Entry
from pebblehinge.replicated_config.lease_granting import RenewalRequest
from pebblehinge.replicated_config.state_machine import ConfigState
from pebblehinge.wire import Kind


def state_with(*commands: tuple[Any, ...]) -> ConfigState:
    state = ConfigState()
    for index, parts in enumerate(commands, 1):
        state.apply(Entry(1, index, 1, stored_form(*parts)))
    return state


PROPOSAL = ("propose", 0, settings_text(), "a", "")


def test_one_command_with_many_acknowledgements_equals_many_commands() -> None:
    gateways = [f"h{n}" for n in range(1, 101)]
    separate = state_with(PROPOSAL, *(("acknowledge", gateway, 1) for gateway in gateways))
    combined = state_with(PROPOSAL, ("taken_up", dict.fromkeys(gateways, 1)))
    assert separate.gateways == combined.gateways and len(combined.gateways) == 100
    assert ConfigState.restore(combined.dump()).dump() == combined.dump()
    revision = combined.revision
    combined.apply(Entry(1, 9, 1, stored_form("taken_up", dict.fromkeys(gateways, 1))))
    assert combined.revision == revision  # repeated acknowledgements don't make the leader compute again


def test_combined_acknowledgements_skip_older_unknown_and_rejected_versions() -> None:
    state = state_with(
        PROPOSAL,
        ("taken_up", {"h1": 1, "h2": 1, "h3": 7}),
        ("activate", 1, {}, 3),
        ("propose", 1, settings_text(50), "a", ""),
        ("taken_up", {"h1": 2}),
        ("refuse", 2, "h2: no"),
        ("taken_up", {"h1": 1, "h2": 2, "h3": 1}),
    )
    assert state.active == 1 and state.versions[2].rejection
    # h2's acknowledgement was in flight when the version was rejected: h2 rolls back, and renews with version 1.
    assert {name: row.version for name, row in state.gateways.items()} == {"h1": 1, "h2": 1, "h3": 1}


class FakeConnection:
    """A gateway's connection to the member; records the grants that are sent."""

    def __init__(self) -> None:
        self.grants: list[tuple[Any, ...]] = []

    def send(self, kind: Kind, *values: Any) -> None:
        assert kind is Kind.GRANT
        self.grants.append(values)


def test_lease_state_ends_with_its_term_even_if_the_same_member_leads_the_next() -> None:
    """Guards against leases granted on the state of an earlier term.

    Until its first tick a newly elected leader doesn't know which leases other leaders have granted in between.
    """

    async def script(g: Group) -> None:
        leader = g.leader()
        granting, raft = leader.lease_granting, leader.node.raft
        connection, later_connection = FakeConnection(), FakeConnection()
        granting.renewals.begin_round(g.clock())  # does not end in this term
        granting.on_renewal(connection, RenewalRequest(1, "h1", 1, 1, 0, ""))
        assert granting.is_leading and connection.grants == []
        raft.state.current_term += 1  # the member has lost and regained leadership within a tick
        granting.on_renewal(later_connection, RenewalRequest(2, "h2", 1, 1, 0, ""))
        assert later_connection.grants == [(2, 0.0, 0, "", 0, "", {}, "")]
        previous_leases = granting.leases
        granting.tick()
        assert granting.leases is not previous_leases and granting.leases.elected_ms == g.clock()
        assert connection.grants == [(1, 0.0, 0, "", 0, "", {}, "")]
        assert not granting.renewals.awaiting_round and not granting.renewals.in_round  # no second answer
        raft.state.current_term -= 1

    run_with_group(script)


def test_a_lease_requires_the_acknowledgement_of_the_newest_version_in_the_log() -> None:
    async def script(g: Group) -> None:
        granting = g.leader().lease_granting

        async def request_lease(gateway: str, acknowledged_version: int) -> float:
            connection = FakeConnection()
            granting.on_renewal(connection, RenewalRequest(1, gateway, acknowledged_version, 1, 0, ""))
            await g.wait_until(lambda: connection.grants, 1.0)
            return connection.grants[0][1]

        assert await request_lease("h1", 1) == 2_000.0
        assert await request_lease("h1", 0) == 0.0  # it has lost the version that it acknowledged
        assert await request_lease("new", 0) == 0.0 and "new" not in g.leader().state.gateways
        g.kill_gateway("h4")  # the next version stays pending until h4's lease expires
        ok, reason = await g.propose(settings_text(40), 2)
        assert ok, reason
        assert await request_lease("h2", 1) == 0.0 and g.leader().state.pending == 2
        assert await request_lease("new", 2) == 2_000.0 and g.leader().state.gateways["new"].version == 2

    run_with_group(script)
