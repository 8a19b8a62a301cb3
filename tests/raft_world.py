"""A group of Raft instances on a network that loses, repeats, reorders and partitions, with disks that forget.

Safety is checked after every step, from what instances hold: the paper's five properties (figure 3).
"""

from __future__ import annotations

import random

from pebblehinge.raft import Membership, Message, Raft, Role
from pebblehinge.raft.log import DATA, MEMBERS, Entry
from pebblehinge.raft.storage import Storage, StorageError, first_members


class FaultyDisk:
    """A folder in memory. `crash` keeps what was synced, and of the rest a prefix that chance picks."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.fail = ""  # append, sync: from now on these fail
        self.room: int | None = None

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def append(self, name: str, data: bytes) -> None:
        if self.fail == "append" or (self.room is not None and len(data) > self.room):
            raise OSError(28, "No space left on device")
        if self.room is not None:
            self.room -= len(data)
        self.files.setdefault(name, bytearray()).extend(data)
        self.synced.setdefault(name, 0)

    def sync(self, name: str) -> None:
        if self.fail == "sync":
            raise OSError(5, "Input/output error")
        self.synced[name] = len(self.files[name])

    def truncate(self, name: str, size: int) -> None:
        del self.files[name][size:]
        self.synced[name] = size

    def replace(self, name: str, data: bytes) -> None:
        if self.fail:
            raise OSError(5, "Input/output error")
        self.files[name] = bytearray(data)
        self.synced[name] = len(data)

    def remove(self, name: str) -> None:
        self.files.pop(name, None)
        self.synced.pop(name, None)

    def sync_folder(self) -> None:
        pass

    def crash(self) -> None:
        for name, data in self.files.items():
            kept = self.synced[name]
            kept += self.rng.randint(0, len(data) - kept)
            del data[kept:]
            self.synced[name] = kept


class Instance:
    """One instance with its disk and its state machine, which is the list of what was applied."""

    def __init__(self, world: World, name: str, voters: list[str]) -> None:
        self.world, self.name, self.voters = world, name, voters
        self.disk = FaultyDisk(random.Random(f"{world.seed}/{name}/disk"))
        self.lives = 0
        self.up = False
        self.reads: list[tuple[int, int]] = []
        self.asked: dict[int, int] = {}  # context of a read -> what was known to be committed when it was asked
        self.start()

    def start(self) -> None:
        self.storage = Storage(self.disk)
        snapshot = self.storage.snapshot or first_members(self.voters)
        self.lives += 1
        self.raft = Raft(self.name, snapshot, self.storage.entries, self.storage.term, self.storage.vote,
                         random.Random(f"{self.world.seed}/{self.name}/{self.lives}"))  # fmt: skip
        self.applied = snapshot.data.decode().split(",") if snapshot.data else []
        self.applied_index = snapshot.index
        self.up = True

    def crash(self) -> None:
        self.up = False
        self.disk.crash()

    def work(self) -> None:
        """Does what the core wants, in the order that it asks for."""
        while self.up and (ready := self.raft.ready()):
            try:
                self.storage.store(ready.hard_state, ready.cut, ready.entries, ready.snapshot)
            except StorageError:
                self.up = False
                return
            if ready.entries or ready.snapshot:
                self.raft.stored(self.raft.log.last)
            if ready.restored is not None:
                self.applied = ready.restored.data.decode().split(",") if ready.restored.data else []
                self.applied_index = ready.restored.index
            for entry in ready.committed:
                self.apply(entry)
            self.reads += ready.reads
            for context, index in ready.reads:
                floor = self.asked.pop(context, 0)
                assert index < 0 or index >= floor, f"{self.name} reads at {index} what had reached {floor}"
            for message in [*ready.messages, *ready.after]:
                self.world.post(message)

    def apply(self, entry: Entry) -> None:
        assert entry.index == self.applied_index + 1, f"{self.name} applies {entry.index} after {self.applied_index}"
        self.applied_index = entry.index
        known = self.world.committed.setdefault(entry.index, entry)
        self.world.top = max(self.world.top, entry.index)
        assert known == entry, f"two entries committed at {entry.index}: {known} and {entry}"
        if entry.kind == DATA:
            self.applied.append(entry.data.decode())
        self.raft.applied(entry.index)

    def compact(self) -> None:
        snapshot = self.raft.snapshot_taken(",".join(self.applied).encode(), self.applied_index)
        if snapshot is not None:
            self.storage.store(None, None, [], snapshot)


class World:
    """Instances, the messages on their way, and what may happen to them."""

    def __init__(self, names: list[str], seed: int = 0, lose: float = 0.0, repeat: float = 0.0) -> None:
        self.seed, self.lose, self.repeat = seed, lose, repeat
        self.rng = random.Random(f"{seed}/world")
        self.way: list[tuple[int, Message]] = []
        self.now = 0
        self.delay = 3
        self.cut: set[tuple[str, str]] = set()
        self.committed: dict[int, Entry] = {}
        self.top = 0  # the highest index that anyone has applied
        self.contexts = 0
        self.leaders: dict[int, str] = {}
        self.instances = {n: Instance(self, n, names) for n in names}

    def add(self, name: str, voters: list[str]) -> Instance:
        self.instances[name] = Instance(self, name, voters)
        return self.instances[name]

    def post(self, message: Message) -> None:
        if (message.source, message.to) in self.cut or self.rng.random() < self.lose:
            return
        for _ in range(1 + (self.rng.random() < self.repeat)):
            self.way.append((self.now + self.rng.randint(1, self.delay), message))

    def partition(self, *groups: list[str]) -> None:
        self.cut = {(a, b) for g in groups for h in groups if g is not h for a in g for b in h}

    def heal(self) -> None:
        self.cut = set()

    def run(self, steps: int) -> None:
        """So many ticks; messages in between, in an order that chance picks."""
        for _ in range(steps):
            self.now += 1
            for name in sorted(self.instances):
                instance = self.instances[name]
                if instance.up:
                    instance.raft.tick()
                    instance.work()
            due = [m for at, m in self.way if at <= self.now]
            self.way = [(at, m) for at, m in self.way if at > self.now]
            self.rng.shuffle(due)
            for message in due:
                to = self.instances.get(message.to)
                if to is not None and to.up and (message.source, message.to) not in self.cut:
                    to.raft.step(message)
                    to.work()
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
                    o.up and o.raft.term == i.raft.term and o.raft.leader == name
                    for n, o in self.instances.items()
                    if n in i.raft.members.voters
                )
                if follow >= i.raft.members.quorum():
                    return i
        return None

    def propose(self, text: str) -> int | None:
        leader = self.leader()
        if leader is None:
            return None
        index = leader.raft.propose(text.encode())
        leader.work()
        return index

    def settled(self, names: list[str] | None = None) -> bool:
        """All who are up have applied all that is committed."""
        some = [self.instances[n] for n in names or sorted(self.instances)]
        top = max(i.applied_index for i in some if i.up)
        return all(i.applied_index == top and i.raft.commit == i.raft.log.last for i in some if i.up)

    def check(self) -> None:
        """Election safety, log matching, leader completeness; state machine safety is checked at each apply."""
        for name, i in self.instances.items():
            if not i.up:
                continue
            r = i.raft
            if r.role is Role.LEADER:
                assert self.leaders.setdefault(r.term, name) == name, f"two leaders in term {r.term}"
                if r.term == max(self.leaders):
                    for index, entry in self.committed.items():
                        if index > r.log.at:
                            assert r.log.term(index) == entry.term, f"{name} leads without {index}"
            assert r.commit <= r.log.last
        up = [i.raft.log for i in self.instances.values() if i.up]
        for a, b in zip(up, up[1:], strict=False):
            for index in range(min(a.last, b.last), max(a.at, b.at), -1):
                if a.term(index) == b.term(index):
                    low = max(a.at, b.at)
                    assert a.between(low + 1, index) == b.between(low + 1, index), "logs do not match"
                    break


def rough(seed: int) -> None:
    """One run of loss, repeats, reordering, partitions (one-way too), crashes with torn disks, and clocks that differ;
    in the end all is healed and every instance must have applied the same."""
    names = ["a", "b", "c", "d", "e"]
    world = World(names, seed, lose=0.1, repeat=0.1)
    world.delay = 6
    rng = random.Random(seed)
    count = 0
    for _ in range(60):
        what = rng.random()
        down = [n for n, i in world.instances.items() if not i.up]
        up = [n for n, i in world.instances.items() if i.up]
        if what < 0.15 and len(down) < 2:
            world.instances[rng.choice(up)].crash()
        elif what < 0.35 and down:
            world.instances[rng.choice(down)].start()
        elif what < 0.5:
            mixed = rng.sample(names, 5)
            k = rng.randint(1, 4)
            world.partition(mixed[:k], mixed[k:])
            if rng.random() < 0.3:
                world.cut = {(a, b) for a, b in world.cut if a in mixed[:k]}
        elif what < 0.62:
            world.heal()
        elif what < 0.7:
            for i in world.instances.values():
                if i.up:
                    i.compact()
        elif what < 0.76:  # a clock that runs ahead for a while
            instance = world.instances[rng.choice(up)]
            for _ in range(rng.randint(1, 15)):
                instance.raft.tick()
                instance.work()
        else:
            for n in sorted(world.instances):
                instance = world.instances[n]
                if instance.up and instance.raft.role is Role.LEADER:  # an old one among them, too
                    world.contexts += 1
                    instance.asked[world.contexts] = world.top
                    if not instance.raft.read(world.contexts):
                        del instance.asked[world.contexts]
                    instance.raft.propose(f"p{count}".encode())
                    instance.work()
                    count += 1
        world.run(rng.randint(1, 12))
    world.heal()
    world.lose = 0.0
    for i in world.instances.values():
        if not i.up:
            i.start()
    # A leader that is about to be replaced may take a proposal and lose it: the client asks again.
    for _ in range(8):
        world.until(world.leader)
        world.propose("last")
        world.run(80)
        if all(i.applied[-1:] == ["last"] for i in world.instances.values()):
            break
    assert all(i.applied[-1:] == ["last"] for i in world.instances.values()), "it did not come to it"
    assert len({tuple(i.applied) for i in world.instances.values()}) == 1


def with_voter(members: Membership, name: str) -> Membership:
    return Membership(tuple(sorted([*members.voters, name])), tuple(n for n in members.learners if n != name))


def with_learner(members: Membership, name: str) -> Membership:
    return Membership(members.voters, tuple(sorted([*members.learners, name])))


__all__ = ["MEMBERS", "FaultyDisk", "Instance", "World", "rough", "with_learner", "with_voter"]
