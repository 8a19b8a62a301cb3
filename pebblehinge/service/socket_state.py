"""The state of a socket in the kernel, ahead of what the event loop has read from it."""

import select
import socket

HANGUP_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def _poll(fileno: int, events: int) -> int:
    """Return which events are pending on a descriptor, without waiting."""
    poll = select.poll()
    poll.register(fileno, events)
    return next((event for _, event in poll.poll(0)), 0)


def is_readable(fileno: int) -> bool:
    """Return whether anything is unread: bytes, the end of the peer's sending, or a connection to accept."""
    return bool(_poll(fileno, select.POLLIN) & select.POLLIN)


def is_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has ended its sending or the connection is lost, whatever is unread before that."""
    events = _poll(sock.fileno(), select.POLLIN | HANGUP_EVENTS)
    if events & HANGUP_EVENTS or not events:
        return bool(events)
    try:  # a system without POLLRDHUP shows the end only once all before it has been read
        return not sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
