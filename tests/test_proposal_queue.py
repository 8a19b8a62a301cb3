"""Tests of versions that are proposed while another one is pending: their order, their limits, and their errors."""

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


class FakeLeader:
    """A leader whose log accepts every proposal, and which applies proposals and activations when the test says so."""

    def __init__(self) -> None:
        self.loop = VirtualLoop(seed=1)
        self.state = ConfigState()
        self.result_callbacks: list[Callable[[CommandResult], None]] = []  # of the proposals in the log
        self.replies: list[tuple[str, bool, str]] = []  # the proposal's name, ok, text
        self.proposal_queue = ProposalQueue(self)

    def propose(
        self, data: bytes, on_result: Callable[[CommandResult], None], session: str = "", serial: int = 0
    ) -> bool:
        self.result_callbacks.append(on_result)
        return True

    def add_proposal(self, name: str, session: str = "") -> None:
        def send_reply(reply: OperatorReply) -> None:
            self.replies.append((name, reply.ok, reply.text))

        self.proposal_queue.add(ProposeVersion(0, settings_text(), name, ""), session, 1, send_reply)

    def apply_proposal(self) -> None:
        """Applies the proposal in flight, so that its version is pending."""
        self.state.pending += 1
        self.result_callbacks[-1](CommandResult())
        self.proposal_queue.propose_next()

    def activate_pending(self) -> None:
        self.state.pending = 0
        self.proposal_queue.propose_next()


def test_one_version_is_proposed_at_a_time_and_only_when_none_is_pending() -> None:
    leader = FakeLeader()
    for name in "abc":
        leader.add_proposal(name)
    assert len(leader.result_callbacks) == 1
    leader.apply_proposal()
    assert len(leader.result_callbacks) == 1 and [r[:2] for r in leader.replies] == [("a", True)]
    leader.activate_pending()
    assert len(leader.result_callbacks) == 2
    leader.apply_proposal()
    leader.activate_pending()
    leader.apply_proposal()
    assert [name for name, ok, _ in leader.replies if ok] == ["a", "b", "c"]


def test_a_retried_proposal_keeps_its_place_and_is_answered_once() -> None:
    leader = FakeLeader()
    leader.add_proposal("a")
    leader.apply_proposal()
    leader.add_proposal("b", session="s")
    leader.add_proposal("c")
    leader.add_proposal("b retried", session="s")
    leader.activate_pending()
    leader.apply_proposal()
    leader.activate_pending()
    leader.apply_proposal()
    assert [name for name, _, _ in leader.replies] == ["a", "b retried", "c"]


def test_the_queue_is_bounded_in_length_and_in_time() -> None:
    leader = FakeLeader()
    leader.add_proposal("first")
    leader.apply_proposal()
    for n in range(MAX_QUEUED_PROPOSALS + 1):
        leader.add_proposal(f"n{n}")
    assert leader.replies[1:] == [
        (f"n{MAX_QUEUED_PROPOSALS}", False, f"{MAX_QUEUED_PROPOSALS} versions wait already: expected 16 at most")
    ]
    leader.loop.run_until_complete(sleep(leader.loop, MAX_QUEUE_TIME_MS / 1000.0 + 0.001))
    reasons = {text for _, ok, text in leader.replies[2:] if not ok}
    assert reasons == {"version 1 is being taken up: wait for it"} and len(leader.replies) == 2 + MAX_QUEUED_PROPOSALS
    assert not leader.proposal_queue.queue
    leader.add_proposal("late")
    leader.proposal_queue.lose_leadership()
    assert "leads no more" in leader.replies[-1][2] and not leader.proposal_queue.queue


async def sleep(loop: VirtualLoop, seconds: float) -> None:
    timeout = loop.create_future()
    loop.call_later(seconds, timeout.set_result, None)
    await timeout


@pytest.mark.parametrize("gap_s", [None, 0.01])
def test_each_of_ten_successive_versions_is_active_within_the_bound(gap_s: float | None) -> None:
    """Proposes ten versions: each when the one before is stored, or one every 10 ms."""
    latencies_ms: dict[int, float] = {}

    async def measure_version(f: Fleet, number: int) -> None:
        proposed_at = f.clock()
        values = {
            "text": f.text(100 + number),
            "base": number - 1,
            "session": f"s{number}",
            "serial": 1,
            "within": 12.0,
        }
        ok, reason = await f.ask("propose", **values)
        assert ok, reason
        await f.wait_until(
            lambda: all(v >= number and m in ("active", "careful") for _, m, v in f.gateway_states.values()), 12.0
        )
        latencies_ms[number] = f.clock() - proposed_at

    async def script(f: Fleet) -> None:
        tasks = []
        for number in range(2, 12):
            tasks.append(asyncio.ensure_future(measure_version(f, number)))
            if gap_s is not None:
                await asyncio.sleep(gap_s)
            else:
                await f.wait_until(lambda n=number: any(m.state.newest >= n for m in f.members.values()), 12.0)
        for task in tasks:
            await task
        assert f.is_active_everywhere(11)

    run_with_fleet(script, 30)
    assert len(latencies_ms) == 10 and max(latencies_ms.values()) < 12_000


def test_a_proposal_that_times_out_names_the_pending_version() -> None:
    async def script(g: Group) -> None:
        g.kill_gateway("h1")
        ok, reason = await g.propose(settings_text(5), 2)  # less than what h1 may still send, so that it stays pending
        assert ok, reason
        proposed_at = g.clock()
        ok, reason = await g.ask("propose", text=settings_text(50), base=2, session="x", serial=1, within=4.0)
        assert (ok, reason) == (False, "version 2 is being taken up: wait for it")
        assert g.clock() - proposed_at < 9_000
        ok, reason = await g.ask("forget", head="h1")
        assert ok, reason
        ok, reason = await g.ask("propose", text=settings_text(50), base=2, session="x", serial=1)  # a retry
        assert ok, reason

    run_with_group(script, 5)
