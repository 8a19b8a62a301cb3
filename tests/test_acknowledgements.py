"""Acknowledgements of many heads in one entry, and what a leader keeps of renewals over its terms."""

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


PROPOSED = ("propose", 0, settings_text(), "a", "")


def test_one_entry_holds_what_many_entries_held() -> None:
    heads = [f"h{n}" for n in range(1, 101)]
    many = state_with(PROPOSED, *(("acknowledge", head, 1) for head in heads))
    one = state_with(PROPOSED, ("taken_up", dict.fromkeys(heads, 1)))
    assert many.gateways == one.gateways and len(one.gateways) == 100
    assert ConfigState.restore(one.dump()).dump() == one.dump()
    before = one.revision
    one.apply(
        Entry(1, 9, 1, stored_form("taken_up", dict.fromkeys(heads, 1)))
    )  # nothing new: nothing to reckon from anew
    assert one.revision == before


def test_a_batch_keeps_what_is_newer_and_passes_over_what_is_not_known_or_was_refused() -> None:
    state = state_with(
        PROPOSED,
        ("taken_up", {"h1": 1, "h2": 1, "h3": 7}),
        ("activate", 1, {}, 3),
        ("propose", 1, settings_text(50), "a", ""),
        ("taken_up", {"h1": 2}),
        ("refuse", 2, "h2: no"),
        ("taken_up", {"h1": 1, "h2": 2, "h3": 1}),
    )
    assert state.active == 1 and state.versions[2].rejection
    # h2's word was on its way when the version was refused: it goes back, and its lease is asked for by version 1.
    assert {name: row.version for name, row in state.gateways.items()} == {"h1": 1, "h2": 1, "h3": 1}


class Conn:
    """A head's connection at the instance."""

    def __init__(self) -> None:
        self.grants: list[tuple[Any, ...]] = []

    def send(self, kind: Kind, *values: Any) -> None:
        assert kind is Kind.GRANT
        self.grants.append(values)


def test_nothing_of_a_term_outlives_it_even_where_the_same_instance_leads_the_next() -> None:
    """Between its election and its first look a leader knows nothing of the leases that others granted meanwhile."""

    async def script(g: Group) -> None:
        leader = g.leader()
        granting, raft = leader.lease_granting, leader.node.raft
        waiting, later = Conn(), Conn()
        granting.renewals.begin_round(g.clock())  # one that will not be over in this term
        granting.on_renewal(waiting, RenewalRequest(1, "h1", 1, 1, 0, ""))
        assert granting.is_leading and waiting.grants == []
        raft.state.current_term += 1  # it lost the lead and has it again, within a tick
        granting.on_renewal(later, RenewalRequest(2, "h2", 1, 1, 0, ""))
        assert later.grants == [(2, 0.0, 0, "", 0, "", {}, "")]
        was = granting.leases
        granting.tick()
        assert granting.leases is not was and granting.leases.elected_ms == g.clock()
        assert waiting.grants == [(1, 0.0, 0, "", 0, "", {}, "")]
        assert not granting.renewals.awaiting_round and not granting.renewals.in_round  # answered once, and not again
        raft.state.current_term -= 1

    run_with_group(script)


def test_a_lease_is_for_heads_alone_whose_word_for_what_is_to_come_is_in_the_log() -> None:
    async def script(g: Group) -> None:
        granting = g.leader().lease_granting

        async def lease(head: str, acknowledges: int) -> float:
            conn = Conn()
            granting.on_renewal(conn, RenewalRequest(1, head, acknowledges, 1, 0, ""))
            await g.wait_until(lambda: conn.grants, 1.0)
            return conn.grants[0][1]

        assert await lease("h1", 1) == 2_000.0
        assert await lease("h1", 0) == 0.0  # it has lost what it acknowledged
        assert await lease("new", 0) == 0.0 and "new" not in g.leader().state.gateways
        g.kill_gateway("h4")  # the next version stays pending for as long as its lease runs
        ok, said = await g.propose(settings_text(40), 2)
        assert ok, said
        assert await lease("h2", 1) == 0.0 and g.leader().state.pending == 2
        assert await lease("new", 2) == 2_000.0 and g.leader().state.gateways["new"].version == 2

    run_with_group(script)
