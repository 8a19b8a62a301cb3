"""The connection of an rsync client up to its transfer: greeting, login, options, and messages."""

from __future__ import annotations

from pebblehinge.lab.rsync_call import Call
from pebblehinge.rsync.digests import login_digest, login_response
from pebblehinge.rsync.errors import EXIT_START, RsyncError
from pebblehinge.rsync.greeting import encode_greeting, parse_greeting
from pebblehinge.rsync.negotiation import NegotiatedOptions, negotiate
from pebblehinge.rsync.numbers import DONE, I32, FileIndexReader, FileIndexWriter, read_short, read_vstring
from pebblehinge.rsync.option_parser import parse_options
from pebblehinge.rsync.stream import (
    TAG_DELETED,
    TAG_ERROR,
    TAG_ERROR_EXIT,
    TAG_ERROR_XFER,
    TAG_INFO,
    TAG_IO_ERROR,
    TAG_NO_SEND,
    TAG_WARNING,
    Stream,
)
from pebblehinge.rsync.transfer_session import ITEM_BASIS_TYPE_FOLLOWS, ITEM_NAME_FOLLOWS, ITEM_TRANSFER


class Session:
    def __init__(self, stream: Stream, wanted: Call) -> None:
        self.stream, self.call = stream, wanted
        self.exit_code = self.io_error = 0
        self.began = False
        stream.on_message = self.message

    def message(self, tag: int, data: bytes) -> None:
        if tag in (TAG_ERROR_XFER, TAG_INFO, TAG_ERROR, TAG_WARNING, TAG_DELETED):
            self.call.said.append((tag, data.decode("utf-8", "surrogateescape").rstrip("\n")))
            if tag == TAG_ERROR:
                self.call.error = self.call.said[-1][1]
        elif tag == TAG_ERROR_EXIT and len(data) == 4:
            self.exit_code = int(I32.unpack(data)[0])
        elif tag == TAG_IO_ERROR and len(data) == 4:
            self.io_error |= int(I32.unpack(data)[0])
        elif tag == TAG_NO_SEND and len(data) == 4:
            self.call.no_send.append(int(I32.unpack(data)[0]))

    async def run(self, verb: str, path: str) -> None:
        stream, wanted = self.stream, self.call
        agreed = parse_greeting(await stream.line(), wanted.version)
        stream.put(encode_greeting(wanted.version) + (b"" if verb == "modules" else wanted.module.encode()) + b"\n")
        await stream.flush()
        if not await self._enter(agreed):
            return
        words = wanted.words(verb != "push", path)
        end = b"\0" if agreed.version >= 30 else b"\n"
        stream.put(b"".join(w + end for w in words) + end)
        options = parse_options(words)
        able = wanted.able if agreed.version >= 30 else ""
        await stream.flush()
        await negotiate(stream, agreed, options, False, 0, able)
        self.began = True
        stream.start_frames_in()
        if agreed.version >= 30:
            stream.start_frames_out()
        self.agreed, self.options = agreed, options
        self.index_in, self.index_out = FileIndexReader(agreed.version), FileIndexWriter(agreed.version)
        self.phases = 2 if agreed.version >= 29 else 1
        await self._transfer(verb)

    async def _enter(self, agreed: NegotiatedOptions) -> bool:
        """Lines up to OK; False where the connection ends before a transfer."""
        stream, wanted = self.stream, self.call
        while True:
            line = await stream.line()
            if line.startswith(b"@RSYNCD: AUTHREQD "):
                challenge = line[18:]
                # An older tool lists no sums, and does not look at the other side's.
                kind = login_digest(agreed.version, agreed.login_digests if agreed.version >= 31 else None)
                answer = login_response(kind, wanted.secret, challenge, agreed.version)
                stream.put(wanted.user.encode() + b" " + answer + b"\n")
                await stream.flush()
            elif line == b"@RSYNCD: OK":
                return True
            elif line == b"@RSYNCD: EXIT":
                return False
            elif line.startswith(b"@ERROR"):
                raise RsyncError(line.decode("utf-8", "replace"), EXIT_START)
            else:
                wanted.lines.append(line.decode("utf-8", "replace"))

    async def _transfer(self, verb: str) -> None:
        """The transfer itself, once the server has agreed to it."""
        raise NotImplementedError

    async def _item(self) -> tuple[int, int]:
        index = await self.index_in(self.stream)
        if index == DONE or self.agreed.version < 29:
            return index, ITEM_TRANSFER
        flags = await read_short(self.stream)
        if flags & ITEM_BASIS_TYPE_FOLLOWS:
            await self.stream.take(1)
        if flags & ITEM_NAME_FOLLOWS:
            await read_vstring(self.stream)
        return index, flags

    async def _done(self) -> None:
        self.stream.put(self.index_out(DONE))
        await self.stream.flush()
        index, _ = await self._item()
        if index != DONE:
            raise RsyncError(f"file {index} came where the phase should end")
