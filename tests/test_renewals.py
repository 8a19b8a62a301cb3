"""What a leader owes heads that renew: drawn runs of `Renewals`; a log and a majority answer when they like."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from pebblehinge.replicated_config.renewals import MAX_PENDING_RENEWALS, CurrentVersions, Renewal, Renewals

TICK = 40.0


class Leader:
    """Drives `Renewals` as an instance does: rounds and commits take their time, heads renew, news is told.

    What must hold is checked at each step, from what passed outside of `Renewals`.
    """

    def __init__(self, seed: int, kind: Callable[[float], Renewals], heads: int) -> None:
        self.rng = random.Random(seed)
        self.renewals = kind(TICK)
        self.heads = [f"h{n}" for n in range(heads)]
        self.now = 0.0
        self.turn = 0  # orders what happens at one time
        self.version, self.pending = 1, 0
        self.held = dict.fromkeys(self.heads, 1)  # what the state machine holds
        self.acknowledged = dict.fromkeys(self.heads, 1)  # what heads acknowledge
        self.came: dict[int, int] = {}  # token -> turn
        self.newest: dict[str, Renewal] = {}
        self.answered: dict[int, float] = {}
        self.round: tuple[int, int, float] | None = None  # number, turn of its beginning, when it is over
        self.rounds: list[float] = []
        self.commit: tuple[int, dict[str, int], float] | None = None
        self.commits: list[float] = []
        self.news: list[tuple[float, int, int]] = []
        self.moved = 0.0  # when active or pending changed last
        self.due: list[tuple[float, str]] = [(self.rng.uniform(0, 300), h) for h in self.heads]
        self.stopped = False  # nothing new comes

    def run(self, until: float) -> None:
        while self.now < until:
            self.now += self.rng.choice([1.0, 1.0, 3.0, 10.0])
            for at, head in sorted(self.due):
                if at <= self.now and not self.stopped:
                    self.due.remove((at, head))
                    self.due.append((self.now + self.rng.uniform(100, 300), head))
                    self.renew(head)
            if self.round is not None and self.round[2] <= self.now:
                number, begun, _ = self.round
                self.round = None
                self.answer(self.renewals.end_round(number), begun)
            if self.commit is not None and self.commit[2] <= self.now:
                index, given, _ = self.commit
                self.commit = None
                for head, version in given.items():
                    self.held[head] = max(self.held[head], version)
                self.answer(self.renewals.mark_applied(index), None)
                self.tell()
            if self.now % TICK < 10.0:
                self.look()
            if not self.stopped and self.rng.random() < 0.02:
                self.move()

    def move(self) -> None:
        """A version is proposed, or the pending one is active."""
        if self.pending:
            self.version, self.pending = self.pending, 0
        else:
            self.pending = self.version + 1
        self.moved = self.now
        self.tell()

    def renew(self, head: str) -> None:
        self.turn += 1
        if self.rng.random() < 0.5:
            self.acknowledged[head] = max(self.version, self.pending)
        renewal = Renewal(head, self.turn, head, self.acknowledged[head], 0)
        self.came[renewal.token] = self.turn
        assert self.renewals.add(renewal, self.held[head] < renewal.acknowledged_version)
        self.newest[head] = renewal
        self.ask()

    def ask(self) -> None:
        if self.renewals.round_due(self.now):
            self.turn += 1
            assert self.round is None, "two rounds at once"
            number = self.renewals.begin_round(self.now)
            self.round = (number, self.turn, self.now + self.rng.choice([1.0, 5.0, 90.0]))
            self.rounds.append(self.now)
            self.shown_by: int = self.turn

    def look(self) -> None:
        given = self.renewals.acknowledgements_due(self.now)
        if given:
            assert self.commit is None, "two commands at once"
            index = len(self.commits) + 1
            self.renewals.mark_proposed(self.now, index)
            self.commit = (index, given, self.now + self.rng.choice([1.0, 5.0, 90.0]))
            self.commits.append(self.now)
        self.ask()
        self.tell()

    def tell(self) -> None:
        if self.renewals.notification_due(self.now, CurrentVersions(self.version, self.pending)):
            self.renewals.mark_notified(self.now, CurrentVersions(self.version, self.pending))
            self.news.append((self.now, self.version, self.pending))

    def answer(self, renewals: list[Renewal], begun: int | None) -> None:
        for renewal in renewals:
            last = begun if begun is not None else self.shown_by
            assert renewal.token not in self.answered, "answered twice"
            assert self.came[renewal.token] < last, f"{renewal.gateway} by a round begun before it came"
            assert self.held[renewal.gateway] >= renewal.acknowledged_version, (
                f"{renewal.gateway} before the log has its word"
            )
            self.answered[renewal.token] = self.now

    def check(self) -> None:
        for times in (self.rounds, self.commits, [at for at, _, _ in self.news]):
            assert all(b - a >= TICK for a, b in zip(times, times[1:], strict=False)), "more than once a tick"
        assert all(r.token in self.answered for r in self.newest.values()), "somebody waits for ever"
        assert self.news[-1][1:] == (self.version, self.pending), "the last news was not told"


def play(seed: int, kind: Callable[[float], Renewals] = Renewals) -> Leader:
    leader = Leader(seed, kind, random.Random(seed).choice([1, 3, 20, 60]))
    leader.run(3_000.0)
    leader.stopped = True
    leader.run(leader.now + 500.0)
    leader.check()
    return leader


@pytest.mark.parametrize("block", range(4))
def test_whoever_renews_is_answered_by_a_later_round_with_its_word_in_the_log(block: int) -> None:
    for seed in range(25 * block, 25 * block + 25):
        play(seed)


def test_the_work_of_a_second_does_not_grow_with_the_heads() -> None:
    counts = []
    for heads in (5, 500):
        leader = Leader(1, Renewals, heads)
        leader.run(4_000.0)
        counts.append((len(leader.rounds), len(leader.commits), len(leader.news)))
    assert all(few <= 101 for row in counts for few in row), counts
    assert len(leader.answered) > 5_000


class JoinsTheRound(Renewals):
    def add(self, renewal: Renewal, is_new: bool) -> bool:
        if self.round_in_flight:
            self.in_round[renewal.connection] = renewal
            return True
        return super().add(renewal, is_new)


class BeforeTheLog(Renewals):
    def end_round(self, number: int) -> list[Renewal]:
        done = super().end_round(number)
        done += self.awaiting_commit.values()
        self.awaiting_commit = {}
        return done


class ForgetsWhoWaits(Renewals):
    def mark_applied(self, index: int) -> list[Renewal]:
        done = super().mark_applied(index)
        self.awaiting_commit = {}
        return done[:-1]


class EachAtOnce(Renewals):
    def notification_due(self, now: float, versions: CurrentVersions) -> bool:
        return self.notified_versions != versions

    def acknowledgements_due(self, now: float) -> dict[str, int]:
        return {} if self.proposed_acknowledgements else dict(self.unproposed_acknowledgements)


@pytest.mark.parametrize(
    "kind, said",
    [
        (JoinsTheRound, "begun before it came|before the log has"),
        (BeforeTheLog, "before the log has its word"),
        (ForgetsWhoWaits, "somebody waits for ever"),
        (EachAtOnce, "more than once a tick"),
    ],
)
def test_drawn_runs_notice_what_is_broken_on_purpose(kind: type[Renewals], said: str) -> None:
    with pytest.raises(AssertionError, match=said):
        for seed in range(100):
            play(seed, kind)


def test_what_waits_is_bounded_and_a_connection_counts_once_for_each_state() -> None:
    renewals = Renewals(TICK)
    for n in range(MAX_PENDING_RENEWALS):
        assert renewals.add(Renewal(n, n, f"h{n}", 0, 0), False)
    assert not renewals.add(Renewal("one more", 0, "x", 0, 0), False)
    assert renewals.add(Renewal(7, 99_999, "h7", 0, 0), False)  # the newer one of a connection takes its place
    number = renewals.begin_round(0.0)
    assert not renewals.add(Renewal("one more", 0, "x", 0, 0), False)
    answered = renewals.end_round(number)
    assert len(answered) == MAX_PENDING_RENEWALS and {r.token for r in answered if r.connection == 7} == {99_999}
    assert renewals.add(Renewal("one more", 0, "x", 0, 0), False)


def test_a_round_of_before_answers_nobody() -> None:
    renewals = Renewals(TICK)
    renewals.add(Renewal("a", 1, "a", 0, 0), False)
    number = renewals.begin_round(0.0)
    assert renewals.end_round(number - 1) == [] and renewals.round_in_flight
    assert [r.token for r in renewals.end_round(number)] == [1]
    assert renewals.end_round(number) == []
