"""A group of Raft instances on a network that loses, repeats, reorders and partitions, with disks that forget.

Safety is checked after every step, from what instances hold: the paper's five properties (figure 3).
"""

from __future__ import annotations

import random

from raft_client import Client
from raft_member import Instance

from pebblehinge.raft import Entry, Membership, Message, Raft, Role
from pebblehinge.raft.errors import MembershipChangeError, NotLeaderError
from pebblehinge.raft.messages import PreVote, PreVoteResponse, RequestVote, RequestVoteResponse

FIVE = ["a", "b", "c", "d", "e"]


class World:
    """Instances, the messages on their way, and what may happen to them."""

    def __init__(self, names: list[str], seed: int = 0, loss_rate: float = 0.0, duplicate_rate: float = 0.0) -> None:
        self.seed = seed
        self.loss_rate = loss_rate
        self.duplicate_rate = duplicate_rate
        self.rng = random.Random(f"{seed}/world")
        self.in_transit: list[tuple[int, Message]] = []
        self.now = 0
        self.max_delay = 3
        self.blocked: set[tuple[str, str]] = set()
        self.committed: dict[int, Entry] = {}
        self.highest_applied = 0  # the highest index that anyone has applied
        self.read_contexts = 0
        self.leaders: dict[int, str] = {}
        self.removed: set[str] = set()  # names that were dropped, and don't come back
        self.events = 0
        self.clients = [Client(self, f"c{n}") for n in range(4)]
        self.instances = {n: Instance(self, n, names) for n in names}

    def clock(self) -> float:
        """Later at each call: no two things that clients see happen at once."""
        self.events += 1
        return self.now + self.events * 1e-9

    def add(self, name: str, voters: list[str]) -> Instance:
        self.instances[name] = Instance(self, name, voters)
        return self.instances[name]

    def send(self, message: Message) -> None:
        if (message.source, message.to) in self.blocked or self.rng.random() < self.loss_rate:
            return
        for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
            self.in_transit.append((self.now + self.rng.randint(1, self.max_delay), message))

    def partition(self, *groups: list[str]) -> None:
        self.blocked = {(a, b) for g in groups for h in groups if g is not h for a in g for b in h}

    def heal(self) -> None:
        self.blocked = set()

    def run(self, steps: int) -> None:
        """So many ticks; messages in between, in an order that chance picks."""
        for _ in range(steps):
            self.now += 1
            for name in sorted(self.instances):
                instance = self.instances[name]
                instance.clock_remainder += instance.clock_rate
                while instance.clock_remainder >= 1:
                    instance.clock_remainder -= 1
                    if instance.up:
                        instance.raft.tick()
                        instance.process_ready()
            due = [m for at, m in self.in_transit if at <= self.now]
            self.in_transit = [(at, m) for at, m in self.in_transit if at > self.now]
            self.rng.shuffle(due)
            for message in due:
                to = self.instances.get(message.to)
                if to is not None and to.up and (message.source, message.to) not in self.blocked:
                    to.raft.step(message)
                    to.process_ready()
            for client in self.clients:
                client.tick()
            self.check()

    def until(self, what, steps: int = 600):
        """Runs until something is true."""
        for _ in range(steps):
            got = what()
            if got:
                return got
            self.run(1)
        raise AssertionError("it did not come to it")

    def leader(self) -> Instance | None:
        """A leader that a majority of its voters follows."""
        for name in sorted(self.instances):
            i = self.instances[name]
            if i.up and i.raft.role is Role.LEADER:
                follow = sum(
                    o.up and o.raft.current_term == i.raft.current_term and o.raft.leader_id == name
                    for n, o in self.instances.items()
                    if n in i.raft.membership.voters
                )
                if follow >= i.raft.membership.quorum():
                    return i
        return None

    def propose(self, text: str) -> int | None:
        leader = self.leader()
        if leader is None:
            return None
        index = leader.raft.propose(text.encode())
        leader.process_ready()
        return index

    def settled(self, names: list[str] | None = None) -> bool:
        """All who are up have applied all that is committed."""
        some = [self.instances[n] for n in names or sorted(self.instances)]
        top = max(i.applied_index for i in some if i.up)
        return all(i.applied_index == top and i.raft.commit_index == i.raft.log.last_index for i in some if i.up)

    def check(self) -> None:
        """Election safety, log matching, leader completeness; state machine safety is checked at each apply."""
        for name, i in self.instances.items():
            if not i.up:
                continue
            r = i.raft
            if r.role is Role.LEADER:
                assert self.leaders.setdefault(r.current_term, name) == name, f"two leaders in term {r.current_term}"
                if r.current_term == max(self.leaders):
                    for index, entry in self.committed.items():
                        if index > r.log.snapshot_index:
                            assert r.log.term_at(index) == entry.term, f"{name} leads without {index}"
            assert r.commit_index <= r.log.last_index
        up = [i.raft.log for i in self.instances.values() if i.up]
        for a, b in zip(up, up[1:], strict=False):
            for index in range(min(a.last_index, b.last_index), max(a.snapshot_index, b.snapshot_index), -1):
                if a.term_at(index) == b.term_at(index):
                    low = max(a.snapshot_index, b.snapshot_index)
                    assert a.slice(low + 1, index) == b.slice(low + 1, index), "logs do not match"
                    break


def with_voter(members: Membership, name: str) -> Membership:
    return Membership(tuple(sorted([*members.voters, name])), tuple(n for n in members.learners if n != name))


def with_learner(members: Membership, name: str) -> Membership:
    return Membership(members.voters, tuple(sorted([*members.learners, name])))


def elect(raft: Raft) -> None:
    """Every voter says yes."""
    while raft.role is not Role.LEADER:
        raft.tick()
        ready = raft.ready()
        for m in [*ready.messages, *ready.messages_after_persist]:
            if isinstance(m, PreVote):
                raft.step(PreVoteResponse(m.to, raft.name, m.term, granted=True))
            elif isinstance(m, RequestVote):
                raft.step(RequestVoteResponse(m.to, raft.name, m.term, granted=True))


def accepted(raft: Raft, membership: Membership) -> bool:
    """Proposes a membership; whether it is taken."""
    try:
        raft.change_membership(membership)
    except (MembershipChangeError, NotLeaderError):
        return False
    return True
