"""Trees of files that the rsync tests push and pull, and what of them stands in a module."""

from __future__ import annotations

import random

from rsync_town import Town

from pebblehinge.lab.rsync_call import Local, folder, link

RNG = random.Random(77)
BIG = RNG.randbytes(300_000)
TREE = {
    b".": folder(),
    b"a": folder(),
    b"a/one.txt": Local(b"hello" * 10),
    b"a/big": Local(BIG),
    b"empty": Local(b""),
    b"n\xff\xfe": Local(b"x" * 5000),  # no UTF-8
    b"l": link(b"a/one.txt"),
}


def held(files: dict[bytes, Local]) -> dict[bytes, bytes]:
    return {name: f.data + bytes(f.zeros) for name, f in files.items()}


async def stands(t: Town, path: str = "", head: str = "h1") -> dict[bytes, bytes]:
    got = await t.pull(path, head)
    assert got.code == 0, (got.code, got.error, got.said)
    return held(got.files)
