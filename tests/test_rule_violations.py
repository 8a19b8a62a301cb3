"""For each rule a head that breaks it on purpose is caught and named; the same day with a sound head keeps it.

The broken heads live here and not in the product. Days run in virtual time: the same verdict every time.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from pebblehinge.decide import Request
from pebblehinge.gateway import GatewayCore
from pebblehinge.interface import EndpointEntry, EndpointState, ListKind, Outcome
from pebblehinge.lab.check import RULES, Verdict
from pebblehinge.lab.village import play
from pebblehinge.settings import Config
from pebblehinge.settings.load import loads
from pebblehinge.wire import Kind

BASE_CONFIG = """
rules {
    drain-grace 300ms
    cold-share 30%
    warm 5s
    fall-multiple 2x
    fall-window 1s
    mean-units 2
    most-units 4
    order-settle 200ms
    budget-share 10%
    budget-free 2
    budget-window 3s
}
profile look {
    importance 2
    expected 400ms
    patience 1500ms
    repeat redoable
}
profile save {
    importance 2
    expected 400ms
    patience 1500ms
    repeat irreversible
}
profile line {
    importance 1
    expected 600ms
    patience 2s
    repeat redoable
    in-order yes
}
plan gold {
    rate 40/s
    reserve 30/s
}
plan capped {
    rate 10/s
    limit 12/s
    burst 16
    slack 2
}
volumes gold 4 {
    plan gold
    heads 2
}
volumes capped 2 {
    plan capped
    heads 2
}
kind k {
    unit-work 14ms
    cold 5s
    cold-from 30%
}
mix look {
    share 40%
    units 1x..3x
    run 1x..2x
}
mix save {
    share 40%
    write yes
    units 1x..3x
    run 1x..2x
}
mix line {
    share 20%
    units 1x..2x
    run 2x..4x
}
load {
    rate 110/s
    processes 1
    retries 1
    extents 20
    surge-every 0ms
}
fleet {
    heads 2
    shelfs 4
    kinds k
    racks a b
}
"""


class AnswersTwice(GatewayCore):
    def _answer(self, pending: Any, final: int, stay_ms: float, reason: str, data: bytes) -> None:
        super()._answer(pending, final, stay_ms, reason, data)
        pending.origin.send(Kind.ANSWER, pending.id, final, stay_ms, reason, pending.slot, data)


class Forgets(GatewayCore):
    def _answer(self, pending: Any, final: int, *rest: Any) -> None:
        if self.counts.received % 50 == 0:
            pending.answered = True
            self.open_count -= 1
            pending.origin.open_requests.pop(pending.id, None)
        else:
            super()._answer(pending, final, *rest)


class SaysHarmless(GatewayCore):
    """Tells a client that trying again is harmless though the write may have run."""

    def _answer(self, pending: Any, final: int, stay_ms: float, reason: str, data: bytes) -> None:
        super()._answer(pending, 1 if final == 2 else final, stay_ms, reason, data)


class IgnoresDrains(GatewayCore):
    def apply_endpoint_list(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> None:
        entries = [EndpointEntry(e.node_name, EndpointState.READY, e.slot, e.started_ms) for e in entries]
        super().apply_endpoint_list(now, kind, entries)


class IgnoresCold(GatewayCore):
    """Knows of no start, neither from the list nor from broken connections, and holds nothing back."""

    def apply_endpoint_list(self, now: float, kind: ListKind, entries: list[EndpointEntry]) -> None:
        super().apply_endpoint_list(now, kind, [EndpointEntry(e.node_name, e.state, e.slot, 0.0) for e in entries])

    def on_attempt_end(
        self, now: float, pending: Any, attempt: int, outcome: Outcome, took_ms: float, data: bytes = b""
    ) -> None:
        if outcome in (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST):
            outcome = Outcome.OVERLOADED
        super().on_attempt_end(now, pending, attempt, outcome, took_ms, data)


def altered(**changes: Any) -> Any:
    """A head that was given other settings than the day's: it breaks what they no longer tell it."""

    def alter(config: Config) -> Config:
        profiles = {n: msgspec.structs.replace(p, **changes.get(n, {})) for n, p in config.profile.items()}
        plans = {n: msgspec.structs.replace(p, **changes.get(n, {})) for n, p in config.plan.items()}
        rules = msgspec.structs.replace(config.rules, **changes.get("rules", {}))
        return msgspec.structs.replace(config, profile=profiles, plan=plans, rules=rules)

    return alter


RESETS = "at 1s resets all by 20% for 4s\n"
MORE_RESETS = "at 1s resets all by 30% for 4s\n"  # with 20% a head without a budget just stays under it (0.96)
VIOLATIONS = {
    "final_answer, twice": ("final_answer", "", AnswersTwice, None),
    "final_answer, forgotten": ("final_answer", "", Forgets, None),
    "no_double_effect, a second trip": ("no_double_effect", RESETS, GatewayCore, altered(save={"repeat": "redoable"})),
    "no_double_effect, said to be harmless": ("no_double_effect", RESETS, SaysHarmless, None),
    "drains": ("drains", "at 1s drain s1 for 3s\n", IgnoresDrains, None),
    "cold": ("cold", "at 2s mass-restart s1 s2 for 300ms\n", IgnoresCold, altered(rules={"warm": 1.0})),
    "limits": ("limits", "at 1s burst by 4x for 3s\n", GatewayCore, altered(capped={"limit": 0.0})),
    "order": ("order", "", GatewayCore, altered(line={"in_order": False})),
    "budget": ("budget", MORE_RESETS, GatewayCore, altered(rules={"budget_share": None})),
}


def judge(
    at: str, core: type[GatewayCore], alter: Any, length: str = "6s", seed: int = 3, base: str = BASE_CONFIG
) -> dict[str, Verdict]:
    config = loads(f"{base}\nday d {{\nlength {length}\n{at}}}\n")
    village, known = play(config, "d", seed, head_core=core, head_config=alter(config) if alter else None)
    assert not known["faults"]
    return village.facts().check_rules()


def config_for_rule(rule: str, at: str) -> tuple[str, str]:
    """The day's troubles and its settings, such that the rule is put to the test."""
    if rule == "cold":  # many heads, each with little, are what pushes a cold shelf over
        base = BASE_CONFIG.replace("heads 2", "heads 8").replace("cold-from 30%", "cold-from 12%")
        return "at 1s burst by 3x for 5s\n" + at, base.replace("multiple 2x", "multiple 1.4x")
    if rule == "order":  # two runs on one key at once
        return at, BASE_CONFIG.replace("extents 20", "extents 1")
    return at, BASE_CONFIG


@pytest.mark.parametrize("case", VIOLATIONS)
def test_a_head_that_breaks_a_rule_is_caught_and_named(case: str) -> None:
    rule, at, core, alter = VIOLATIONS[case]
    at, base = config_for_rule(rule, at)
    broken = judge(at, core, alter, base=base)
    assert not broken[rule].kept and broken[rule].offence, case
    sound = judge(at, GatewayCore, None, base=base)
    assert all(v.kept for v in sound.values()), {r: v.offence for r, v in sound.items() if not v.kept}
    assert sound[rule].cases > 0
    assert set(sound) == set(RULES)


def test_the_handle_of_a_request_has_no_second_attempt_out() -> None:
    """What the core relies on: the module never has two attempts of one request out at once."""
    seen: list[Request] = []

    class Watches(GatewayCore):
        def _apply(self, first: Any, now: float) -> None:
            super()._apply(first, now)
            for pending in self.pending.values():
                assert (pending.attempt is not None) == pending.handle.attempt_in_flight
                seen.append(pending.handle)

    judge(RESETS, Watches, None, length="3s")
    assert len(seen) > 1000
