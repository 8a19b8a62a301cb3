"""The capacity planner: at which load a fleet misses its objective, why, and what it would need instead.

No I/O here. `demand` turns captured requests into arrays, `speeds` and `fleet` describe the storage nodes, `formulas`
give a first answer; `planner` asks for trials and `answer` turns their results into the object that is printed.
`pebblehinge.lab.trials` plays the trials.
"""

from pebblehinge.capacity_planner.demand import Demand
from pebblehinge.capacity_planner.errors import CapturedLoadError, ObjectiveError, PlanError
from pebblehinge.capacity_planner.planner import Planner
from pebblehinge.capacity_planner.trial import Trial, TrialResult

__all__ = ["CapturedLoadError", "Demand", "ObjectiveError", "PlanError", "Planner", "Trial", "TrialResult"]
