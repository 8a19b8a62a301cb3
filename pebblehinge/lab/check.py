"""The seven rules, judged from the records of clients, shelfs, the list and the lab. Never from a head's account.

Nothing here knows how heads decide. Each rule is given the day's facts and says: kept or broken, how many cases it
looked at, how near the nearest came (1 is at the edge, above is broken), the first offence.
"""

from __future__ import annotations

from pebblehinge.lab import rules_of_answers, rules_of_pace, rules_of_reach
from pebblehinge.lab.facts import TRANSIT_MS, Facts
from pebblehinge.lab.seen import Got, Life, Try, Verdict

__all__ = ["RULES", "TRANSIT_MS", "Day", "Got", "Life", "Try", "Verdict"]

RULES = ("final_answer", "no_double_effect", "drains", "cold", "limits", "order", "budget")


class Day(Facts):
    """A day's facts, and what the rules make of them."""

    final_answer = rules_of_answers.final_answer
    no_double_effect = rules_of_answers.no_double_effect
    drains = rules_of_reach.drains
    cold = rules_of_reach.cold
    limits = rules_of_reach.limits
    order = rules_of_pace.order
    budget = rules_of_pace.budget

    def judge(self) -> dict[str, Verdict]:
        self.settle_late()
        return {rule: getattr(self, rule)() for rule in RULES}
