"""A look at a socket itself, past what the loop has read of it."""

import select
import socket

GONE = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def _look(fileno: int, asked: int) -> int:
    poll = select.poll()
    poll.register(fileno, asked)
    return next((event for _, event in poll.poll(0)), 0)


def readable(fileno: int) -> bool:
    """Something lies there unread, the end of the other side's sending or a connection that waits included."""
    return bool(_look(fileno, select.POLLIN) & select.POLLIN)


def ended(sock: socket.socket) -> bool:
    """The other side has ended its sending or the connection is broken, whatever lies unread in front of that."""
    found = _look(sock.fileno(), select.POLLIN | GONE)
    if found & GONE or not found:
        return bool(found)
    try:  # where the system does not tell an end by itself: it is all that is left to read
        return not sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
