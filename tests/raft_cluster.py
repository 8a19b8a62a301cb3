"""A simulated Raft cluster.

Its network loses, duplicates, reorders and blocks messages, and its disks lose data that was not synced. After every
tick the safety properties of the paper (figure 3) are checked on the state of the members.
"""

from __future__ import annotations

import random

from raft_client import Client
from raft_member import Member

from pebblehinge.raft import Entry, Membership, Message, Raft, Role
from pebblehinge.raft.errors import MembershipChangeError, NotLeaderError
from pebblehinge.raft.messages import PreVote, PreVoteResponse, RequestVote, RequestVoteResponse

MEMBER_NAMES = ["a", "b", "c", "d", "e"]


class Cluster:
    """The members, their clients, and the messages in transit. Times are in ticks."""

    def __init__(self, names: list[str], seed: int = 0, loss_rate: float = 0.0, duplicate_rate: float = 0.0) -> None:
        self.seed = seed
        self.loss_rate = loss_rate
        self.duplicate_rate = duplicate_rate
        self.rng = random.Random(f"{seed}/world")
        self.in_transit: list[tuple[int, Message]] = []  # with the tick of delivery
        self.now = 0
        self.max_delay = 3
        self.blocked_links: set[tuple[str, str]] = set()  # (source, destination)
        self.committed_entries: dict[int, Entry] = {}  # by index
        self.highest_applied_index = 0  # of all members
        self.last_read_context = 0
        self.leaders_by_term: dict[int, str] = {}
        self.removed_members: set[str] = set()  # a removed member does not return under its name
        self.clock_calls = 0
        self.clients = [Client(self, f"c{n}") for n in range(4)]
        self.members = {n: Member(self, n, names) for n in names}

    def clock(self) -> float:
        """Returns the time, which is later at each call, so that no two events of clients are simultaneous."""
        self.clock_calls += 1
        return self.now + self.clock_calls * 1e-9

    def add_member(self, name: str, voters: list[str]) -> Member:
        self.members[name] = Member(self, name, voters)
        return self.members[name]

    def send(self, message: Message) -> None:
        if (message.source, message.to) in self.blocked_links or self.rng.random() < self.loss_rate:
            return
        for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
            self.in_transit.append((self.now + self.rng.randint(1, self.max_delay), message))

    def partition(self, *groups: list[str]) -> None:
        self.blocked_links = {(a, b) for g in groups for h in groups if g is not h for a in g for b in h}

    def heal(self) -> None:
        self.blocked_links = set()

    def run(self, ticks: int) -> None:
        """Advances the cluster by a number of ticks; messages that are due in a tick arrive in random order."""
        for _ in range(ticks):
            self.now += 1
            for name in sorted(self.members):
                member = self.members[name]
                member.clock_remainder += member.clock_rate
                while member.clock_remainder >= 1:
                    member.clock_remainder -= 1
                    if member.is_running:
                        member.raft.tick()
                        member.process_ready()
            due = [m for at, m in self.in_transit if at <= self.now]
            self.in_transit = [(at, m) for at, m in self.in_transit if at > self.now]
            self.rng.shuffle(due)
            for message in due:
                receiver = self.members.get(message.to)
                if (
                    receiver is not None
                    and receiver.is_running
                    and (message.source, message.to) not in self.blocked_links
                ):
                    receiver.raft.step(message)
                    receiver.process_ready()
            for client in self.clients:
                client.tick()
            self.check_safety()

    def run_until(self, condition, max_ticks: int = 600):
        """Runs until the condition returns a true value, and returns that value."""
        for _ in range(max_ticks):
            value = condition()
            if value:
                return value
            self.run(1)
        raise AssertionError("the condition did not become true in time")

    def leader(self) -> Member | None:
        """Returns a leader that a majority of its voters follows, if any."""
        for name in sorted(self.members):
            leader = self.members[name]
            if leader.is_running and leader.raft.role is Role.LEADER:
                followers = sum(
                    member.is_running
                    and member.raft.current_term == leader.raft.current_term
                    and member.raft.leader_id == name
                    for other_name, member in self.members.items()
                    if other_name in leader.raft.membership.voters
                )
                if followers >= leader.raft.membership.quorum():
                    return leader
        return None

    def propose(self, text: str) -> int | None:
        """Proposes a text at the leader; returns its index, or None if there is no leader or it rejects it."""
        leader = self.leader()
        if leader is None:
            return None
        index = leader.raft.propose(text.encode())
        leader.process_ready()
        return index

    def has_converged(self, names: list[str] | None = None) -> bool:
        """Returns whether the running members have committed their whole logs and applied the same entries."""
        members = [self.members[n] for n in names or sorted(self.members)]
        top_index = max(m.applied_index for m in members if m.is_running)
        return all(
            m.applied_index == top_index and m.raft.commit_index == m.raft.log.last_index
            for m in members
            if m.is_running
        )

    def check_safety(self) -> None:
        """Checks election safety, log matching and leader completeness; `Member.apply` checks state machine safety."""
        for name, member in self.members.items():
            if not member.is_running:
                continue
            raft = member.raft
            if raft.role is Role.LEADER:
                assert self.leaders_by_term.setdefault(raft.current_term, name) == name, (
                    f"two leaders in term {raft.current_term}"
                )
                if raft.current_term == max(self.leaders_by_term):
                    for index, entry in self.committed_entries.items():
                        if index > raft.log.snapshot_index:
                            assert raft.log.term_at(index) == entry.term, (
                                f"{name} leads without committed entry {index}"
                            )
            assert raft.commit_index <= raft.log.last_index
        logs = [member.raft.log for member in self.members.values() if member.is_running]
        for a, b in zip(logs, logs[1:], strict=False):
            for index in range(min(a.last_index, b.last_index), max(a.snapshot_index, b.snapshot_index), -1):
                if a.term_at(index) == b.term_at(index):
                    snapshot_index = max(a.snapshot_index, b.snapshot_index)
                    assert a.slice(snapshot_index + 1, index) == b.slice(snapshot_index + 1, index), "logs do not match"
                    break


def with_voter(membership: Membership, name: str) -> Membership:
    return Membership(tuple(sorted([*membership.voters, name])), tuple(n for n in membership.learners if n != name))


def with_learner(membership: Membership, name: str) -> Membership:
    return Membership(membership.voters, tuple(sorted([*membership.learners, name])))


def elect(raft: Raft) -> None:
    """Makes a core the leader: every voter grants its vote."""
    while raft.role is not Role.LEADER:
        raft.tick()
        ready = raft.ready()
        for m in [*ready.messages, *ready.messages_after_persist]:
            if isinstance(m, PreVote):
                raft.step(PreVoteResponse(m.to, raft.name, m.term, granted=True))
            elif isinstance(m, RequestVote):
                raft.step(RequestVoteResponse(m.to, raft.name, m.term, granted=True))


def try_change_membership(raft: Raft, membership: Membership) -> bool:
    """Proposes a membership; returns whether the core accepted it."""
    try:
        raft.change_membership(membership)
    except (MembershipChangeError, NotLeaderError):
        return False
    return True
