"""Checks the platform's seven rules on the records of clients, storage nodes, discovery and the lab.

What gateways log of themselves is not used, and nothing here depends on how they decide. Each rule is a function of a
day's facts and returns a `Verdict`: whether the rule was kept, how many cases it applied to, how near the worst case
came to the bound (1 is the bound, above it the rule is broken), and the first violation.
"""

from __future__ import annotations

from pebblehinge.lab import answer_rules, gateway_rules, node_rules
from pebblehinge.lab.facts import TRANSIT_MS, Facts
from pebblehinge.lab.seen import Got, Life, Try, Verdict

__all__ = ["RULES", "TRANSIT_MS", "DayFacts", "Got", "Life", "Try", "Verdict"]

RULES = ("final_answer", "no_double_effect", "drains", "cold", "limits", "order", "budget")


class DayFacts(Facts):
    """The facts of a day (one run of the lab), and the check of each rule on them, as a method named in `RULES`."""

    final_answer = answer_rules.final_answer
    no_double_effect = answer_rules.no_double_effect
    drains = node_rules.drains
    cold = node_rules.cold
    limits = node_rules.limits
    order = gateway_rules.order
    budget = gateway_rules.budget

    def check_rules(self) -> dict[str, Verdict]:
        """Checks all rules and returns the verdict of each."""
        self.settle_late()
        return {rule: getattr(self, rule)() for rule in RULES}
