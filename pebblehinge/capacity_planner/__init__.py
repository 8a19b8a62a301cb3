"""The capacity planner: computes the load at which a fleet misses its objective, the cause, and the fleet needed.

The package does no I/O. `demand` turns captured requests into arrays, `speeds` and `fleet` describe the storage nodes,
and `formulas` estimates the service. `planner` requests trials, which `pebblehinge.lab.trials` runs as simulations,
and `answer` turns their results into the object that is printed.
"""

from pebblehinge.capacity_planner.demand import Demand
from pebblehinge.capacity_planner.errors import CapturedLoadError, ObjectiveError, PlanError
from pebblehinge.capacity_planner.planner import Planner
from pebblehinge.capacity_planner.trial import Trial, TrialResult

__all__ = ["CapturedLoadError", "Demand", "ObjectiveError", "PlanError", "Planner", "Trial", "TrialResult"]
