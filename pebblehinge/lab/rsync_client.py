"""A stand-in rsync client: lists, pulls and pushes over a stream that is handed in, as such tools do. No I/O.

Its files are in memory: a dictionary of names below the transfer's top. What it saw of a transfer stands in `Call`:
messages, files, how it ended, and the exit code that such a tool would give.
"""

from __future__ import annotations

from pebblehinge.lab.rsync_call import Call
from pebblehinge.lab.rsync_pull import PullSession
from pebblehinge.lab.rsync_push import PushSession
from pebblehinge.lab.rsync_session import Session
from pebblehinge.rsync.deletion import DELETE_LIMIT_REACHED
from pebblehinge.rsync.errors import (
    EXIT_DELETE_LIMIT,
    EXIT_PARTIAL,
    EXIT_START,
    EXIT_STREAM,
    ConnectionClosedError,
    RsyncError,
)
from pebblehinge.rsync.stream import TAG_ERROR_XFER, Stream


async def call(stream: Stream, wanted: Call, verb: str, path: str = "") -> Call:
    """Lists (`modules`, `list`), pulls or pushes. Everything that happened stands in the call, errors too."""
    session: Session = PushSession(stream, wanted) if verb == "push" else PullSession(stream, wanted)
    try:
        await session.run(verb, path)
        if session.io_error & DELETE_LIMIT_REACHED:
            wanted.code = EXIT_DELETE_LIMIT
        if wanted.code < 0:
            wanted.code = EXIT_PARTIAL if any(tag == TAG_ERROR_XFER for tag, _ in wanted.said) else 0
    except ConnectionClosedError as error:
        told = session.exit_code or (EXIT_START if not session.began else EXIT_STREAM)
        wanted.code, wanted.error = told, wanted.error or str(error)
    except RsyncError as error:
        wanted.code, wanted.error = session.exit_code or error.code, str(error)
    return wanted
