"""A group of Raft instances on a network that loses, repeats, reorders and partitions, with disks that forget.

Safety is checked after every step, from what instances hold: the paper's five properties (figure 3).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from pebblehinge.lab.disk import FaultyDisk
from pebblehinge.lab.histories import Operation, order, register
from pebblehinge.raft import Membership, Message, Raft, Role
from pebblehinge.raft.log import DATA, MEMBERS, Entry
from pebblehinge.raft.storage import Storage, StorageError, first_members

FIVE = ["a", "b", "c", "d", "e"]


class Instance:
    """One instance with its disk and its state machine: a list of what was applied, and what sessions were told."""

    def __init__(self, world: World, name: str, voters: list[str]) -> None:
        self.world, self.name, self.voters = world, name, voters
        self.disk = FaultyDisk(random.Random(f"{world.seed}/{name}/disk"))
        self.lives = 0
        self.up = False
        self.rate, self.part = 1.0, 0.0  # ticks of its clock in one of the world, and what is left of one
        self.start()

    def start(self) -> None:
        self.storage = Storage(self.disk)
        snapshot = self.storage.snapshot or first_members(self.voters)
        self.lives += 1
        self.raft = Raft(
            self.name,
            snapshot,
            self.storage.entries,
            self.storage.term,
            self.storage.vote,
            random.Random(f"{self.world.seed}/{self.name}/{self.lives}"),
        )
        self.reads: list[tuple[int, int]] = []
        # context of a read -> what had been committed then, who asks, and for which of its questions
        self.asked: dict[int, tuple[int, int, Client | None]] = {}
        self.waiting: dict[tuple[str, int], Client] = {}  # session and serial -> who waits here for its outcome
        self.restore(snapshot.data, snapshot.index)
        self.up = True

    def restore(self, data: bytes, index: int) -> None:
        """The state machine as a snapshot holds it."""
        self.applied: list[str]
        self.sessions: dict[str, tuple[int, tuple[str, int]]]
        self.applied, self.sessions = msgspec.json.decode(
            data or b"[[],{}]", type=tuple[list[str], dict[str, tuple[int, tuple[str, int]]]]
        )
        self.applied_index = index

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
                self.restore(ready.restored.data, ready.restored.index)
            for entry in ready.committed:
                self.apply(entry)
            self.reads += ready.reads
            for context, index in ready.reads:
                floor, serial, client = self.asked.pop(context, (0, 0, None))
                assert index < 0 or index >= floor, f"{self.name} reads at {index} what had reached {floor}"
                if client is not None and index >= 0:
                    texts = self.texts()
                    client.hears(serial, (len(texts), texts[-1] if texts else None))
            for message in [*ready.messages, *ready.after]:
                self.world.post(message)

    def apply(self, entry: Entry) -> None:
        assert entry.index == self.applied_index + 1, f"{self.name} applies {entry.index} after {self.applied_index}"
        self.applied_index = entry.index
        known = self.world.committed.setdefault(entry.index, entry)
        self.world.top = max(self.world.top, entry.index)
        assert known == entry, f"two entries committed at {entry.index}: {known} and {entry}"
        if entry.kind == DATA:
            self.take(entry)
        self.raft.applied(entry.index)

    def texts(self) -> list[str]:
        """What sessions have set, in order: its length is the version."""
        return [t for t in self.applied if t != "last"]

    def take(self, entry: Entry) -> None:
        """A text, or `expected version=text` of a session: once each, with the outcome kept for who asks again."""
        if not entry.session:
            self.applied.append(entry.data.decode())
            return
        serial, outcome = self.sessions.get(entry.session, (0, ("", 0)))
        if entry.serial > serial:
            expected, _, text = entry.data.decode().partition("=")
            version = len(self.texts())
            if int(expected) == version:
                self.applied.append(text)
                outcome = ("set", version + 1)
            else:
                outcome = ("refused", version)
            self.sessions[entry.session] = (entry.serial, outcome)
        client = self.waiting.pop((entry.session, entry.serial), None)
        if client is not None and entry.serial >= serial:
            client.hears(entry.serial, outcome)

    def compact(self) -> None:
        state = msgspec.json.encode((self.applied, dict(sorted(self.sessions.items()))))
        snapshot = self.raft.snapshot_taken(state, self.applied_index)
        if snapshot is not None:
            self.storage.store(None, None, [], snapshot)


@dataclass
class Client:
    """Asks one thing at a time of whoever says that it leads; asks again elsewhere when it hears nothing."""

    world: World
    name: str
    serial: int = 0
    version: int = 0  # the newest that it knows
    open: Operation | None = None
    since: int = 0
    tries: int = 0
    history: list[Operation] = field(default_factory=list)

    def ask(self, what: str, at: str) -> None:
        if self.open is not None:
            return
        self.serial += 1
        value = (self.version, f"{self.name}.{self.serial}") if what == "set" else None
        self.open = Operation(self.name, what, value, self.world.clock())
        self.history.append(self.open)
        self.tries = 0
        self.reach(at)

    def reach(self, at: str) -> None:
        """Beginning with one instance, the first that takes it."""
        assert self.open is not None
        self.since, self.tries = self.world.now, self.tries + 1
        names = sorted(self.world.instances)
        first = names.index(at) if at in names else 0
        for name in names[first:] + names[:first]:
            instance = self.world.instances[name]
            if not instance.up:
                continue
            if self.open.what == "read":
                self.world.contexts += 1
                context = self.world.contexts
                instance.asked[context] = (self.world.top, self.serial, self)
                if instance.raft.read(context):
                    instance.work()
                    return
                del instance.asked[context]
            else:
                expected, text = self.open.value
                index = instance.raft.propose(f"{expected}={text}".encode(), self.name, self.serial)
                if index is not None:
                    instance.waiting[(self.name, self.serial)] = self
                    instance.work()
                    return

    def hears(self, serial: int, result: tuple[str | int, str | int | None]) -> None:
        if self.open is None or serial != self.serial:
            return  # two were asked, and the other has answered
        self.open.back, self.open.result = self.world.clock(), result
        if self.open.what == "read":
            self.version = max(self.version, int(result[0]))
        else:
            self.version = max(self.version, int(result[1] or 0))
        self.open = None

    def wait(self) -> None:
        """Time passes: after a while it asks again, and after some tries goes on without having heard."""
        if self.open is None or self.world.now - self.since < 25:
            return
        if self.open.what == "read" or self.tries > 4:
            self.open = None  # its outcome stays unknown
        else:
            self.reach(sorted(self.world.instances)[(self.serial + self.tries) % len(self.world.instances)])


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
        self.gone: set[str] = set()  # names that were dropped, and don't come back
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
                instance.part += instance.rate
                while instance.part >= 1:
                    instance.part -= 1
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
            for client in self.clients:
                client.wait()
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


SPARE = ["f", "g"]  # names that may join


def draw(seed: int) -> list[str]:
    """A script of troubles by seed, one line each; `play` says what each does."""
    rng = random.Random(seed)
    names = FIVE + SPARE
    script = []
    for _ in range(60):
        what = rng.random()
        if what < 0.1:
            script.append(f"crash {rng.choice(names)}")
        elif what < 0.22:
            script.append(f"start {rng.choice(names)}")
        elif what < 0.32:
            mixed = rng.sample(names, len(names))
            k = rng.randint(1, len(names) - 1)
            script.append(f"{rng.choice(['split', 'split', 'mute'])} {' '.join(mixed[:k])} | {' '.join(mixed[k:])}")
        elif what < 0.42:
            script.append("heal")
        elif what < 0.48:
            script.append("compact")
        elif what < 0.53:
            script.append(f"ahead {rng.choice(names)} {rng.randint(1, 15)}")
        elif what < 0.58:
            script.append(f"rate {rng.choice(names)} {rng.choice([0.5, 0.7, 0.9, 1.1, 1.5, 2.0])}")
        elif what < 0.64:
            script.append(f"{rng.choice(['learn', 'vote', 'vote'])} {rng.choice(SPARE)}")
        elif what < 0.67:
            script.append(f"drop {rng.choice(names)}")
        elif what < 0.70:
            script.append(f"hand {rng.choice(names)}")
        elif what < 0.78:  # back at once: what it had promised must be known
            name = rng.choice(names)
            script += [f"crash {name}", f"start {name}"]
        elif what < 0.83:  # the leader is gone, two campaign, one who votes goes down and is back
            one, two, voter = rng.sample(FIVE, 3)
            script += ["crash leader", f"run {rng.randint(8, 12)}", f"ahead {one} 12", f"ahead {two} 12"]
            for _ in range(rng.randint(2, 6)):
                script += [f"run {rng.randint(1, 3)}", f"crash {voter}", f"start {voter}"]
        else:
            for _ in range(rng.randint(1, 3)):
                script.append(f"{rng.choice(['set', 'set', 'read'])} {rng.randrange(4)} {rng.choice(names)}")
        script.append(f"run {rng.randint(1, 12)}")
    return script


def change(world: World, verb: str, name: str) -> None:
    """Asks the leader for another membership, where that may be asked; it may refuse."""
    leader = world.leader()
    if leader is None:
        return
    now = leader.raft.members
    if verb == "learn" and name not in now.all() and name not in world.gone:
        if name not in world.instances:
            world.add(name, FIVE)
        leader.raft.change(with_learner(now, name))
    elif verb == "vote" and name in now.learners:
        leader.raft.change(with_voter(now, name))
    elif verb == "drop" and name in now.voters and len(now.voters) > 3:
        if leader.raft.change(Membership(tuple(n for n in now.voters if n != name), now.learners)) is None:
            world.gone.add(name)
    leader.work()


def act(world: World, line: str) -> None:
    """One line of a script. What can't be now (a crash beyond two, a name that has not joined) changes nothing."""
    verb, *words = line.split()
    if words == ["leader"] and (leader := world.leader()) is not None:
        words = [leader.name]
    instance = world.instances.get(words[0]) if words else None
    if verb == "run":
        world.run(int(words[0]))
    elif verb == "heal":
        world.heal()
    elif verb == "compact":
        for i in world.instances.values():
            if i.up:
                i.compact()
    elif verb in ("split", "mute"):
        bar = words.index("|")
        world.partition(words[:bar], words[bar + 1 :])
        if verb == "mute":  # the first part is not heard; it hears
            world.cut = {(a, b) for a, b in world.cut if a in words[:bar]}
    elif verb in ("set", "read"):
        world.clients[int(words[0])].ask(verb, words[1])
    elif verb in ("learn", "vote", "drop"):
        change(world, verb, words[0])
    elif instance is None:
        return
    elif verb == "crash" and instance.up and sum(not i.up for i in world.instances.values()) < 2:
        instance.crash()
    elif verb == "start" and not instance.up:
        instance.start()
    elif verb == "ahead" and instance.up:
        for _ in range(int(words[1])):
            instance.raft.tick()
            instance.work()
    elif verb == "rate":
        instance.rate = float(words[1])
    elif verb == "hand":
        leader = world.leader()
        if leader is not None:
            leader.raft.transfer(words[0])
            leader.work()


def play(script: Sequence[str], seed: int) -> World:
    """Plays a script with lost, repeated and reordered messages; then all is healed, every member must have applied
    the same, and what clients saw must have an order that explains it."""
    world = World(FIVE, seed, lose=0.1, repeat=0.1)
    world.delay = 6
    for line in script:
        act(world, line)
    world.heal()
    world.lose = 0.0
    for i in world.instances.values():
        i.rate = 1.0
        if not i.up:
            i.start()
    # A leader that is about to be replaced may take a proposal and lose it: the client asks again.
    for _ in range(8):
        leader = world.until(world.leader)
        world.propose("last")
        world.run(80)
        members = [world.instances[n] for n in leader.raft.members.all()]
        if all(i.applied[-1:] == ["last"] for i in members):
            break
    else:
        raise AssertionError("it did not come to it")
    assert len({tuple(i.applied) for i in members}) == 1
    texts = members[0].texts()
    assert len(texts) == len(set(texts)), "a proposal was applied twice"
    history = [op for client in world.clients for op in client.history]
    assert order(history, register, (0, None)) is not None, "no order explains what clients saw"
    return world


def rough(seed: int) -> None:
    play(draw(seed), seed)


def shrink(script: list[str], fails: Callable[[list[str]], bool]) -> list[str]:
    """A shorter script that still fails: pieces are left out, halves first, then single lines (Zeller's ddmin)."""
    size = len(script) // 2
    while size:
        at = 0
        while at < len(script):
            shorter = script[:at] + script[at + size :]
            if shorter and fails(shorter):
                script = shorter
            else:
                at += size
        size //= 2
    return script


def with_voter(members: Membership, name: str) -> Membership:
    return Membership(tuple(sorted([*members.voters, name])), tuple(n for n in members.learners if n != name))


def with_learner(members: Membership, name: str) -> Membership:
    return Membership(members.voters, tuple(sorted([*members.learners, name])))


__all__ = [
    "MEMBERS",
    "FaultyDisk",
    "Instance",
    "World",
    "draw",
    "play",
    "rough",
    "shrink",
    "with_learner",
    "with_voter",
]
