"""Open files of a process: how many its role can need, and the process's soft limit raised to it."""

from __future__ import annotations

import resource
from collections.abc import Callable

MIN_GATEWAYS = 1024
"""Gateways that any role is ready for, whatever its settings name."""

MIN_STORAGE_NODES = 2048
"""Storage nodes that any role is ready for, whatever its settings name."""

OWN_FILES = 64
"""Files of the process itself: logs, records, group members, operators, the laboratory."""

SOCKETS_PER_PEER = 2
"""A peer may connect again before the end of its old connection is noticed."""

GATEWAY, STORAGE_NODE, DISCOVERY, GROUP_MEMBER = "head", "shelf", "listing", "group"
"""The roles, as the commands that start them are named."""


def needed_open_files(role: str, gateways: int = 0, storage_nodes: int = 0, connections: int = 0) -> int:
    """Returns how many open files a role can need.

    Args:
        role: One of the roles of this module.
        gateways: How many gateways the settings name.
        storage_nodes: How many storage nodes the settings name.
        connections: How many connections of clients a gateway accepts.
    """
    gateways = max(MIN_GATEWAYS, gateways)
    storage_nodes = max(MIN_STORAGE_NODES, storage_nodes)
    peers = {
        GATEWAY: connections,
        DISCOVERY: gateways + storage_nodes,
        STORAGE_NODE: gateways,
        GROUP_MEMBER: gateways,
    }[role]
    outgoing = storage_nodes if role == GATEWAY else 0
    return SOCKETS_PER_PEER * peers + outgoing + OWN_FILES


def raise_open_file_limit(needed: int) -> str | None:
    """Raises this process's soft limit of open files; returns a warning where the hard limit is lower."""
    return raise_soft_limit(needed, lambda: resource.getrlimit(resource.RLIMIT_NOFILE), _set_soft_limit)


def raise_soft_limit(
    needed: int, getrlimit: Callable[[], tuple[int, int]], setrlimit: Callable[[int], None]
) -> str | None:
    """Raises a soft limit of open files as far as the hard one allows; never lowers it.

    Args:
        needed: The limit that is needed.
        getrlimit: Returns the soft and the hard limit; a hard one below 0 is none.
        setrlimit: Sets the soft limit.

    Returns:
        None, or one line that says what is needed and what is allowed.
    """
    soft, hard = getrlimit()
    if soft >= needed:
        return None
    if hard >= needed or hard < 0:
        setrlimit(needed)
        return None
    setrlimit(hard)
    return f"{needed} open files may be needed and {hard} are allowed: raise the hard limit"


def _set_soft_limit(soft: int) -> None:
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
