"""The strong digests: by name, for blocks with the transfer's seed, for whole files, and for logins."""

from __future__ import annotations

import base64
import hashlib
import struct
from collections.abc import Callable
from typing import Any, Protocol

import xxhash
from Crypto.Hash import MD4

SEED = struct.Struct("<I")
SEED_MASK = 0xFFFFFFFF
MD_BYTES = 16

TRANSFER_DIGESTS = ("xxh128", "xxh3", "xxh64", "md5", "md4")
"""Digests of a transfer; the first that both sides know is taken, in the client's order."""

LOGIN_DIGESTS = ("sha512", "sha256", "sha1", "md5", "md4")
"""Digests of a login, likewise."""

_XXHASHES: dict[str, tuple[Callable[..., Any], int]] = {
    "xxh64": (xxhash.xxh64, 8),
    "xxh3": (xxhash.xxh3_64, 8),
    "xxh128": (xxhash.xxh3_128, 16),
}
"""The digests of xxhash, and their lengths in bytes."""


class IncrementalDigest(Protocol):
    """A digest that is fed."""

    def update(self, data: bytes, /) -> Any:
        """Takes more data."""

    def digest(self) -> bytes:
        """Returns the digest of what was fed so far."""


class _ReversedDigest:
    """A digest of xxhash as the protocol writes it.

    xxhash gives its digests with the highest byte first; the protocol writes them with the lowest first, a 128-bit one
    as its low half and its high half.
    """

    def __init__(self, digest: Any) -> None:
        self._digest = digest

    def update(self, data: bytes) -> None:
        self._digest.update(data)

    def digest(self) -> bytes:
        return bytes(reversed(self._digest.digest()))


class Digest:
    """One kind of digest, as one transfer uses it.

    Attributes:
        name: Its name in the negotiation.
        length: Its length in bytes.
        whole: Begins the digest of a file.
        block: Returns the digest of a block, with the transfer's seed in it.
    """

    def __init__(self, name: str, seed: int, version: int, seed_first: bool) -> None:
        """Creates a kind of digest.

        Args:
            name: One of `TRANSFER_DIGESTS`.
            seed: The transfer's seed.
            version: The protocol version.
            seed_first: Whether the seed stands before a block; with md5 alone.
        """
        self.name = name
        self.length = MD_BYTES
        self.whole: Callable[[], IncrementalDigest]
        self.block: Callable[[bytes], bytes]
        if name == "md5":
            self._use_md5(SEED.pack(seed & SEED_MASK), seed_first)
        elif name == "md4":
            self._use_md4(seed, version)
        else:
            self._use_xxhash(name, seed)

    def _use_md5(self, seed: bytes, seed_first: bool) -> None:
        self.whole = lambda: hashlib.md5(usedforsecurity=False)
        if seed_first:
            self.block = lambda data: hashlib.md5(seed + data, usedforsecurity=False).digest()
        else:
            self.block = lambda data: hashlib.md5(data + seed, usedforsecurity=False).digest()

    def _use_md4(self, seed: int, version: int) -> None:
        seed_bytes = SEED.pack(seed & SEED_MASK)
        # Before version 30 the seed also stands in front of a whole file.
        self.whole = (lambda: MD4.new(seed_bytes)) if version < 30 else MD4.new
        self.block = lambda data: MD4.new(data + seed_bytes if seed else data).digest()

    def _use_xxhash(self, name: str, seed: int) -> None:
        make, self.length = _XXHASHES[name]
        self.whole = lambda: _ReversedDigest(make())
        self.block = lambda data: bytes(reversed(make(data, seed=seed & SEED_MASK).digest()))


def login_response(name: str, secret: bytes, challenge: bytes, version: int) -> bytes:
    """Returns the response to a challenge: base64 without padding."""
    if name == "md4":
        # Before version 30 a seed of 0 stands in front, as in all its digests.
        raw = MD4.new((SEED.pack(0) if version < 30 else b"") + secret + challenge).digest()
    else:
        raw = hashlib.new(name, secret + challenge, usedforsecurity=False).digest()
    return base64.b64encode(raw).rstrip(b"=")


def login_digest(version: int, client: list[str] | None) -> str:
    """Returns the first digest of the client's list that is known here; without a list as the version has it."""
    for name in client or ():
        if name in LOGIN_DIGESTS:
            return name
    return "md5" if version >= 30 else "md4"
