"""Functions that encode requests and responses."""

from __future__ import annotations

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


def write_request(method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Returns the head of a request without its final empty line, so that the caller can append headers.

    Args:
        method: The method, such as GET.
        target: Path and query.
        headers: Pairs of name and value, in order; Content-Length is added, except to a GET without a body.
        body: The body that the caller sends after the head; only its length is used here.
    """
    lines = [method + b" " + target + b" HTTP/1.1\r\n"]
    lines += [name + b": " + value + b"\r\n" for name, value in headers]
    if body or method != b"GET":
        lines.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join(lines)


def response_head(status: int, body_bytes: int, keep_alive: bool, extra_headers: bytes = b"") -> bytes:
    """Returns the head of a response with a body of `body_bytes`; `extra_headers` holds complete header lines."""
    reason = REASON_PHRASES.get(status, "").encode()
    close = b"" if keep_alive else b"Connection: close\r\n"
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b%b\r\n" % (status, reason, body_bytes, close, extra_headers)
