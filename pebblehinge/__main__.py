"""`python -m pebblehinge`."""

from pebblehinge.cli import main

main()
