"""Exhaustive exploration of the core: every order of events of a small group, within bounds.

Events: a message in transit arrives (one that never arrives is lost), a member's election timeout passes, a leader
sends a heartbeat, a client proposes, a member crashes and starts again from what it stored. States that were seen
are not explored again; members are exchangeable, so of states that differ by names alone one is explored.
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

PROGRESS_STATES = 10_000  # after each so many, a line of progress


@dataclass(frozen=True, slots=True)
class Bounds:
    """What is explored: so many terms, proposals, crashes and heartbeats on a path, and so many states at most."""

    members: int = 3
    terms: int = 2
    proposals: int = 1
    crashes: int = 1
    heartbeats: int = 1
    max_states: int = 20_000
    max_in_transit: int = 6  # messages at once: beyond that the oldest is lost


@dataclass(frozen=True, slots=True)
class Exploration:
    """What an exploration has seen; `complete` if that is all within the bounds."""

    states: int
    transitions: int
    complete: bool


@dataclass(frozen=True, slots=True)
class _Event:
    """Something that may happen in a state; `happen` changes the state."""

    name: str
    happen: Callable[[GroupState], None]


def explore(bounds: Bounds, report: Callable[[str], None] = lambda line: None) -> Exploration:
    """Explores breadth first; `report` hears a line of progress now and then.

    Raises SafetyViolationError with the property that does not hold and the events that led there.
    """
    start = _initial_state(bounds)
    seen = {start.canonical_key()}
    unexplored: deque[tuple[bytes, tuple[str, ...]]] = deque([(_pickled(start), ())])
    transitions = 0
    while unexplored:
        pickled, path = unexplored.popleft()
        for event in _events(_unpickled(pickled), bounds):
            transitions += 1
            state = _unpickled(pickled)
            _happen(event, state, path)
            key = state.canonical_key()
            if key in seen:
                continue
            if len(seen) >= bounds.max_states:
                return Exploration(len(seen), transitions, complete=False)
            seen.add(key)
            unexplored.append((_pickled(state), (*path, event.name)))
            if len(seen) % PROGRESS_STATES == 0:
                report(f"{len(seen)} states, {len(unexplored)} to go on from")
    return Exploration(len(seen), transitions, complete=True)


def _happen(event: _Event, state: GroupState, path: tuple[str, ...]) -> None:
    try:
        event.happen(state)
        state.check()
    except SafetyViolationError as error:
        raise SafetyViolationError(f"{error}, after: {'; '.join((*path, event.name))}") from None


def _initial_state(bounds: Bounds) -> GroupState:
    names = [chr(ord("a") + member) for member in range(bounds.members)]
    rafts = [_start(name, names, [], HardState()) for name in names]
    return GroupState(rafts, (), {}, {}, bounds.proposals, bounds.crashes, bounds.heartbeats)


def _start(name: str, names: list[str], entries: list[Entry], hard_state: HardState) -> Raft:
    return Raft(name, initial_snapshot(names), entries, hard_state, random.Random(0))


def _pickled(state: GroupState) -> bytes:
    return pickle.dumps(state, pickle.HIGHEST_PROTOCOL)


def _unpickled(pickled: bytes) -> GroupState:
    state: GroupState = pickle.loads(pickled)
    return state


# ---- events


def _events(state: GroupState, bounds: Bounds) -> list[_Event]:
    """All that may happen in a state."""
    found = [_arrival(position, message, bounds) for position, message in enumerate(state.in_transit)]
    for member, raft in enumerate(state.rafts):
        leads = raft.role is Role.LEADER
        if not leads and raft.current_term < bounds.terms:
            found.append(_campaign(member, raft.name, bounds))
        if leads and state.heartbeats:
            found.append(_heartbeat(member, raft.name, bounds))
        if leads and state.proposals:
            found.append(_proposal(member, raft.name, bounds))
        if state.crashes:
            found.append(_crash(member, raft.name))
    return found


def _arrival(position: int, message: Message, bounds: Bounds) -> _Event:
    def happen(state: GroupState) -> None:
        state.in_transit = state.in_transit[:position] + state.in_transit[position + 1 :]
        member = next(member for member, raft in enumerate(state.rafts) if raft.name == message.to)
        state.rafts[member].step(message)
        state.process_ready(member, bounds.max_in_transit)

    return _Event(f"{type(message).__name__} {message.source}>{message.to}", happen)


def _campaign(member: int, name: str, bounds: Bounds) -> _Event:
    def happen(state: GroupState) -> None:
        raft = state.rafts[member]
        raft.state.ticks_since_leader = raft.state.election_timeout  # it has heard of nobody for that long
        raft.state.ticks_elapsed = raft.state.randomized_timeout
        raft.tick()
        state.process_ready(member, bounds.max_in_transit)

    return _Event(f"{name} campaigns", happen)


def _heartbeat(member: int, name: str, bounds: Bounds) -> _Event:
    def happen(state: GroupState) -> None:
        state.heartbeats -= 1
        raft = state.rafts[member]
        raft.state.ticks_elapsed = raft.state.heartbeat_interval - 1
        raft.tick()
        state.process_ready(member, bounds.max_in_transit)

    return _Event(f"{name} sends heartbeats", happen)


def _proposal(member: int, name: str, bounds: Bounds) -> _Event:
    def happen(state: GroupState) -> None:
        state.proposals -= 1
        state.rafts[member].propose(b"p%d" % state.proposals)
        state.process_ready(member, bounds.max_in_transit)

    return _Event(f"{name} takes a proposal", happen)


def _crash(member: int, name: str) -> _Event:
    def happen(state: GroupState) -> None:
        state.crashes -= 1
        raft = state.rafts[member]
        # What was stored stays: all of the log, term and vote; its role and what it counted are gone.
        names = [other.name for other in state.rafts]
        state.rafts[member] = _start(name, names, raft.log.entries, raft.state.hard_state)

    return _Event(f"{name} crashes", happen)
