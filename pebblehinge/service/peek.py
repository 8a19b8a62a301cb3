"""A look at a socket itself, past what the loop has read of it."""

import select


def readable(fileno: int) -> bool:
    """Something lies there unread, the end of the other side's sending or a connection that waits included."""
    poll = select.poll()
    poll.register(fileno, select.POLLIN)
    return any(event & select.POLLIN for _, event in poll.poll(0))
