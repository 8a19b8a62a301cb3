"""Caps of settings and of a version's text. Used by `caps_shared.py`."""

from __future__ import annotations

from caps_points import ENOUGH, NAMED, RAISED, Cap, constant, inline
from caps_sizes import (
    HEADS,
    LONGEST_NAME,
    SHELFS,
    VOLUMES,
    longest_line,
    version_text,
)

SCHEMA, BOUNDS = "pebblehinge/settings/schema.py", "pebblehinge/replicated_config/size_limits.py"


LINES, LOAD, UNITS = (f"pebblehinge/settings/{n}.py" for n in ("lines", "load", "units"))


TEXT = version_text()


SETTINGS_CAPS = [
    Cap(
        "characters of a line of settings",
        LINES,
        "MAX_LINE_LENGTH = ",
        constant("pebblehinge.settings.lines", "MAX_LINE_LENGTH"),
        "characters",
        "a directive with its values, `through` the longest of them",
        longest_line(),
        f"`through` with {HEADS} names of {LONGEST_NAME} characters",
        "the file or version is refused with line and length",
        RAISED,
        "0.95 MB while such a line is read, 0.17 MB held (tracemalloc)",
    ),
    Cap(
        "blocks within blocks, includes within includes",
        LINES,
        "MAX_DEPTH = ",
        constant("pebblehinge.settings.lines", "MAX_DEPTH"),
        "deep",
        "open blocks, files that include files",
        4,
        "a version has no includes and blocks two deep",
        "refused with its place",
        ENOUGH,
    ),
    Cap(
        "volumes in one `volumes` block",
        "pebblehinge/settings/builder.py",
        "MAX_VOLUMES = ",
        constant("pebblehinge.settings.builder", "MAX_VOLUMES"),
        "volumes",
        "`volumes PREFIX COUNT`",
        VOLUMES,
        "the issue's volumes",
        "refused with its place",
        ENOUGH,
    ),
    Cap(
        "count",
        UNITS,
        "Count = Annotated",
        inline(UNITS, r"Count = .*le=([0-9_]+)"),
        "",
        "heads of a volume, a fleet's heads and shelfs, most counts",
        SHELFS,
        "shelfs of a fleet block",
        "refused with its place",
        ENOUGH,
    ),
    Cap(
        "characters of a name",
        UNITS,
        "Name = Annotated",
        inline(UNITS, r"\{0,(\d+)\}\$"),
        "more than one",
        "names of heads, shelfs, volumes",
        None,
        "",
        "refused with its place",
        NAMED,
    ),
    Cap(
        "ports of a fleet block's heads",
        LOAD,
        "PORTS = ",
        lambda: _ports("rsync") - _ports("head"),
        "heads",
        "heads before their ports meet those for rsync",
        HEADS,
        "a laboratory's fleet",
        "two processes want one address: the second does not start",
        ENOUGH,
    ),
    Cap(
        "ports of a fleet block's rsync",
        LOAD,
        "PORTS = ",
        lambda: _ports("shelf") - _ports("rsync"),
        "heads",
        "heads with rsync before those ports meet shelfs'",
        HEADS,
        "a laboratory's fleet",
        "as above",
        ENOUGH,
    ),
    Cap(
        "bytes of a version's text",
        BOUNDS,
        "MAX_TEXT_BYTES = ",
        constant("pebblehinge.replicated_config.size_limits", "MAX_TEXT_BYTES"),
        "bytes",
        "a proposal; there was no bound of its own, and one over a frame left the operator with *no instance can be "
        "reached* after 10 s",
        2 * TEXT,
        f"{TEXT:,} for {HEADS} heads, {SHELFS} shelfs, {VOLUMES} volumes, twice; with "
        f"200 volumes that name all heads {version_text(named=200):,}",
        "refused at propose with both sizes",
        ENOUGH,
        "two in a head, those kept and 16 that are read in an instance",
    ),
]


def _ports(role: str) -> int:
    return constant("pebblehinge.settings.load", "PORTS")()[role]
