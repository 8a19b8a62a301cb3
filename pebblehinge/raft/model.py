"""Exhaustive exploration of the core: every order of events of a small group, within bounds.

Events: a message that is on its way arrives (never arriving is a loss), an instance's time to campaign comes, a
leader sends a heartbeat, a client proposes, an instance crashes and starts again from what it stored. States that
were seen are not gone into again; instances are exchangeable, so of states that differ by names alone one is kept.
"""

from __future__ import annotations

import itertools
import pickle
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from pebblehinge.raft.core import Message, Raft, Role
from pebblehinge.raft.log import Entry, Snapshot
from pebblehinge.raft.storage import first_members

_encode = msgspec.msgpack.Encoder().encode


class Broken(Exception):
    """A property does not hold; the text says which, and by which events."""


@dataclass(slots=True)
class Bounds:
    """What is explored: terms, proposals, crashes and heartbeats over a whole path, and the most states."""

    instances: int = 3
    terms: int = 2
    proposals: int = 1
    crashes: int = 1
    beats: int = 1
    states: int = 20_000
    way: int = 6  # messages on their way at once: the oldest is lost beyond that


@dataclass(slots=True)
class World:
    """One state: instances, messages, what was ever committed, and what is left of the bounds."""

    rafts: list[Raft]
    way: tuple[Message, ...]
    committed: dict[int, Entry]
    leaders: dict[int, str]
    proposals: int
    crashes: int
    beats: int


def _key(world: World) -> bytes:
    """The same for states that differ by instances' names alone."""
    names = [r.name for r in world.rafts]
    best = None
    for order in itertools.permutations(range(len(names))):
        new = {names[old]: str(i) for i, old in enumerate(order)}
        new[""] = ""
        rows = [_row(world.rafts[old], new) for old in order]
        way = sorted(_encode(_rename(m, new)) for m in world.way)
        committed = [(i, e.term, e.kind, e.data) for i, e in sorted(world.committed.items())]
        leaders = [(t, new[n]) for t, n in sorted(world.leaders.items())]
        key = _encode((rows, way, committed, leaders, world.proposals, world.crashes, world.beats))
        best = key if best is None or key < best else best
    assert best is not None
    return best


def _row(r: Raft, new: dict[str, str]) -> tuple[Any, ...]:
    progress = sorted((new[n], p.match, p.next, p.inflight, p.probing) for n, p in r.progress.items())
    votes = sorted((new[n], ok) for n, ok in r.votes.items()) if r.role is not Role.LEADER else []
    log = [(e.term, e.index, e.kind, e.data) for e in r.log.entries]
    lead = progress if r.role is Role.LEADER else []
    return (r.term, new[r.vote or ""], r.role.value, new[r.leader or ""], log, r.commit, r.handed, votes, lead)


def _rename(m: Message, new: dict[str, str]) -> Message:
    return msgspec.structs.replace(m, source=new[m.source], to=new[m.to])


def _drive(world: World, i: int, bounds: Bounds) -> None:
    """Does what an instance wants: stored at once, messages on their way, committed entries compared."""
    raft = world.rafts[i]
    while ready := raft.ready():
        if ready.entries:
            raft.stored(raft.log.last)
        for entry in ready.committed:
            known = world.committed.setdefault(entry.index, entry)
            if known != entry:
                raise Broken(f"two entries are committed at {entry.index}")
            raft.applied(entry.index)
        fresh = [m for m in (*ready.messages, *ready.after) if m not in world.way]
        world.way = (world.way + tuple(dict.fromkeys(fresh)))[-bounds.way :]


def _check(world: World) -> None:
    for raft in world.rafts:
        if raft.role is Role.LEADER:
            if world.leaders.setdefault(raft.term, raft.name) != raft.name:
                raise Broken(f"two leaders in term {raft.term}")
            if raft.term == max(world.leaders):
                for index, entry in world.committed.items():
                    if entry.term < raft.term and raft.log.term(index) != entry.term:
                        raise Broken(f"the leader of term {raft.term} lacks committed entry {index}")
    for a, b in itertools.combinations(world.rafts, 2):
        for index in range(min(a.log.last, b.log.last), 0, -1):
            if a.log.term(index) == b.log.term(index):
                if a.log.between(1, index) != b.log.between(1, index):
                    raise Broken(f"logs match at {index} and not before")
                break


def _events(world: World, bounds: Bounds) -> list[tuple[str, Callable[[World], None]]]:
    found: list[tuple[str, Callable[[World], None]]] = []
    for n, m in enumerate(world.way):

        def arrive(w: World, n: int = n, m: Message = m) -> None:
            w.way = w.way[:n] + w.way[n + 1 :]
            i = next(i for i, r in enumerate(w.rafts) if r.name == m.to)
            w.rafts[i].step(m)
            _drive(w, i, bounds)

        found.append((f"{m.kind} {m.source}>{m.to}", arrive))
    for i, raft in enumerate(world.rafts):
        if raft.role is not Role.LEADER and raft.term < bounds.terms:

            def campaign(w: World, i: int = i) -> None:
                r = w.rafts[i]
                r.heard = r.election  # it has heard of nobody for that long
                r.elapsed = r.timeout
                r.tick()
                _drive(w, i, bounds)

            found.append((f"{raft.name} campaigns", campaign))
        if raft.role is Role.LEADER and world.beats:

            def beat(w: World, i: int = i) -> None:
                w.beats -= 1
                w.rafts[i].elapsed = w.rafts[i].heartbeat - 1
                w.rafts[i].tick()
                _drive(w, i, bounds)

            found.append((f"{raft.name} beats", beat))
        if raft.role is Role.LEADER and world.proposals:

            def propose(w: World, i: int = i) -> None:
                w.proposals -= 1
                w.rafts[i].propose(b"p%d" % w.proposals)
                _drive(w, i, bounds)

            found.append((f"{raft.name} takes a proposal", propose))
        if world.crashes:

            def crash(w: World, i: int = i) -> None:
                w.crashes -= 1
                r = w.rafts[i]
                # What was stored stays: all of the log, term and vote; its role and what it counted are gone.
                w.rafts[i] = _fresh(r.name, [x.name for x in w.rafts], r.log.entries, r.term, r.vote)

            found.append((f"{raft.name} crashes", crash))
    return found


def _fresh(name: str, names: list[str], entries: list[Entry], term: int, vote: str | None) -> Raft:
    start: Snapshot = first_members(names)
    return Raft(name, start, entries, term, vote, random.Random(0))


def explore(bounds: Bounds, said: Callable[[str], None] = lambda line: None) -> tuple[int, int, bool]:
    """States seen, transitions tried, and whether all within the bounds was seen. Raises Broken."""
    names = [chr(97 + i) for i in range(bounds.instances)]
    world = World([_fresh(n, names, [], 0, None) for n in names], (), {}, {}, bounds.proposals, bounds.crashes,
                  bounds.beats)  # fmt: skip
    seen = {_key(world)}
    todo: deque[tuple[bytes, tuple[str, ...]]] = deque([(pickle.dumps(world, -1), ())])
    tried = 0
    while todo:
        packed, path = todo.popleft()
        for name, event in _events(pickle.loads(packed), bounds):
            tried += 1
            after: World = pickle.loads(packed)
            try:
                event(after)
                _check(after)
            except Broken as broken:
                raise Broken(f"{broken}, after: {'; '.join((*path, name))}") from None
            key = _key(after)
            if key not in seen:
                if len(seen) >= bounds.states:
                    return len(seen), tried, False
                seen.add(key)
                todo.append((pickle.dumps(after, -1), (*path, name)))
                if len(seen) % 10_000 == 0:
                    said(f"{len(seen)} states, {len(todo)} to go on from")
    return len(seen), tried, True
