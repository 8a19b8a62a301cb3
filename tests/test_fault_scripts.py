"""Fault scripts: parsing, formatting, random generation, shrinking, and their effect on the state of links."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pebblehinge.lab.faults.draw import Participants, draw, shrink
from pebblehinge.lab.faults.link_faults import HEALTHY_LINK, LinkFaults, LinkState
from pebblehinge.lab.faults.script import BOTH, KINDS, PROCESS, Fault, ScriptError, read, steps, write

CAST = Participants(("h1", "h2", "h3"), ("s1", "s2"), ("g1", "g2", "g3"), ("listing", "load1"), together=True)
ALL = """
at 2s cut h1 h2 from g1 s1 for 4s
at 2s silent h1 to g1 for 4s      # a remark
at 2s delay h1 to s1 by 300ms for 4s
at 2s slow h1 to s1 by 20KiB for 4s
at 2s lose h1 to h2 by 30% for 4s
at 2s repeat h1 to h2 by 30% for 4s
at 2s reset h1 from s1
at 2s half-open h1 from s1
at 2s kill h1 for 2s
at 2500ms kill h1 h2 for 2s old 1500ms
at 3s kill h1 for 2s empty
at 3s freeze g1 for 20s
at 3s drift h1 by -0.2% for 5s
at 3s wall h1 by -5s for 5s
at 3s disk-full h1 for 3s
at 3s disk-slow h1 by 50ms for 3s
at 3s disk-fail h1 for 3s
"""
names = st.lists(st.sampled_from(CAST.names), min_size=1, max_size=3, unique=True)
times = st.integers(1, 99_999).map(float)


@st.composite
def faults(draw_from: st.DrawFn) -> Fault:
    kind = draw_from(st.sampled_from(sorted(KINDS)))
    form, unit, lasts = KINDS[kind]
    others = tuple(draw_from(names)) if form != PROCESS else ()
    by = 0.0 if unit is None else {"ms": 37.5, "KiB": 1536.0, "%": 0.25}[unit]
    at, folder, old = draw_from(times), "", 0.0
    if kind == "kill":
        folder = draw_from(st.sampled_from(["", "old", "empty"]))
        old = at if folder == "old" else 0.0
    return Fault(at, kind, tuple(draw_from(names)), others, by, draw_from(times) if lasts else 0.0, folder, old)


def test_every_kind_is_parsed_and_formatted() -> None:
    found = read(ALL, CAST.names)
    assert {f.kind for f in found} == set(KINDS) and len(found) == 17
    assert read(write(found), CAST.names) == found
    old = next(f for f in found if f.folder == "old")
    assert (old.at_ms, old.old_ms, old.last_ms, old.some) == (2500.0, 1500.0, 2000.0, ("h1", "h2"))
    assert next(f for f in found if f.kind == "drift").by == pytest.approx(-0.002)


@settings(deadline=None, max_examples=300)
@given(st.lists(faults(), max_size=12))
def test_formatted_faults_parse_to_equal_faults(rows: list[Fault]) -> None:
    rows.sort(key=lambda f: f.at_ms)
    assert read(write(rows), CAST.names) == rows


@pytest.mark.parametrize(
    ("line", "said"),
    [
        ("cut h1 from s1 for 4s", "script:1:1: 'cut': expected at TIME KIND ..."),
        ("at 2 cut h1 from s1 for 4s", "script:1:4: '2': expected a time such as 300ms or 4s"),
        ("at 2s cot h1", "script:1:7: unknown fault 'cot': expected one of cut, silent"),
        ("at 2s cut h9 from s1 for 4s", "script:1:11: 'h9': expected a name of the fleet"),
        ("at 2s cut h1 to s1 for 4s", "script:1:14: 'to': expected a name of the fleet"),
        ("at 2s cut h1 for 4s", "script:1:20: cut h1: expected cut NAME ... from NAME ..."),
        ("at 2s cut h1 from s1", "script:1:21: cut without 'for': expected for and a figure"),
        ("at 2s delay h1 to s1 for 4s", "script:1:28: delay without 'by': expected by and a figure"),
        ("at 2s delay h1 to s1 by 3 for 4s", "script:1:25: '3': expected a time"),
        ("at 2s delay h1 to s1 by -3ms for 4s", "script:1:25: '-3ms': expected more than none"),
        ("at 2s lose h1 to h2 by 130% for 4s", "script:1:24: '130%': expected more than none, and no share beyond"),
        ("at 2s reset h1 from s1 for 4s", "script:1:24: 'for' with reset: expected none"),
        ("at 2s freeze h1 for 4s empty", "script:1:24: 'empty' with freeze: expected none"),
        ("at 2s kill h1 for 4s old 3s", "script:1:22: a folder of 3000 ms before 2000 ms: expected one of after"),
        ("at 2s kill h1 for", "script:1:18: the end: expected a time"),
    ],
)
def test_an_invalid_line_is_one_error_with_its_position(line: str, said: str) -> None:
    with pytest.raises(ScriptError) as error:
        read(line, CAST.names)
    assert str(error.value).startswith(said) and "\n" not in str(error.value)


def test_all_invalid_lines_are_reported_at_once_and_the_length_is_limited() -> None:
    with pytest.raises(ScriptError) as error:
        read("at 1s cut\n\n# fine\nat 2s kill h1\n", CAST.names, "f")
    assert [line.split(":")[1] for line in str(error.value).splitlines()] == ["1", "4"]
    with pytest.raises(ScriptError, match="expected at most"):
        read("\n" * 20_000, CAST.names)


def test_steps_are_in_order_and_an_end_precedes_a_beginning_at_the_same_time() -> None:
    rows = read("at 1s freeze h1 for 1s\nat 2s freeze h1 for 1s\nat 3s kill h1 for 1s old 2s\n", CAST.names)
    assert [(s.at_ms, s.what, s.fault.kind) for s in steps(rows)] == [
        (1000, "copy", "kill"),
        (1000, "begin", "freeze"),
        (2000, "end", "freeze"),
        (2000, "begin", "freeze"),
        (3000, "end", "freeze"),
        (3000, "begin", "kill"),
        (4000, "end", "kill"),
    ]


@pytest.mark.parametrize("seed", range(0, 300, 3))
def test_a_random_script_is_reproducible_by_seed_and_ends_in_time(seed: int) -> None:
    rows = draw(CAST, seed, 20_000.0, 8)
    assert rows == draw(CAST, seed, 20_000.0, 8) != draw(CAST, seed + 1, 20_000.0, 8)
    assert len(rows) == 8 and max(f.at_ms + f.last_ms for f in rows) <= 17_500.0
    for f in rows:
        if f.kind in ("drift", "wall") or f.kind.startswith("disk"):
            assert not set(f.some) & {"s1", "s2", "listing", "load1"}
        if f.folder:  # Raft does not tolerate a member that loses its votes
            assert set(f.some) <= set(CAST.heads)


def test_random_scripts_have_all_kinds_and_no_links_between_independent_gateways() -> None:
    assert {f.kind for seed in range(60) for f in draw(CAST, seed, 20_000.0, 8)} == set(KINDS)
    alone = Participants(CAST.heads, CAST.shelfs, CAST.members, CAST.rest)
    rows = [f for seed in range(60) for f in draw(alone, seed, 20_000.0, 8) if KINDS[f.kind][0] != PROCESS]
    assert not any(f.kind in ("lose", "repeat") for f in rows)
    assert not any(set(f.some) | set(f.others) <= set(CAST.heads) for f in rows if f.kind != "cut")


def test_a_script_is_shrunk_to_the_faults_that_reproduce_the_failure() -> None:
    rows, plays = draw(CAST, 7, 20_000.0, 20), 0
    wanted = {rows[3], rows[11]}

    def shows(some: list[Fault]) -> bool:
        nonlocal plays
        plays += 1
        return wanted <= set(some)

    assert set(shrink(rows, shows)) == wanted and plays < 80
    plays = 0
    assert len(shrink(rows, lambda some: shows(some) and False, tries=9)) == 20 and plays == 9


def test_a_link_has_the_worst_state_of_its_active_faults() -> None:
    text = """at 1s delay h1 to s1 by 100ms for 9s
              at 1s delay h1 h2 to s1 by 300ms for 9s
              at 1s slow h1 to s1 by 4KiB for 9s
              at 1s slow h1 to s1 by 2KiB for 9s
              at 1s cut h1 from s1 for 9s"""
    ways, rows = LinkFaults(), read(text, CAST.names)
    for f in rows:
        ways.begin(f)
    assert ways.between("h1", "s1") == LinkState(True, 300.0, 2048.0)
    assert ways.between("s1", "h1") == LinkState(True) and ways.between("h2", "s1") == LinkState(False, 300.0)
    assert ways.end(rows[-1]) == [("h1", "s1"), ("s1", "h1")]
    assert ways.between("s1", "h1") is HEALTHY_LINK and not ways.between("h1", "s1").blocked
    for f in rows[:-1]:
        ways.end(f)
        ways.end(f)  # ending an inactive fault changes nothing
    assert not ways.states and not ways.active_faults


@settings(deadline=None, max_examples=200)
@given(st.lists(faults().filter(lambda f: KINDS[f.kind][0] != PROCESS and KINDS[f.kind][2]), max_size=10), st.data())
def test_all_links_are_healthy_after_faults_end_in_any_order(rows: list[Fault], data: st.DataObject) -> None:
    ways = LinkFaults()
    for f in rows:
        ways.begin(f)
        for a, b in LinkFaults.pairs(f):
            assert not ways.between(a, b).is_healthy
            assert KINDS[f.kind][0] != BOTH or not ways.between(b, a).is_healthy
    for f in data.draw(st.permutations(rows)):
        ways.end(f)
    assert not ways.states
