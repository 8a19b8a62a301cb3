"""Exceptions of the capacity planner."""


class PlanError(Exception):
    """Base class: a plan cannot be computed. The message is a single line for the operator."""


class CapturedLoadError(PlanError):
    """Signals that there are too few captured requests, or that they belong to another fleet."""


class ObjectiveError(PlanError):
    """Signals that the requested goal or growth is out of range."""
