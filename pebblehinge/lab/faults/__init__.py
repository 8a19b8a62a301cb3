"""Fault injection for links and processes of a fleet.

`script` parses and formats fault scripts, `draw` generates and shrinks them, `link_faults` computes the state of each
link, `player` applies the steps to a target; `relay` and `process_environment` inject faults into real processes.
"""

from pebblehinge.lab.faults.script import Fault, ScriptError, Step, read, steps, write

__all__ = ["Fault", "ScriptError", "Step", "read", "steps", "write"]
