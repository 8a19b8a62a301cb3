"""Runs the command line as `python -m pebblehinge`."""

from pebblehinge.cli import main

main()
