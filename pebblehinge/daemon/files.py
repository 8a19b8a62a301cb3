"""Open files of a process: what its role can need, and the process's soft limit raised to it."""

from __future__ import annotations

import resource

from pebblehinge.daemon.notify import limits_told

HEADS, SHELFS = 1024, 2048  # that any role is ready for, whatever its settings name
OWN = 64  # of the process itself: logs, records, instances, operators, the laboratory


def files_of(role: str, heads: int = 0, shelfs: int = 0, connections: int = 0) -> int:
    """What a role can need. A peer that comes again may find its old connection not yet noticed as gone: two each."""
    heads, shelfs = max(HEADS, heads), max(SHELFS, shelfs)
    peers = {"head": connections, "listing": heads + shelfs, "shelf": heads, "group": heads}[role]
    return 2 * peers + (shelfs if role == "head" else 0) + OWN


def allow_files(wanted: int) -> str:
    """Raises this process's soft limit of open files; a line where the hard one is lower."""
    return limits_told(
        wanted,
        lambda: resource.getrlimit(resource.RLIMIT_NOFILE),
        lambda soft: resource.setrlimit(resource.RLIMIT_NOFILE, (soft, resource.getrlimit(resource.RLIMIT_NOFILE)[1])),
    )
