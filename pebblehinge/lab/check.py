"""The seven rules, judged from the records of clients, shelfs, the list and the lab. Never from a head's account.

Nothing here knows how heads decide. Each rule is given the day's facts and says: kept or broken, how many cases it
looked at, how near the nearest came (1 is at the edge, above is broken), the first offence.
"""

from __future__ import annotations

from pebblehinge.lab import answer_rules, gateway_rules, node_rules
from pebblehinge.lab.facts import TRANSIT_MS, Facts
from pebblehinge.lab.seen import Got, Life, Try, Verdict

__all__ = ["RULES", "TRANSIT_MS", "DayFacts", "Got", "Life", "Try", "Verdict"]

RULES = ("final_answer", "no_double_effect", "drains", "cold", "limits", "order", "budget")


class DayFacts(Facts):
    """A day's facts, and what the rules make of them."""

    final_answer = answer_rules.final_answer
    no_double_effect = answer_rules.no_double_effect
    drains = node_rules.drains
    cold = node_rules.cold
    limits = node_rules.limits
    order = gateway_rules.order
    budget = gateway_rules.budget

    def check_rules(self) -> dict[str, Verdict]:
        self.settle_late()
        return {rule: getattr(self, rule)() for rule in RULES}
