"""Tests of a leader's schedule for renewals, `Renewals`: randomized runs with random delays of rounds and commits."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from pebblehinge.replicated_config.renewals import MAX_PENDING_RENEWALS, CurrentVersions, Renewal, Renewals

TICK_MS = 40.0


class SimulatedLeader:
    """Drives `Renewals` as a member does: gateways renew, rounds and commits take random times, gateways are notified.

    The invariants are checked at each step, from records that are kept outside of `Renewals`.
    """

    def __init__(self, seed: int, renewals_class: Callable[[float], Renewals], gateway_count: int) -> None:
        self.rng = random.Random(seed)
        self.renewals = renewals_class(TICK_MS)
        self.gateways = [f"h{n}" for n in range(gateway_count)]
        self.now_ms = 0.0
        self.event_number = 0  # orders events that happen at the same time
        self.version, self.pending = 1, 0
        self.applied_versions = dict.fromkeys(self.gateways, 1)  # gateway -> version in the state machine
        self.acknowledged_versions = dict.fromkeys(self.gateways, 1)  # gateway -> version that it acknowledges
        self.arrival_events: dict[int, int] = {}  # token -> event number
        self.latest_renewals: dict[str, Renewal] = {}
        self.answer_times_ms: dict[int, float] = {}
        self.round_in_flight: tuple[int, int, float] | None = None  # number, event number at its begin, end time
        self.round_times_ms: list[float] = []
        self.command_in_flight: tuple[int, dict[str, int], float] | None = None
        self.proposal_times_ms: list[float] = []
        self.notifications: list[tuple[float, int, int]] = []
        self.last_change_ms = 0.0  # when the active or the pending version changed
        self.scheduled_renewals: list[tuple[float, str]] = [(self.rng.uniform(0, 300), h) for h in self.gateways]
        self.stopped = False  # no new renewals and versions

    def run(self, until_ms: float) -> None:
        while self.now_ms < until_ms:
            self.now_ms += self.rng.choice([1.0, 1.0, 3.0, 10.0])
            for due_ms, gateway in sorted(self.scheduled_renewals):
                if due_ms <= self.now_ms and not self.stopped:
                    self.scheduled_renewals.remove((due_ms, gateway))
                    self.scheduled_renewals.append((self.now_ms + self.rng.uniform(100, 300), gateway))
                    self.renew(gateway)
            if self.round_in_flight is not None and self.round_in_flight[2] <= self.now_ms:
                number, begin_event, _ = self.round_in_flight
                self.round_in_flight = None
                self.check_answers(self.renewals.end_round(number), begin_event)
            if self.command_in_flight is not None and self.command_in_flight[2] <= self.now_ms:
                index, versions, _ = self.command_in_flight
                self.command_in_flight = None
                for gateway, version in versions.items():
                    self.applied_versions[gateway] = max(self.applied_versions[gateway], version)
                self.check_answers(self.renewals.mark_applied(index), None)
                self.notify_if_due()
            if self.now_ms % TICK_MS < 10.0:
                self.tick()
            if not self.stopped and self.rng.random() < 0.02:
                self.change_versions()

    def change_versions(self) -> None:
        """Adds a pending version, or activates the pending one."""
        if self.pending:
            self.version, self.pending = self.pending, 0
        else:
            self.pending = self.version + 1
        self.last_change_ms = self.now_ms
        self.notify_if_due()

    def renew(self, gateway: str) -> None:
        self.event_number += 1
        if self.rng.random() < 0.5:
            self.acknowledged_versions[gateway] = max(self.version, self.pending)
        renewal = Renewal(gateway, self.event_number, gateway, self.acknowledged_versions[gateway], 0)
        self.arrival_events[renewal.token] = self.event_number
        assert self.renewals.add(renewal, self.applied_versions[gateway] < renewal.acknowledged_version)
        self.latest_renewals[gateway] = renewal
        self.begin_round_if_due()

    def begin_round_if_due(self) -> None:
        if self.renewals.round_due(self.now_ms):
            self.event_number += 1
            assert self.round_in_flight is None, "two rounds in flight"
            number = self.renewals.begin_round(self.now_ms)
            self.round_in_flight = (number, self.event_number, self.now_ms + self.rng.choice([1.0, 5.0, 90.0]))
            self.round_times_ms.append(self.now_ms)
            self.last_round_event: int = self.event_number

    def tick(self) -> None:
        versions = self.renewals.acknowledgements_due(self.now_ms)
        if versions:
            assert self.command_in_flight is None, "two commands in flight"
            index = len(self.proposal_times_ms) + 1
            self.renewals.mark_proposed(self.now_ms, index)
            self.command_in_flight = (index, versions, self.now_ms + self.rng.choice([1.0, 5.0, 90.0]))
            self.proposal_times_ms.append(self.now_ms)
        self.begin_round_if_due()
        self.notify_if_due()

    def notify_if_due(self) -> None:
        if self.renewals.notification_due(self.now_ms, CurrentVersions(self.version, self.pending)):
            self.renewals.mark_notified(self.now_ms, CurrentVersions(self.version, self.pending))
            self.notifications.append((self.now_ms, self.version, self.pending))

    def check_answers(self, renewals: list[Renewal], begin_event: int | None) -> None:
        """Checks and records answered renewals; `begin_event` is that of the round that ends, None for a commit."""
        for renewal in renewals:
            round_event = begin_event if begin_event is not None else self.last_round_event
            assert renewal.token not in self.answer_times_ms, "answered twice"
            assert self.arrival_events[renewal.token] < round_event, (
                f"{renewal.gateway} is answered by a round that began before its renewal"
            )
            assert self.applied_versions[renewal.gateway] >= renewal.acknowledged_version, (
                f"{renewal.gateway} is answered before its acknowledgement is applied"
            )
            self.answer_times_ms[renewal.token] = self.now_ms

    def check(self) -> None:
        for times in (self.round_times_ms, self.proposal_times_ms, [at for at, _, _ in self.notifications]):
            assert all(b - a >= TICK_MS for a, b in zip(times, times[1:], strict=False)), "more than once per tick"
        assert all(r.token in self.answer_times_ms for r in self.latest_renewals.values()), "a renewal is not answered"
        assert self.notifications[-1][1:] == (self.version, self.pending), "the last change was not notified"


def run_simulation(seed: int, renewals_class: Callable[[float], Renewals] = Renewals) -> SimulatedLeader:
    leader = SimulatedLeader(seed, renewals_class, random.Random(seed).choice([1, 3, 20, 60]))
    leader.run(3_000.0)
    leader.stopped = True
    leader.run(leader.now_ms + 500.0)
    leader.check()
    return leader


@pytest.mark.parametrize("block", range(4))
def test_renewals_are_answered_after_a_later_round_and_once_their_acknowledgement_is_applied(block: int) -> None:
    for seed in range(25 * block, 25 * block + 25):
        run_simulation(seed)


def test_rounds_commands_and_notifications_do_not_grow_with_the_number_of_gateways() -> None:
    counts = []
    for gateway_count in (5, 500):
        leader = SimulatedLeader(1, Renewals, gateway_count)
        leader.run(4_000.0)
        counts.append((len(leader.round_times_ms), len(leader.proposal_times_ms), len(leader.notifications)))
    assert all(count <= 101 for row in counts for count in row), counts
    assert len(leader.answer_times_ms) > 5_000


class LateRenewalsJoinRound(Renewals):
    def add(self, renewal: Renewal, is_new: bool) -> bool:
        if self.round_in_flight:
            self.in_round[renewal.connection] = renewal
            return True
        return super().add(renewal, is_new)


class AnswersBeforeCommit(Renewals):
    def end_round(self, number: int) -> list[Renewal]:
        answerable = super().end_round(number)
        answerable += self.awaiting_commit.values()
        self.awaiting_commit = {}
        return answerable


class DropsRenewals(Renewals):
    def mark_applied(self, index: int) -> list[Renewal]:
        answerable = super().mark_applied(index)
        self.awaiting_commit = {}
        return answerable[:-1]


class IgnoresTick(Renewals):
    def notification_due(self, now: float, versions: CurrentVersions) -> bool:
        return self.notified_versions != versions

    def acknowledgements_due(self, now: float) -> dict[str, int]:
        return {} if self.proposed_acknowledgements else dict(self.unproposed_acknowledgements)


@pytest.mark.parametrize(
    "renewals_class, message",
    [
        (LateRenewalsJoinRound, "round that began before its renewal|before its acknowledgement is"),
        (AnswersBeforeCommit, "before its acknowledgement is applied"),
        (DropsRenewals, "a renewal is not answered"),
        (IgnoresTick, "more than once per tick"),
    ],
)
def test_randomized_runs_find_injected_faults(renewals_class: type[Renewals], message: str) -> None:
    with pytest.raises(AssertionError, match=message):
        for seed in range(100):
            run_simulation(seed, renewals_class)


def test_pending_renewals_are_bounded_and_a_connection_has_one_per_stage() -> None:
    renewals = Renewals(TICK_MS)
    for n in range(MAX_PENDING_RENEWALS):
        assert renewals.add(Renewal(n, n, f"h{n}", 0, 0), False)
    assert not renewals.add(Renewal("one more", 0, "x", 0, 0), False)
    assert renewals.add(Renewal(7, 99_999, "h7", 0, 0), False)  # replaces the connection's older one
    number = renewals.begin_round(0.0)
    assert not renewals.add(Renewal("one more", 0, "x", 0, 0), False)
    answerable = renewals.end_round(number)
    assert len(answerable) == MAX_PENDING_RENEWALS and {r.token for r in answerable if r.connection == 7} == {99_999}
    assert renewals.add(Renewal("one more", 0, "x", 0, 0), False)


def test_the_end_of_an_earlier_round_answers_no_renewals() -> None:
    renewals = Renewals(TICK_MS)
    renewals.add(Renewal("a", 1, "a", 0, 0), False)
    number = renewals.begin_round(0.0)
    assert renewals.end_round(number - 1) == [] and renewals.round_in_flight
    assert [r.token for r in renewals.end_round(number)] == [1]
    assert renewals.end_round(number) == []
