"""Versions that are proposed while one is pending: in order, bounded, refused with one clear line where it lasts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from config_group import Group, run_with_group
from gateway_fleet import Fleet, run_with_fleet
from group_settings import settings_text

from pebblehinge.lab.virtual import VirtualLoop
from pebblehinge.replicated_config.commands import CommandResult, ProposeVersion
from pebblehinge.replicated_config.proposal_queue import MAX_QUEUE_TIME_MS, MAX_QUEUED_PROPOSALS, ProposalQueue
from pebblehinge.replicated_config.replies import OperatorReply
from pebblehinge.replicated_config.state_machine import ConfigState


class Instance:
    """A leader whose log takes everything at once, and whose versions are taken up when the test says so."""

    def __init__(self) -> None:
        self.loop = VirtualLoop(seed=1)
        self.state = ConfigState()
        self.proposed: list[Callable[[CommandResult], None]] = []
        self.told: list[tuple[str, bool, str]] = []
        self.proposals = ProposalQueue(self)

    def propose(self, data: bytes, done: Callable[[CommandResult], None], session: str = "", serial: int = 0) -> bool:
        self.proposed.append(done)
        return True

    def come(self, name: str, session: str = "") -> None:
        def reply(answer: OperatorReply) -> None:
            self.told.append((name, answer.ok, answer.text))

        self.proposals.add(ProposeVersion(0, settings_text(), name, ""), session, 1, reply)

    def commit(self) -> None:
        """The proposal that is under way is applied, and pending from now on."""
        self.state.pending += 1
        self.proposed[-1](CommandResult())
        self.proposals.propose_next()

    def taken_up(self) -> None:
        self.state.pending = 0
        self.proposals.propose_next()


def test_one_is_proposed_at_a_time_and_the_next_when_nothing_is_pending() -> None:
    instance = Instance()
    for name in "abc":
        instance.come(name)
    assert len(instance.proposed) == 1
    instance.commit()
    assert len(instance.proposed) == 1 and [t[:2] for t in instance.told] == [("a", True)]
    instance.taken_up()
    assert len(instance.proposed) == 2
    instance.commit()
    instance.taken_up()
    instance.commit()
    assert [name for name, ok, _ in instance.told if ok] == ["a", "b", "c"]


def test_one_that_is_asked_again_keeps_its_place_and_hears_once() -> None:
    instance = Instance()
    instance.come("a")
    instance.commit()
    instance.come("b", session="s")
    instance.come("c")
    instance.come("b again", session="s")
    instance.taken_up()
    instance.commit()
    instance.taken_up()
    instance.commit()
    assert [name for name, _, _ in instance.told] == ["a", "b again", "c"]


def test_what_waits_is_bounded_in_number_and_in_time() -> None:
    instance = Instance()
    instance.come("first")
    instance.commit()
    for n in range(MAX_QUEUED_PROPOSALS + 1):
        instance.come(f"n{n}")
    assert instance.told[1:] == [
        (f"n{MAX_QUEUED_PROPOSALS}", False, f"{MAX_QUEUED_PROPOSALS} versions wait already: expected 16 at most")
    ]
    instance.loop.run_until_complete(passes(instance.loop, MAX_QUEUE_TIME_MS / 1000.0 + 0.001))
    said = {said for _, ok, said in instance.told[2:] if not ok}
    assert said == {"version 1 is being taken up: wait for it"} and len(instance.told) == 2 + MAX_QUEUED_PROPOSALS
    assert not instance.proposals.queue
    instance.come("late")
    instance.proposals.lose_leadership()
    assert "leads no more" in instance.told[-1][2] and not instance.proposals.queue


async def passes(loop: VirtualLoop, seconds: float) -> None:
    done = loop.create_future()
    loop.call_later(seconds, done.set_result, None)
    await done


@pytest.mark.parametrize("gap_s", [None, 0.01])
def test_each_of_a_burst_of_ten_is_in_force_within_the_bound(gap_s: float | None) -> None:
    """One after another as each is agreed on, and ten that come a hundredth of a second apart."""
    took: dict[int, float] = {}

    async def one(f: Fleet, number: int) -> None:
        began = f.clock()
        values = {
            "text": f.text(100 + number),
            "base": number - 1,
            "session": f"s{number}",
            "serial": 1,
            "within": 12.0,
        }
        ok, said = await f.ask("propose", **values)
        assert ok, said
        await f.wait_until(
            lambda: all(v >= number and m in ("active", "careful") for _, m, v in f.gateway_states.values()), 12.0
        )
        took[number] = f.clock() - began

    async def script(f: Fleet) -> None:
        waiting = []
        for number in range(2, 12):
            waiting.append(asyncio.ensure_future(one(f, number)))
            if gap_s is not None:
                await asyncio.sleep(gap_s)
            else:
                await f.wait_until(lambda n=number: any(m.state.newest >= n for m in f.members.values()), 12.0)
        for task in waiting:
            await task
        assert f.is_active_everywhere(11)

    run_with_fleet(script, 30)
    assert len(took) == 10 and max(took.values()) < 12_000


def test_a_version_that_stays_pending_is_named_to_who_proposes_beside_it() -> None:
    async def script(g: Group) -> None:
        g.kill_gateway("h1")
        ok, said = await g.propose(settings_text(5), 2)  # less than what h1 may still send: it stays pending
        assert ok, said
        began = g.clock()
        ok, said = await g.ask("propose", text=settings_text(50), base=2, session="x", serial=1, within=4.0)
        assert (ok, said) == (False, "version 2 is being taken up: wait for it")
        assert g.clock() - began < 9_000
        ok, said = await g.ask("forget", head="h1")
        assert ok, said
        ok, said = await g.ask(
            "propose", text=settings_text(50), base=2, session="x", serial=1
        )  # as it was asked before
        assert ok, said

    run_with_group(script, 5)
