"""Open files of a process: the number that its role can need, and the soft limit, which is raised to it."""

from __future__ import annotations

import resource
from collections.abc import Callable

MIN_GATEWAYS = 1024
"""Gateways that every role provides for, even if its settings name fewer."""

MIN_STORAGE_NODES = 2048
"""Storage nodes that every role provides for, even if its settings name fewer."""

OWN_FILES = 64
"""Open files besides peers: logs, records, and connections of group members, operators and the lab."""

SOCKETS_PER_PEER = 2
"""Sockets for each peer, which may reconnect before the end of its old connection is noticed."""

GATEWAY, STORAGE_NODE, DISCOVERY, GROUP_MEMBER = "head", "shelf", "listing", "group"
"""Roles, by the names of the commands that start them."""


def needed_open_files(role: str, gateways: int = 0, storage_nodes: int = 0, connections: int = 0) -> int:
    """Returns the number of open files that a role can need.

    Args:
        role: One of the roles in this module.
        gateways: Number of gateways in the settings.
        storage_nodes: Number of storage nodes in the settings.
        connections: Number of client connections that a gateway accepts.
    """
    gateways = max(MIN_GATEWAYS, gateways)
    storage_nodes = max(MIN_STORAGE_NODES, storage_nodes)
    peers = {
        GATEWAY: connections,
        DISCOVERY: gateways + storage_nodes,
        STORAGE_NODE: gateways,
        GROUP_MEMBER: gateways,
    }[role]
    outgoing_connections = storage_nodes if role == GATEWAY else 0
    return SOCKETS_PER_PEER * peers + outgoing_connections + OWN_FILES


def raise_open_file_limit(needed: int) -> str | None:
    """Raises this process's soft limit of open files; returns a warning if the hard limit is too low."""
    return raise_soft_limit(needed, lambda: resource.getrlimit(resource.RLIMIT_NOFILE), _set_soft_limit)


def raise_soft_limit(
    needed: int, getrlimit: Callable[[], tuple[int, int]], setrlimit: Callable[[int], None]
) -> str | None:
    """Raises a soft limit of open files as far as the hard limit allows, and never lowers it.

    Args:
        needed: Number of open files that is needed.
        getrlimit: Returns the soft and the hard limit; a hard limit below 0 means unlimited.
        setrlimit: Sets the soft limit.

    Returns:
        None, or one line that says how many files are needed and how many are allowed.
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
