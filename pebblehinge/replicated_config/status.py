"""A member's status for operators, as lines and as a JSON object. Each member reports on itself, leader or not."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from pebblehinge.raft.node import Node
from pebblehinge.replicated_config.leases import Leases
from pebblehinge.replicated_config.state_machine import ConfigState


class Member(Protocol):
    """The member that is reported on."""

    name: str
    clock: Callable[[], float]
    node: Node
    state: ConfigState

    @property
    def leases(self) -> Leases | None:
        """Returns the leases, None if this member does not lead."""


class GatewayStatus(msgspec.Struct):
    """A gateway in the JSON object; clients rely on the names and the order of the fields.

    `lag_ms` is the time since this member granted it a lease, None if it did not.
    """

    id: str
    version: int
    lag_ms: float | None


class MemberStatus(msgspec.Struct):
    """The JSON object; clients rely on the names and the order of the fields."""

    instance: str
    role: str
    leader: str | None
    term: int
    commit: int
    version: int
    pending: int
    members: tuple[str, ...]
    learners: tuple[str, ...]
    heads: list[GatewayStatus]


def status_json(member: Member) -> str:
    """Returns the status as a JSON object."""
    raft, state = member.node.raft, member.state
    status = MemberStatus(
        instance=member.name,
        role=raft.role.value,
        leader=raft.leader_id,
        term=raft.current_term,
        commit=raft.commit_index,
        version=state.active,
        pending=state.pending,
        members=raft.membership.voters,
        learners=raft.membership.learners,
        heads=_gateway_statuses(member),
    )
    return msgspec.json.encode(status).decode()


def _gateway_statuses(member: Member) -> list[GatewayStatus]:
    now = member.clock()
    leases = member.leases.by_gateway if member.leases is not None else {}
    return [
        GatewayStatus(name, record.version, round(now - leases[name].granted_ms, 1) if name in leases else None)
        for name, record in sorted(member.state.gateways.items())
    ]


def status_text(member: Member) -> str:
    """Returns the status as lines of text."""
    raft, state = member.node.raft, member.state
    lines = [
        f"{member.name}: {raft.role.value}, term {raft.current_term}, leader {raft.leader_id or 'none'}",
        f"log {raft.log.snapshot_index}..{raft.log.last_index}, committed {raft.commit_index}, "
        f"applied {raft.last_applied}",
        f"active {state.active}, pending {state.pending or 'none'}",
    ]
    lines += [f"head {record.name}: version {record.version}" for _, record in sorted(state.gateways.items())]
    for volume, (rate, burst) in state.reservations.items():
        if rate or burst:
            lines.append(f"reserved for {volume}: {rate:g}/s, {burst:g} at once")
    if member.leases is not None:
        lines += [f"waits: {line}" for line in member.leases.describe_lagging_gateways(member.clock(), state)]
    return "\n".join(lines)
