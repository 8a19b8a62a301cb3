"""The scheduler on the simulator's wire: `python -m pebblehinge.wirehost` serves it on standard input and output."""
