"""The shutdown as a property over drawn orders of events, from fixed seeds.

Clock, wire and storage nodes are scripted; the registry, the core, the scheduler and the shutdown are the real ones.
Each turn is as unkind as a loop may be: timers go first, what came meanwhile lies unread, and some turns are long.
"""

from __future__ import annotations

from typing import Any

import pytest
from shutdown_simulation import World

from pebblehinge.service import client_connection


@pytest.mark.parametrize("seed", range(20))
def test_whatever_the_order_all_that_was_taken_gets_one_whole_answer(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = World(seed)
    monkeypatch.setattr(client_connection, "is_readable", lambda number: bool(world.wires[number].unread))
    monkeypatch.setattr(client_connection, "is_peer_closed", lambda wire: wire.gone())
    world.play()
    assert world.done and not world.core.open_count and not world.queue
    assert sum(w.whole for w in world.wires) > 60
    for wire in world.wires:
        assert not wire.out and not (wire.unread and not wire.shut)
        refused_half = wire.answers == wire.whole + 1 and wire.shut and wire.halves
        assert wire.answers == wire.whole or refused_half, (wire.number, wire.answers, wire.whole)


def test_whatever_the_order_nothing_begins_for_a_client_that_has_gone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Half of the clients go at drawn times, what they sent yet unread or not; each that stays has its answers."""
    never = 0
    for seed in range(30):
        world = World(seed)
        monkeypatch.setattr(client_connection, "is_readable", lambda number, w=world: bool(w.wires[number].unread))
        monkeypatch.setattr(client_connection, "is_peer_closed", lambda wire: wire.gone())
        come = world.come

        def comes(world: World = world, come: Any = come) -> None:
            come()
            if world.rng.random() < 0.5:
                world.wires[-1].goes_ms = world.now + world.rng.uniform(0.0, 2000.0)

        world.come = comes  # type: ignore[method-assign]
        world.play()
        assert world.done and not (
            world.core.open_count or world.core.pending or world.registry.open_request_ids or world.queue
        )
        counts = world.core.counts
        assert counts.received == counts.succeeded + counts.rejected + counts.failed + counts.client_gone
        for wire in world.wires:
            if not wire.gone():
                refused_half = wire.answers == wire.whole + 1 and wire.shut and wire.halves
                assert wire.answers == wire.whole or refused_half
        never += world.never
    assert never > 5
