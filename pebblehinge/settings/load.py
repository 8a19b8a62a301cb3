"""Loads a checked Config from a file or a text, or raises an error with all faults."""

from __future__ import annotations

from pathlib import Path

from pebblehinge.settings.builder import BlockBuilder
from pebblehinge.settings.checks import CrossChecks
from pebblehinge.settings.errors import SettingsError
from pebblehinge.settings.lines import ParseResult, Position, Problem, read_file, read_text
from pebblehinge.settings.schema import Config, FleetBlock, HeadBlock, ShelfBlock

PORTS = {"listing": 6999, "head": 7000, "rsync": 8730, "shelf": 10_000}
"""Base ports of a fleet block: each gateway and storage node adds its number; a node's releases are 1000 apart."""


def load(path: str | Path, loopback: str | None = None) -> Config:
    """Reads settings from a file.

    Args:
        path: The file.
        loopback: Replaces the address that a fleet block gives to its processes.

    Raises:
        SettingsError: The file has faults; the error lists all of them.
    """
    return _build_config(read_file(Path(path)), loopback)


def loads(text: str, name: str = "text", loopback: str | None = None) -> Config:
    """Reads settings from a text, as `load` does from a file; faults are reported under `name`."""
    return _build_config(read_text(text, name), loopback)


def _build_config(result: ParseResult, loopback: str | None) -> Config:
    builder = BlockBuilder(result.problems)
    start = Position(result.files[0] if result.files else "text", 1, 1)
    config = builder.build(Config, result.statements, (), start)
    if config is not None:
        CrossChecks(config, result.problems, builder.positions).check()
    if result.problems or config is None:
        raise SettingsError(sorted(result.problems, key=_sort_key))
    if config.fleet is not None:
        _expand_fleet(config, config.fleet, loopback or config.fleet.loopback)
    return config


def _sort_key(problem: Problem) -> tuple[str, int, int]:
    position = problem.position
    return position.file, position.line, position.column


def _expand_fleet(config: Config, fleet: FleetBlock, host: str) -> None:
    """Adds the numbered gateways and storage nodes of a fleet block, with their addresses."""
    config.listing.listen = f"{host}:{PORTS['listing']}"
    for number in range(1, fleet.heads + 1):
        gateway = HeadBlock(
            listen=f"{host}:{PORTS['head'] + number}",
            seed=number,
            rsync=f"{host}:{PORTS['rsync'] + number}" if fleet.rsync else None,
        )
        config.head.setdefault(f"h{number}", gateway)
    kinds = fleet.kinds or list(config.kind)
    for slot in range(fleet.shelfs):
        node = ShelfBlock(
            listen=f"{host}:{PORTS['shelf'] + slot + 1}",
            slot=slot,
            rack=fleet.racks[slot % len(fleet.racks)],
            zone=fleet.zones[slot % len(fleet.zones)],
            kind=kinds[slot % len(kinds)],
        )
        config.shelf.setdefault(f"s{slot + 1}", node)
