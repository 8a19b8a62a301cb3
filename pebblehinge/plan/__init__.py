"""The capacity planner. Its reasoning has no I/O: `demand` reads captured load, `formulas` give a first answer,
`planner` asks for trials and turns what they showed into an answer. `lab/trials.py` plays the trials."""

from pebblehinge.plan.demand import Demand, PlanError
from pebblehinge.plan.planner import Planner
from pebblehinge.plan.trial import Trial, TrialResult

__all__ = ["Demand", "PlanError", "Planner", "Trial", "TrialResult"]
