"""pebblehinge: a storage gateway that schedules a host's reads and writes over storage nodes."""

__version__ = "0.2.0"
