"""The scheduler on the simulator's wire protocol: `python -m pebblehinge.wirehost` serves it on stdin and stdout."""
