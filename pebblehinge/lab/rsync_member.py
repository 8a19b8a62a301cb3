"""A member of the rsync load: one folder, and the contents that may stand in it."""

from __future__ import annotations

import random

from pebblehinge.lab.rsync_call import Local, folder

EPOCH = 1_700_000_000


class Member:
    """One folder, and what may stand in it."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name, self.rng = name, rng
        self.files: dict[bytes, Local] = {}
        self.versions = 0
        self.may: dict[bytes, list[bytes | None]] = {}  # by file: the contents that may stand there; None: nothing
        self.busy = False

    def change(self, files: tuple[float, float], sizes: tuple[int, int]) -> None:
        """A new version: some files altered in places, some new, some whole."""
        self.versions += 1
        rng, mtime = self.rng, EPOCH + self.versions
        for _ in range(rng.randint(int(files[0]), int(files[1]))):
            name = b"d%d/f%d" % (rng.randrange(2), rng.randrange(6))
            old = self.files.get(name)
            if old is None or not old.data or rng.random() < 0.4:
                low, high = sizes
                data = rng.randbytes(int(low * (high / low) ** rng.random()))
            else:
                at = rng.randrange(len(old.data) + 1)
                data = old.data[:at] + rng.randbytes(rng.randint(0, 200)) + old.data[at + rng.randint(0, 100) :]
            self.files[name] = Local(data, mtime)
        for n in range(2):
            self.files.setdefault(b"d%d" % n, folder(EPOCH))
        self.files[b"."] = folder(EPOCH)

    def tried(self) -> None:
        """A push of this version has begun: from now on it may be what stands."""
        for name, f in self.files.items():
            if f.mode & 0o100000:
                known = self.may.setdefault(name, [None])
                if f.data not in known:
                    known.append(f.data)

    def landed(self) -> None:
        """The push ended well: nothing older may stand any more."""
        for name, f in self.files.items():
            if f.mode & 0o100000:
                self.may[name] = [f.data]

    def wrong(self, found: dict[bytes, Local]) -> list[str]:
        """What stands and may not."""
        return [
            name.decode()
            for name, may in sorted(self.may.items())
            if (found[name].data if name in found else None) not in may
        ]
