"""Parsers of requests, of responses, and of one response without end."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from pebblehinge.http1.messages import HttpRequest, HttpResponse
from pebblehinge.http1.reader import MAX_RESPONSE_BODY_BYTES, HttpError, MessageReader

MAX_INFORMATIONAL_RESPONSES = 8  # 1xx responses skipped before one final response
MIN_FINAL_STATUS = 200
BODYLESS_STATUSES = (204, 304)
MAX_STREAM_BYTES = 2**40  # bytes; a stream is not kept, so that only what a length header may say is bounded


class RequestParser(MessageReader):
    """Requests from what a client sends.

    Attributes:
        expects_continue: The client has sent `Expect: 100-continue` and waits for the interim response.
    """

    __slots__ = ("target", "expects_continue")

    parser: httptools.HttpRequestParser

    def __init__(self) -> None:
        self.target = b""
        self.expects_continue = False
        super().__init__(httptools.HttpRequestParser)

    def next(self) -> HttpRequest | None:
        """Return the next complete request, or None until more bytes have come.

        Raises:
            HttpError: What was received is no request within the limits.
        """
        if not self._read_message():
            return None
        request = HttpRequest(
            self.headers,
            b"".join(self.body_parts),
            self.keep_alive,
            self.parser.get_method(),
            self.target,
            self.parser.get_http_version(),
        )
        self.target = b""
        self.expects_continue = False
        self._reset()
        return request

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request's target; called by llhttp."""
        self.target += url

    def on_headers_complete(self) -> None:
        """Read the framing of the body once the head is complete; called by llhttp."""
        before_http11 = self.parser.get_http_version() != "1.1"
        self._read_framing(before_http11)
        if self.error is None and not before_http11:
            self.expects_continue = any(
                name == b"expect" and value.lower() == b"100-continue" for name, value in self.headers
            )


class ResponseParser(MessageReader):
    """Responses from what a storage node sends; informational ones (1xx) before them are skipped."""

    __slots__ = ("informational_count",)

    parser: httptools.HttpResponseParser
    max_body_bytes = MAX_RESPONSE_BODY_BYTES

    def __init__(self) -> None:
        self.informational_count = 0
        super().__init__(httptools.HttpResponseParser)

    def next(self) -> HttpResponse | None:
        """Return the response once it is complete, or None until more bytes have come.

        Raises:
            HttpError: What was received is no response within the limits.
        """
        while self._read_message():
            status = self.parser.get_status_code()
            response = HttpResponse(self.headers, b"".join(self.body_parts), self.keep_alive, status)
            self._reset()
            if status >= MIN_FINAL_STATUS:
                self.informational_count = 0
                return response
            self.informational_count += 1
            if self.informational_count > MAX_INFORMATIONAL_RESPONSES:
                raise HttpError(502, f"more than {MAX_INFORMATIONAL_RESPONSES} answers in front of one")
        return None

    def on_headers_complete(self) -> None:
        """Read the framing of the body once the head is complete; called by llhttp."""
        status = self.parser.get_status_code()
        if not 100 <= status <= 599:
            self.error = HttpError(502, f"a status of {status}")
        bodyless = status < MIN_FINAL_STATUS or status in BODYLESS_STATUSES
        framed = self._read_framing(bodyless)
        if self.error is None and bodyless:
            self.length = 0
        elif self.error is None and not framed:
            # Such a body ends with its connection: one cut short could not be told from a complete one.
            self.error = HttpError(502, "an answer that does not tell its length")


class ResponseStream(ResponseParser):
    """One response without end, whose body is passed to `sink` as it arrives."""

    __slots__ = ("sink",)

    max_body_bytes = MAX_STREAM_BYTES

    def __init__(self, sink: Callable[[bytes], None]) -> None:
        self.sink = sink
        super().__init__()

    @property
    def status(self) -> int:
        """Status of the response once its head is complete, 0 before."""
        return self.parser.get_status_code() if self.head_complete else 0

    def on_body(self, data: bytes) -> None:
        """Pass on a piece of the body; called by llhttp."""
        self.body_size += len(data)
        self.sink(data)

    def _check_size(self, count: int, in_head: bool) -> None:
        if in_head:
            super()._check_size(count, in_head)
