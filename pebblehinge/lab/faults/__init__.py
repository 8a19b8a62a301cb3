"""Faults between processes and in them: `script` reads and writes lines, `draw` draws and shrinks them, `ways` says
what holds between two ends, `player` does the steps on a ground, `relay` and `under` are the ground of processes."""

from pebblehinge.lab.faults.script import Fault, ScriptError, Step, read, steps, write

__all__ = ["Fault", "ScriptError", "Step", "read", "steps", "write"]
