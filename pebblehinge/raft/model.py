"""An explicit-state model checker for the core: explores every order of events of a small group, within bounds.

The events are: a message in transit is delivered (one that is never delivered is lost), a member's election timeout
expires, a leader sends heartbeats, a client proposes, and a member crashes and restarts from its persisted state. A
state that was seen before is not explored again. Members are symmetric, so only one of the states that differ in
nothing but the members' names is explored.
"""

from __future__ import annotations

import pickle
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from pebblehinge.raft.core import Raft
from pebblehinge.raft.entries import Entry, HardState, initial_snapshot
from pebblehinge.raft.errors import SafetyViolationError
from pebblehinge.raft.messages import Message
from pebblehinge.raft.model_state import GroupState
from pebblehinge.raft.state import Role

STATES_PER_REPORT = 10_000  # new states between two progress reports


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of an exploration.

    Attributes:
        members: The number of members of the group.
        terms: The highest term that an election timeout may start.
        proposals: The maximum number of proposals on a path.
        crashes: The maximum number of crashes on a path.
        heartbeats: The maximum number of heartbeat events on a path.
        max_states: The maximum number of distinct states.
        max_in_transit: The maximum number of messages in transit; beyond it the oldest ones are lost.
    """

    members: int = 3
    terms: int = 2
    proposals: int = 1
    crashes: int = 1
    heartbeats: int = 1
    max_states: int = 20_000
    max_in_transit: int = 6


@dataclass(frozen=True, slots=True)
class ExplorationResult:
    """The number of states and transitions of an exploration; `complete` if the bounds allow no others."""

    states: int
    transitions: int
    complete: bool


@dataclass(frozen=True, slots=True)
class _Event:
    """An event that is possible in a state; `apply` changes a state as the event does."""

    name: str
    apply: Callable[[GroupState], None]


def explore(bounds: Bounds, report: Callable[[str], None] = lambda line: None) -> ExplorationResult:
    """Explores the states breadth first.

    Args:
        bounds: The bounds of the exploration.
        report: Receives a line of progress after every `STATES_PER_REPORT` new states.

    Returns:
        The number of states and transitions.

    Raises:
        SafetyViolationError: A safety property does not hold; the message lists the events that led there.
    """
    initial_state = _initial_state(bounds)
    seen_keys = {initial_state.canonical_key()}
    unexplored: deque[tuple[bytes, tuple[str, ...]]] = deque([(_serialize(initial_state), ())])
    transitions = 0
    while unexplored:
        serialized, path = unexplored.popleft()
        for event in _possible_events(_deserialize(serialized), bounds):
            transitions += 1
            state = _deserialize(serialized)
            _apply_event(event, state, path)
            key = state.canonical_key()
            if key in seen_keys:
                continue
            if len(seen_keys) >= bounds.max_states:
                return ExplorationResult(len(seen_keys), transitions, complete=False)
            seen_keys.add(key)
            unexplored.append((_serialize(state), (*path, event.name)))
            if len(seen_keys) % STATES_PER_REPORT == 0:
                report(f"{len(seen_keys)} states, {len(unexplored)} to expand")
    return ExplorationResult(len(seen_keys), transitions, complete=True)


def _apply_event(event: _Event, state: GroupState, path: tuple[str, ...]) -> None:
    try:
        event.apply(state)
        state.check_safety()
    except SafetyViolationError as error:
        raise SafetyViolationError(f"{error}, after: {'; '.join((*path, event.name))}") from None


def _initial_state(bounds: Bounds) -> GroupState:
    names = [chr(ord("a") + member_index) for member_index in range(bounds.members)]
    rafts = [_start_member(name, names, [], HardState()) for name in names]
    return GroupState(rafts, (), {}, {}, bounds.proposals, bounds.crashes, bounds.heartbeats)


def _start_member(name: str, names: list[str], entries: list[Entry], hard_state: HardState) -> Raft:
    return Raft(name, initial_snapshot(names), entries, hard_state, random.Random(0))


def _serialize(state: GroupState) -> bytes:
    return pickle.dumps(state, pickle.HIGHEST_PROTOCOL)


def _deserialize(serialized: bytes) -> GroupState:
    state: GroupState = pickle.loads(serialized)
    return state


# ---- events


def _possible_events(state: GroupState, bounds: Bounds) -> list[_Event]:
    """Returns the events that are possible in a state."""
    events = [_delivery(position, message, bounds) for position, message in enumerate(state.in_transit)]
    for member_index, raft in enumerate(state.rafts):
        is_leader = raft.role is Role.LEADER
        if not is_leader and raft.current_term < bounds.terms:
            events.append(_election_timeout(member_index, raft.name, bounds))
        if is_leader and state.remaining_heartbeats:
            events.append(_heartbeat(member_index, raft.name, bounds))
        if is_leader and state.remaining_proposals:
            events.append(_proposal(member_index, raft.name, bounds))
        if state.remaining_crashes:
            events.append(_crash(member_index, raft.name))
    return events


def _delivery(position: int, message: Message, bounds: Bounds) -> _Event:
    def apply(state: GroupState) -> None:
        state.in_transit = state.in_transit[:position] + state.in_transit[position + 1 :]
        member_index = next(member_index for member_index, raft in enumerate(state.rafts) if raft.name == message.to)
        state.rafts[member_index].step(message)
        state.process_ready(member_index, bounds.max_in_transit)

    return _Event(f"{type(message).__name__} {message.source}>{message.to}", apply)


def _election_timeout(member_index: int, name: str, bounds: Bounds) -> _Event:
    def apply(state: GroupState) -> None:
        raft = state.rafts[member_index]
        raft.state.ticks_since_leader = raft.state.election_timeout  # it has not heard from a leader for that long
        raft.state.ticks_elapsed = raft.state.randomized_timeout
        raft.tick()
        state.process_ready(member_index, bounds.max_in_transit)

    return _Event(f"{name} campaigns", apply)


def _heartbeat(member_index: int, name: str, bounds: Bounds) -> _Event:
    def apply(state: GroupState) -> None:
        state.remaining_heartbeats -= 1
        raft = state.rafts[member_index]
        raft.state.ticks_elapsed = raft.state.heartbeat_interval - 1
        raft.tick()
        state.process_ready(member_index, bounds.max_in_transit)

    return _Event(f"{name} sends heartbeats", apply)


def _proposal(member_index: int, name: str, bounds: Bounds) -> _Event:
    def apply(state: GroupState) -> None:
        state.remaining_proposals -= 1
        state.rafts[member_index].propose(b"p%d" % state.remaining_proposals)
        state.process_ready(member_index, bounds.max_in_transit)

    return _Event(f"{name} receives a proposal", apply)


def _crash(member_index: int, name: str) -> _Event:
    def apply(state: GroupState) -> None:
        state.remaining_crashes -= 1
        raft = state.rafts[member_index]
        # The log, the term and the vote are persistent; the volatile state is lost.
        names = [other.name for other in state.rafts]
        state.rafts[member_index] = _start_member(name, names, raft.log.entries, raft.state.hard_state)

    return _Event(f"{name} crashes", apply)
