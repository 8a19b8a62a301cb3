"""Queries the state of a socket in the kernel, which may be ahead of what the event loop has read from it."""

import select
import socket

HANGUP_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def _poll(fileno: int, events: int) -> int:
    """Returns the events that are pending on a descriptor, without waiting."""
    poll = select.poll()
    poll.register(fileno, events)
    return next((event for _, event in poll.poll(0)), 0)


def is_readable(fileno: int) -> bool:
    """Returns whether the socket has something to read: bytes, the peer's end of stream, or a connection to accept."""
    return bool(_poll(fileno, select.POLLIN) & select.POLLIN)


def is_peer_closed(sock: socket.socket) -> bool:
    """Returns whether the peer has closed its side or the connection is lost, even if unread bytes precede that."""
    events = _poll(sock.fileno(), select.POLLIN | HANGUP_EVENTS)
    if events & HANGUP_EVENTS or not events:
        return bool(events)
    try:  # Without POLLRDHUP, the end of the stream is visible only once all bytes before it have been read.
        return not sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
