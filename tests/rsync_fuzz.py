"""What any bytes are fed to: every decoder of the rsync protocol, and the daemon's end of a whole connection.

`one(data)` returns, or raises what is a defect: an error other than RsyncError, more memory than the input justifies,
or a coroutine that goes on though nothing more comes. Used by the tests, and by `benchmarks/fuzz_rsync.py` for hours.
"""

from __future__ import annotations

import asyncio
from typing import Any

from pebblehinge.lab.virtual import VirtualLoop
from pebblehinge.rsync.block_checksums import read_block_checksums
from pebblehinge.rsync.delta import BlockSearch
from pebblehinge.rsync.digests import Digest
from pebblehinge.rsync.errors import RsyncError
from pebblehinge.rsync.filters import Filters, read_filters
from pebblehinge.rsync.flist import ListFormat, sort_entries
from pebblehinge.rsync.flist_reader import FileListReader
from pebblehinge.rsync.greeting import parse_greeting
from pebblehinge.rsync.module_store import ModuleStore
from pebblehinge.rsync.numbers import FileIndexReader, read_longint, read_varint, read_varlong, read_vstring
from pebblehinge.rsync.option_parser import parse_options
from pebblehinge.rsync.partial_uploads import PartialUploads
from pebblehinge.rsync.request_scheduler import RequestScheduler
from pebblehinge.rsync.serve import serve
from pebblehinge.rsync.stream import Stream
from pebblehinge.rsync.tokens import DeflatedTokenReader, PlainTokenReader
from pebblehinge.rsync.transfer import Transfer
from pebblehinge.rsync.transfer_report import TransferReport
from pebblehinge.rsync.transfer_scheduler import TransferScheduler
from pebblehinge.rsync.tree import Directory, block_extent
from pebblehinge.settings.schema import ModuleBlock
from pebblehinge.wire.frames import APPEND_RESULT

CONCURRENCY_LIMIT = 8 << 20  # bytes that one input may make a decoder give


def drive(coro: Any) -> Any:
    """Runs a coroutine that never has to wait, since all bytes are there."""
    try:
        coro.send(None)
    except StopIteration as stop:
        return stop.value
    coro.close()
    raise AssertionError("it waits though nothing more comes")


async def _never() -> None:
    raise AssertionError("it waits though nothing more comes")


async def _at_once() -> None:
    pass


def stream_of(data: bytes, framed: bool = False) -> Stream:
    stream = Stream(_never, lambda out: None, _at_once, _at_once)
    stream.feed(data)
    stream.end()
    stream.mux_in = framed
    return stream


async def _numbers(stream: Stream) -> None:
    index = FileIndexReader(31)
    while True:
        await read_varint(stream)
        await read_varlong(stream, 3)
        await read_varlong(stream, 4)
        await read_longint(stream)
        await read_vstring(stream)
        await index(stream)


async def _tokens(stream: Stream, tokens: Any) -> None:
    given = 0
    while (token := await tokens.next(stream)) is not None and given < CONCURRENCY_LIMIT:
        if isinstance(token, bytes):
            assert 0 < len(token) <= 1 << 15, len(token)
            given += len(token)
        else:
            given += 4096  # a run stands for many: who takes them stops somewhere


async def _sums(stream: Stream, rest: bytes) -> None:
    digest = Digest("xxh64", 7, 31, True)
    search = BlockSearch(await read_block_checksums(stream), digest)
    given = sum(len(t) if isinstance(t, bytes) else 0 for t in (*search.feed(rest), *search.end()))
    assert given <= len(rest)


async def _list(stream: Stream, shape: ListFormat) -> None:
    sort_entries(shape.version, await FileListReader(shape, 1000).read(stream))


class FakeServerContext:
    """A server with one open module, whose blocks are in a dictionary."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.modules = {
            "m": ModuleBlock(
                volume="v",
                read="r",
                write="w",
                commit="c",
                read_only=False,
                block=4096,
                ahead=8192,
                max_files=100,
                max_size=1 << 20,
            )
        }
        self.motd = ""
        self.held: dict[str, bytearray] = {}
        turns = TransferScheduler(loop, loop.time, RequestScheduler(8, 4))
        self.store = ModuleStore("m", self.modules["m"], [0], 100.0, turns, self.request, PartialUploads(10, 1e6))
        self.transfers: list[Transfer] = []

    async def request(self, *, op: int, extent: str, offset: int, length: int, data: bytes, **_: Any) -> Any:
        held = self.held.setdefault(extent, bytearray())

        class Done:
            final, retry_after_ms, reason, data = "honoured", 0.0, "", b""

        done = Done()
        if op == 0:
            done.data = bytes(held[offset : offset + length])
        elif op == 1 or len(held) == offset:
            held[offset : offset + len(data)] = data
        if op == 2:
            done.data = APPEND_RESULT.pack(len(held) == offset + len(data), len(held))
        return done

    def admits(self, module: str) -> str | None:
        return None

    def secret(self, user: str) -> bytes | None:
        return None

    def challenge(self) -> bytes:
        return b"challenge"

    def seed(self) -> int:
        return 5

    def begin(self, module: str, user: str) -> Transfer:
        self.transfers.append(Transfer(self.store, "t", 1e9))
        return self.transfers[-1]


LOOP = VirtualLoop()


def whole(data: bytes) -> None:
    """A connection on which these bytes come, and then no more."""

    async def main() -> None:
        context = FakeServerContext(LOOP)
        stream = stream_of(data)
        try:
            await serve(stream, context, TransferReport())
        except RsyncError:
            pass
        for entry in context.store.log(b"").directory.entries.values():
            # Whatever became visible is whole.
            if entry.kind == "f" and entry.size > 2048 and not entry.indirect:
                for at in range(0, len(entry.checksums), 16):
                    sum_ = entry.checksums[at : at + 16]
                    assert not any(sum_) or block_extent("m", sum_) in context.held

    LOOP.run_until_complete(main())
    assert not LOOP.callback_errors, LOOP.callback_errors


PUSH = b"@RSYNCD: 31.0 md5\nm\n--server\0-logDtpre.LsfxC\0.\0m/\0\0"
PULL = b"@RSYNCD: 30.0\nm\n--server\0--sender\0-re.LsfxCIvu\0.\0m/\0\0"
OLD = b"@RSYNCD: 27\nm\n--server\n-logDtpr\n.\nm/\n\n"


def one(data: bytes) -> None:
    """The first byte says which decoder gets the rest."""
    if not data:
        return
    kind, rest = data[0] % 14, data[1:]
    try:
        if kind == 0:
            drive(_numbers(stream_of(rest)))
        elif kind == 1:
            drive(_tokens(stream_of(rest), PlainTokenReader()))
        elif kind == 2:
            drive(_tokens(stream_of(rest), DeflatedTokenReader()))
        elif kind == 3:
            drive(_sums(stream_of(rest), rest))
        elif kind == 4:
            filters = drive(read_filters(stream_of(rest)))
            filters.includes(b"a/b", False)
        elif kind == 5:
            Filters([rest]).includes(b"some/name", True)
        elif kind == 6:
            parse_options(rest.split(b"\0"))
        elif kind == 7:
            parse_greeting(rest)
        elif kind == 8:
            Directory().feed(rest)
        elif kind in (9, 10) and rest:
            bits, version = rest[0], 27 + rest[0] % 5
            varint = version >= 30 and bool(bits & 64)
            shape = ListFormat(
                version,
                bool(bits & 8),
                bool(bits & 16),
                bool(bits & 32),
                digest_bytes=16 if bits & 128 else 0,
                varint_flags=varint,
                io_error_end=version >= 30,
            )
            drive(_list(stream_of(rest[1:], kind == 10), shape))
        elif kind == 11:
            whole(rest)
        elif kind == 12:
            whole((PUSH if rest[:1] < b"\x80" else OLD) + rest[1:])
        else:
            whole(PULL + rest)
    except RsyncError:
        pass
