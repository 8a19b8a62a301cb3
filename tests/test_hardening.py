"""What a head is left with after long churn, odd answers, replaced shelfs and input that can hurt."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from helpers import FLEET, Rig, on_rig
from test_properties import CONFIG, Client, Doing
from test_rules_can_break import BASE
from test_scenarios import PLANS, PROFILES, SETTINGS

from pebblehinge.console.view import View
from pebblehinge.decide import BOUND, REMEMBERED, Access, Head
from pebblehinge.head import HeadCore
from pebblehinge.interface import Changes, Entry, ListKind, Outcome, Standing
from pebblehinge.lab.village import play
from pebblehinge.settings.load import loads
from pebblehinge.store import memory

SAFE = replace(SETTINGS, profiles=PROFILES, plans=PLANS, warm_ms=10.0)


def listed(head: Head, now: float, *rows: tuple[str, int, float], kind: ListKind = ListKind.CHANGES) -> Changes:
    return head.listed(now, kind, [Entry(name, Standing.READY, slot, started) for name, slot, started in rows])


def take(head: Head, now: float, slot: int = 0, **more: Any) -> Access:
    given: dict[str, Any] = {"extent": None, "profile": "look", "plan": "gold", "volume": "v", "set_size": 1,
                             "units": 1.0, "left": 3000.0}  # fmt: skip
    given |= more
    left = given.pop("left")
    return head.take(now, 1, slot=slot, abandon_ms=now + left, **given)[0]


def went(a: Access) -> bool:
    trips, _, _ = a.drain()
    return bool(trips)


def served(head: Head, now: float, slot: int, took: float) -> None:
    """An access goes and is honoured."""
    a = take(head, now, slot)
    assert went(a), "it was to be sent"
    a.ended(now + took, 0, Outcome.HONOURED, True, took)


# ---- an odd first answer


def test_a_first_answer_of_five_seconds_does_not_make_a_head_refuse_all_shelfs() -> None:
    """Seen: one slow first answer was the mean of all shelfs for 25 s, and with nothing sent nothing corrected it."""
    head = Head(SAFE, 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0), ("B", 1, 0.0))
    first = take(head, 0.0, 0, left=6000.0)
    first.ended(5000.0, 0, Outcome.HONOURED, True, 5000.0)
    assert went(take(head, 7000.0, 1))


def test_a_first_answer_among_many_weighs_no_more_than_the_others() -> None:
    head = Head(SAFE, 1, 0.0)
    listed(head, 0.0, *((f"s{i}", i, 0.0) for i in range(20)))
    served(head, 0.0, 0, 5000.0)
    for i in range(1, 20):
        head._learn(i, 5000.0, 50.0)
    assert head._every(5000.0) == pytest.approx((5000.0 / 0.75 + 19 * 50.0) / 20, rel=0.4)


# ---- a shelf that is replaced under its name


def slow(head: Head, now: float) -> None:
    """B is quick for a while, A took two seconds and lost three trips."""
    for n in range(40):
        served(head, now + n, 1, 20.0)
    for a in [take(head, now + 50, 0, left=2500.0) for _ in range(3)]:
        assert went(a)
        a.ended(now + 2050, 0, Outcome.HONOURED, True, 2000.0)
    head.lost[head.index["A"]] = 3


@pytest.mark.parametrize("row", [("A", 0, 13_000.0), ("A", 0, 4_000.0), ("A", 0, 0.0), ("A", 7, 8_000.0)])
def test_what_a_former_process_taught_does_not_judge_the_one_that_has_its_name(row: tuple[str, int, float]) -> None:
    """A later start, an earlier one, one that is not stated any more, another slot."""
    head = Head(SAFE, 1, 10_000.0)
    listed(head, 10_000.0, ("A", 0, 8_000.0), ("B", 1, 0.0))
    slow(head, 10_000.0)
    assert head.mean_ms[0] > 800.0
    listed(head, 13_100.0, row)
    s = head.index["A"]
    assert (head.mean_ms[s], head.lost[s], head.dead[s]) == (0.0, 0, False)
    assert went(take(head, 13_200.0, row[1], volume="x"))


def test_a_list_that_lay_on_its_way_is_no_new_process() -> None:
    """Ages are told, so the start of one process moves by what a list takes: nothing learned may be lost by it."""
    head = Head(SAFE, 1, 10_000.0)
    listed(head, 10_000.0, ("A", 0, 8_000.0), ("B", 1, 0.0))
    slow(head, 10_000.0)
    before = head.mean_ms[head.index["A"]]
    listed(head, 13_100.0, ("A", 0, 8_003.5), ("B", 1, 0.0), kind=ListKind.WHOLE)
    assert head.mean_ms[head.index["A"]] == before > 0


def test_trips_of_a_former_process_say_nothing_of_the_new_one() -> None:
    head = Head(replace(SAFE, warm_ms=10_000.0), 1, 10_000.0)
    listed(head, 10_000.0, ("A", 0, 0.0))
    trips = [take(head, 10_000.0, profile="save") for _ in range(BOUND)]
    listed(head, 10_500.0, ("A", 0, 10_400.0))
    for a in trips:
        a.ended(10_600.0, 0, Outcome.BROKEN, False, 600.0)
    s = head.index["A"]
    assert (head.lost[s], head.dead[s], head.cold_ms[s]) == (0, False, 10_400.0)


def test_a_start_that_is_not_stated_any_more_counts_as_cold_from_now() -> None:
    head = Head(replace(SAFE, warm_ms=10_000.0), 1, 50_000.0)
    listed(head, 50_000.0, ("A", 0, 20_000.0))
    assert head.cold_ms[0] is None
    listed(head, 60_000.0, ("A", 0, 0.0))
    assert head.cold_ms[0] == 60_000.0


def test_a_dead_shelf_that_answers_is_cold_from_then_on_however_long_it_was_not_asked() -> None:
    """Seen: cold from the last failed connection on, and so nearly warm, though it may have started just now."""
    head = Head(replace(SAFE, warm_ms=10_000.0, cold_share=1.0), 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0))
    take(head, 0.0).ended(1.0, 0, Outcome.UNREACHED, False, 1.0)
    a = take(head, 9_000.0)
    assert went(a)
    a.ended(9_010.0, 0, Outcome.HONOURED, True, 10.0)
    assert head.cold_ms[0] == 9_000.0 and not head.dead[0]


def test_of_many_heads_that_could_not_reach_a_shelf_few_try_it_together() -> None:
    """Each sends one trip at a time to a dead shelf; a hundred would still push over one just started."""
    tried = 0
    for seed in range(100):
        head = Head(replace(SAFE, warm_ms=10_000.0, cold_share=0.02, fall_multiple=1.0), seed, 0.0)
        listed(head, 0.0, ("A", 0, 0.0))
        take(head, 0.0).ended(1.0, 0, Outcome.UNREACHED, False, 1.0)
        tried += went(take(head, 300.0))
    assert 0 < tried < 30


def test_memory_of_a_former_process_or_slot_is_not_taken_up() -> None:
    head = Head(SAFE, 1, 10_000.0)
    listed(head, 10_000.0, ("A", 0, 8_000.0), ("B", 1, 0.0), ("C", 2, 0.0))
    served(head, 10_000.0, 2, 30.0)
    slow(head, 10_000.0)
    state = head.remembered(13_100.0)
    later = Head(SAFE, 2, 500.0)
    later.recall(500.0, state, 1_000.0, True)
    # A started anew since, B has another slot, C is as it was.
    listed(later, 600.0, ("A", 0, 550.0), ("B", 5, 0.0), ("C", 2, 0.0))
    means = {name: later.mean_ms[later.index[name]] for name in "ABC"}
    assert means["A"] == means["B"] == 0.0 < means["C"]


def test_memory_of_before_this_was_kept_is_still_taken_up() -> None:
    head = Head(SAFE, 1, 10_000.0)
    listed(head, 10_000.0, ("A", 0, 0.0))
    served(head, 10_000.0, 0, 30.0)
    state = {k: v for k, v in head.remembered(10_100.0).items() if k != "lives"}
    data = memory.packed(memory.Kept("h1", "m", 1.0, 1.0, "b", True, state))
    kept, *_ = memory.recalled(data, "h1", "m", 5.0, 5.0, "b")
    later = Head(SAFE, 2, 500.0)
    later.recall(500.0, kept, 4.0, True)
    listed(later, 600.0, ("A", 0, 0.0))
    assert later.mean_ms[0] > 0


# ---- what grows


def sizes(thing: Any) -> dict[str, int]:
    return {name: len(value) for name, value in vars(thing).items() if hasattr(value, "__len__")}


def test_shelfs_that_never_come_back_leave_nothing() -> None:
    """Seen: a column's place for each name ever listed, for as long as the head ran."""
    head, now = Head(SAFE, 1, 0.0), 0.0
    head.recall(0.0, {"shelfs": {f"old{i}": [1.0, 1.0, 1.0, 1.0, 4.0, -1.0] for i in range(50)}, "thinks": {},
                      "every": [1.0, 1.0, 1.0, 1.0], "limits": {}, "further": []}, 0.0, False)  # fmt: skip
    for n in range(400):
        now += 1000.0
        listed(head, now, *((f"s{n + i}", i, 0.0) for i in range(8)), kind=ListKind.WHOLE)
        for slot in range(8):
            served(head, now, slot, 5.0)
    head.woken(now + 10_000.0)
    found = sizes(head)
    assert max(n for name, n in found.items() if name not in ("takes", "profiles", "plans")) <= 20, found
    served(head, now, 3, 5.0)


def test_a_place_is_not_given_away_while_a_trip_is_out_or_the_name_is_still_listed() -> None:
    head = Head(SAFE, 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0))
    a = take(head, 0.0, profile="save")
    head.listed(1.0, ListKind.CHANGES, [Entry("A", Standing.GONE, 0, 0.0)])
    listed(head, 2.0, ("B", 0, 0.0))
    assert head.index["A"] != head.index["B"]
    b = take(head, 3.0)
    a.ended(4.0, 0, Outcome.BROKEN, False, 4.0)
    assert head.away[head.index["B"]] == [b]
    head.listed(5.0, ListKind.CHANGES, [Entry("B", Standing.DRAINING, 0, 0.0)])
    listed(head, 6.0, ("C", 0, 0.0))
    assert "B" in head.index and head.names[head.index["C"]] == "C"


def test_wakes_are_not_asked_for_by_each_access_that_is_held() -> None:
    """Seen: an entry for every held access and every new time."""
    head = Head(SAFE, 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0))
    for n in range(1000):
        take(head, n * 0.1, profile="bulk", left=500.0 + n * 1.4)
    assert sum(len(h) for h in head.held) > 900
    assert len(head.wakes) < 50


def test_giving_up_a_hundred_held_accesses_costs_in_step_with_their_number() -> None:
    """Seen: for each that was given up, all before it were looked at again."""

    class Counted(float):
        looks = 0

        def _count(self, other: float) -> None:
            Counted.looks += 1

        def __lt__(self, other: float) -> bool:
            self._count(other)
            return float.__lt__(self, other)

        def __eq__(self, other: object) -> bool:
            self._count(0.0)
            return float.__eq__(self, other)

        __hash__ = float.__hash__

    def looks(count: int) -> int:
        head = Head(SAFE, 1, 0.0)
        listed(head, 0.0, ("A", 0, 0.0))
        for _ in range(count):
            a = take(head, 0.0, profile="bulk")
            a.density = Counted(a.density)
        head.mean_ms[0], head.seen_ms[0] = 2000.0 * BOUND / (count / 2), 1.0  # of a sudden half can't be in time
        Counted.looks = 0
        head._serve(0, 1.0, None)
        assert count * 0.4 < len(head.held[0]) < count * 0.6
        return Counted.looks

    assert looks(400) < 2.6 * looks(200)


def test_a_volume_at_rest_does_not_get_back_more_of_its_limit_than_has_filled() -> None:
    """Seen: a volume forgotten after a minute began again as if it had filled since the head's start."""
    plans = (replace(PLANS[2], limit_rate=0.5, limit_burst=100.0, limit_slack=0.0), PLANS[0])
    head = Head(replace(SAFE, plans=plans, most_units=100.0), 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0))
    first = take(head, 300_000.0, plan="capped", units=100.0, volume="v")
    assert went(first)
    first.ended(300_010.0, 0, Outcome.HONOURED, True, 10.0)
    for n in range(REMEMBERED + 10):
        take(head, 361_000.0 + n / 100, slot=9, volume=f"w{n}")  # refused: nobody has that slot
    assert "v" not in head.stores, "it was to be forgotten"
    again = take(head, 362_000.0, plan="capped", units=60.0, volume="v", profile="bulk")
    assert not went(again), "62 s fill 31 units"


def test_a_limit_that_was_raised_in_service_fills_from_then_on() -> None:
    plans = (replace(PLANS[2], limit_rate=1.0, limit_burst=10.0, limit_slack=0.0), PLANS[0])
    settings = replace(SAFE, plans=plans, most_units=100.0)
    head = Head(settings, 1, 0.0)
    listed(head, 0.0, ("A", 0, 0.0))
    raised = replace(plans[0], limit_rate=50.0, limit_burst=100.0)
    head.adopt(100_000.0, replace(settings, plans=(raised, plans[1])))
    # A volume that this head has not seen had 10 units at the most, and since then 50 a second.
    assert not went(take(head, 100_010.0, plan="capped", units=90.0, volume="new", profile="bulk"))


# ---- input that can hurt


@pytest.mark.parametrize("left", [float("nan"), float("inf"), 1e300])
def test_an_access_with_no_sound_time_is_refused_and_hurts_no_other(left: float) -> None:
    """Seen: one access with a time that is no number made every later call for its shelf fail."""
    doing = Doing()
    core = HeadCore(CONFIG, CONFIG.head["h1"], 1000.0, doing)
    core.listed(1000.0, ListKind.WHOLE, [Entry("s0", Standing.READY, 0, 0.0)])

    def one(id_: int, left_ms: float) -> Any:
        return core.take(1000.0, Client(), id_, f"t{id_}", "gold-1", None, "look", "x", 0, 1.0, left_ms, None, None, 0,
                         0, 10, b"")  # fmt: skip

    assert one(1, left) is None and doing.finals[1] == 1
    assert one(2, 900.0) is not None and [row[0].id for row in doing.out] == [2]


def test_what_a_running_head_keeps_of_a_shelf_goes_when_its_place_does() -> None:
    """Seen: a link, a line of the console and a desk of the accounts for each name ever listed."""

    async def script(rig: Rig) -> None:
        head, view = rig.head, View(rig.head)
        for n in range(60):
            rows = [Entry(f"n{n + i}", Standing.READY, i, 0.0) for i in range(2)]
            head._listed(rig.clock(), ListKind.WHOLE, rows, {e.shelf: "127.0.0.1:1" for e in rows})
            head.core.account.held(rig.clock(), n, "v", f"n{n}", 1.0)
            head.core.account.over(rig.clock(), n)
            view.snapshot()
        assert max(len(head.links), len(view.standing), len(head.core.account.desks)) < 12

    on_rig(script, fleet=FLEET + "head h1 {\naccounts yes\n}\n")


# ---- a head that starts empty in the middle of a rough day


def test_a_head_that_knows_nothing_sends_no_more_than_the_bound_to_each_shelf() -> None:
    head = Head(SAFE, 1, 0.0)
    listed(head, 0.0, *((f"s{i}", i, 0.0) for i in range(5)))
    accesses = [take(head, 0.1 * n, n % 5, left=(40.0, 399.0, 3000.0)[n % 3]) for n in range(300)]
    assert sum(a.out for a in accesses) <= 5 * BOUND
    head.woken(390.0)
    late = [a for a in accesses if a.abandon_ms < 100.0 and not a.out]
    assert late and all(a.over for a in late), "their time is over: each has its answer"


def test_a_head_that_knows_nothing_starts_limits_empty() -> None:
    head = Head(SAFE, 1, 50_000.0)
    listed(head, 50_000.0, ("A", 0, 0.0))
    assert not went(take(head, 50_000.0, plan="capped", profile="bulk"))


@pytest.mark.parametrize("memory_age_ms", [None, 0.0, 600_000.0])
def test_a_real_head_that_joins_late_keeps_the_rules(memory_age_ms: float | None) -> None:
    """Shelfs are slow and queues deep; two heads die and come back with no memory, a fresh one, a stale one."""
    at = "at 1s slow s1 s2 by 4x for 5s\nat 1s burst by 3x for 4s\nat 2s head-crash h1 h2 for 300ms\n"
    text = BASE.replace("extents 20", "extents 20\nimpatient 20%")
    config = loads(f"{text}\nday d {{\nlength 6s\n{at}}}\n")
    village, known = play(config, "d", 5, memory_age_ms=memory_age_ms)
    day = village.facts()
    assert not known["faults"] and len(day.tries) > 500
    assert all(v.kept for v in day.judge().values()), {r: v.offence for r, v in day.judge().items() if not v.kept}


def test_memory_of_another_fleet_changes_nothing_for_the_shelfs_that_are_here() -> None:
    other = Head(SAFE, 1, 10_000.0)
    listed(other, 10_000.0, ("X", 0, 0.0), ("Y", 1, 0.0))
    served(other, 10_000.0, 0, 30.0)
    head = Head(SAFE, 2, 0.0)
    head.recall(0.0, other.remembered(10_100.0), 500.0, False)
    listed(head, 0.0, ("A", 0, 0.0))
    assert head.mean_ms[0] == 0.0 and went(take(head, 1.0, 0))


def test_a_call_that_gives_up_all_that_a_shelf_holds_costs_in_step_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen: 10,000 held for a shelf that left the list took 9.6 s; each was looked for among all that had changed."""
    looks = 0

    def same(a: Access, b: object) -> bool:
        nonlocal looks
        looks += 1
        return a is b

    def given_up(count: int) -> int:
        nonlocal looks
        head = Head(SAFE, 1, 0.0)
        listed(head, 0.0, ("A", 0, 0.0))
        for _ in range(count):
            take(head, 0.0, profile="bulk")
        looks = 0
        changes = head.listed(1.0, ListKind.CHANGES, [Entry("A", Standing.GONE, 0, 0.0)])
        assert len(changes.handles) == count - BOUND
        return looks

    monkeypatch.setattr(Access, "__eq__", same)
    monkeypatch.setattr(Access, "__hash__", object.__hash__, raising=False)
    assert given_up(400) < 2.6 * max(1, given_up(200)) + 400


def test_times_to_return_are_spread_over_heads_and_accesses() -> None:
    """All heads told the same time: what 200 of them refused at once, a zone's loss for one, came back at once."""
    stays = []
    for seed in range(100):
        head = Head(SAFE, seed, 0.0)
        listed(head, 0.0, ("A", 0, 0.0))
        for _ in range(2):  # its slot is not listed
            answer = take(head, 1.0, slot=5).drain()[2]
            assert answer is not None
            stays.append(answer.stay_away_ms)
    most = SAFE.stay_away_max_ms
    assert min(stays) >= most / 2 and max(stays) <= most
    for part in range(10):  # of any tenth of that time no more than a fifth come back
        low = most * (0.5 + part / 20)
        assert sum(low <= s < low + most / 20 for s in stays) < 40
