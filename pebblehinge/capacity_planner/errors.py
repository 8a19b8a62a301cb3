"""The exceptions of the capacity planner."""


class PlanError(Exception):
    """No plan can be made. The message is one line for the operator."""


class CapturedLoadError(PlanError):
    """The captured requests are too few, or don't belong to the fleet."""


class ObjectiveError(PlanError):
    """The goal or the growth that was asked for is out of range."""
