"""Scripts of faults by seed for the simulated Raft group: drawn, played, and shrunk when one fails."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Sequence

from raft_cluster import FIVE, World, accepted, with_learner, with_voter

from pebblehinge.lab.histories import order, register
from pebblehinge.raft import Membership
from pebblehinge.raft.errors import LeadershipTransferError

SPARE = ["f", "g"]  # names that may join


def draw_script(seed: int) -> list[str]:
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


def change_membership(world: World, verb: str, name: str) -> None:
    """Asks the leader for another membership, where that may be asked; it may refuse."""
    leader = world.leader()
    if leader is None:
        return
    now = leader.raft.membership
    if verb == "learn" and name not in now.all_members() and name not in world.removed:
        if name not in world.instances:
            world.add(name, FIVE)
        accepted(leader.raft, with_learner(now, name))
    elif verb == "vote" and name in now.learners:
        accepted(leader.raft, with_voter(now, name))
    elif verb == "drop" and name in now.voters and len(now.voters) > 3:
        if accepted(leader.raft, Membership(tuple(n for n in now.voters if n != name), now.learners)):
            world.removed.add(name)
    leader.process_ready()


def perform(world: World, line: str) -> None:
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
            world.blocked = {(a, b) for a, b in world.blocked if a in words[:bar]}
    elif verb in ("set", "read"):
        world.clients[int(words[0])].begin(verb, words[1])
    elif verb in ("learn", "vote", "drop"):
        change_membership(world, verb, words[0])
    elif instance is None:
        return
    elif verb == "crash" and instance.up and sum(not i.up for i in world.instances.values()) < 2:
        instance.crash()
    elif verb == "start" and not instance.up:
        instance.start()
    elif verb == "ahead" and instance.up:
        for _ in range(int(words[1])):
            instance.raft.tick()
            instance.process_ready()
    elif verb == "rate":
        instance.clock_rate = float(words[1])
    elif verb == "hand":
        leader = world.leader()
        if leader is not None:
            with contextlib.suppress(LeadershipTransferError):
                leader.raft.transfer_leadership(words[0])
            leader.process_ready()


def play_script(script: Sequence[str], seed: int) -> World:
    """Plays a script with lost, repeated and reordered messages; then all is healed, every member must have applied
    the same, and what clients saw must have an order that explains it."""
    world = World(FIVE, seed, loss_rate=0.1, duplicate_rate=0.1)
    world.max_delay = 6
    for line in script:
        perform(world, line)
    world.heal()
    world.loss_rate = 0.0
    for i in world.instances.values():
        i.clock_rate = 1.0
        if not i.up:
            i.start()
    # A leader that is about to be replaced may take a proposal and lose it: the client asks again.
    for _ in range(8):
        leader = world.until(world.leader)
        world.propose("last")
        world.run(80)
        members = [world.instances[n] for n in leader.raft.membership.all_members()]
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


def play_seed(seed: int) -> None:
    play_script(draw_script(seed), seed)


def shrink_script(script: list[str], fails: Callable[[list[str]], bool]) -> list[str]:
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
