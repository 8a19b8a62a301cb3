"""The bytes of our own messages."""

from __future__ import annotations

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


def write_request(method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """A request up to where its last headers go: the caller ends the head itself."""
    lines = [method + b" " + target + b" HTTP/1.1\r\n"]
    lines += [name + b": " + value + b"\r\n" for name, value in headers]
    if body or method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join(lines)


def write_answer(status: int, body: bytes, keep_alive: bool, extra: bytes = b"") -> bytes:
    """An answer, whole; `extra` are further lines of its head."""
    reason = REASONS.get(status, "").encode()
    close = b"" if keep_alive else b"Connection: close\r\n"
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n%b" % (status, reason, len(body), close, extra, body)
