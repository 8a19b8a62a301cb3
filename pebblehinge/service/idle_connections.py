"""The idle connections of storage nodes: reuse and closing."""

from __future__ import annotations

from collections.abc import Iterable

from pebblehinge.service.node_connection import NodeConnection, StorageNode
from pebblehinge.service.reasons import NodeCloseReason


def take_idle(node: StorageNode) -> NodeConnection | None:
    """Returns the most recently used idle connection of a node that is usable, None if there is none."""
    while node.idle_connections:
        conn = node.idle_connections.pop()
        if conn.is_usable():
            return conn
        conn.abort(NodeCloseReason.UNSOLICITED_BYTES)
    return None


def close_idle(node: StorageNode, reason: NodeCloseReason) -> None:
    """Closes all idle connections of a node."""
    for conn in node.idle_connections:
        conn.abort(reason)
    node.idle_connections.clear()


def close_longest_idle(nodes: Iterable[StorageNode]) -> bool:
    """Closes the connection that has been idle for longest; returns whether there was one."""
    oldest = [node.idle_connections[0] for node in nodes if node.idle_connections]
    if not oldest:
        return False
    conn = min(oldest, key=lambda idle_conn: idle_conn.idle_since_ms)
    conn.node.idle_connections.remove(conn)
    conn.abort(NodeCloseReason.DESCRIPTORS)
    return True
