"""Parsers of requests, responses and streamed responses."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import httptools

from pebblehinge.http1.errors import HttpError
from pebblehinge.http1.messages import HttpRequest, HttpResponse
from pebblehinge.http1.reader import MAX_REQUEST_BODY_BYTES, MAX_RESPONSE_BODY_BYTES, MessageReader

MAX_INFORMATIONAL_RESPONSES = 8  # 1xx responses that are skipped before a final response
MIN_FINAL_STATUS = 200
BODYLESS_STATUSES = (204, 304)
MAX_STREAM_BYTES = 2**40  # bounds only the Content-Length of a stream, whose body is not stored


class RequestParser(MessageReader):
    """Parser of the requests that a client sends.

    Attributes:
        target: The request target received so far.
        expects_continue: Whether the client sent `Expect: 100-continue` and waits for the interim response.
    """

    __slots__ = ("target", "expects_continue")

    parser: httptools.HttpRequestParser

    def __init__(self) -> None:
        self.target = b""
        self.expects_continue = False
        super().__init__(httptools.HttpRequestParser)

    def next(self, max_bytes: int | None = None) -> HttpRequest | None:
        """Returns the next complete request, or None if more bytes are needed or `is_interrupted` is set.

        Args:
            max_bytes: About how many bytes are parsed at the most, so that the call is short; None for no limit.

        Raises:
            HttpError: The bytes are not a valid request, or exceed a limit.
        """
        if not self._read_message(max_bytes):
            return None
        request = HttpRequest(
            self.headers,
            bytes(self.body),
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
        """Appends a part of the request target; called by llhttp."""
        self.target += url

    def on_headers_complete(self) -> None:
        """Reads the framing of the body from the complete head; called by llhttp."""
        before_http11 = self.parser.get_http_version() != "1.1"
        self._read_framing(before_http11)
        if self.error is None and not before_http11:
            self.expects_continue = any(
                name == b"expect" and value.lower() == b"100-continue" for name, value in self.headers
            )


class ResponseParser(MessageReader):
    """Parser of the responses that a storage node sends; it skips informational responses (1xx)."""

    __slots__ = ("informational_count",)

    parser: httptools.HttpResponseParser
    max_body_bytes = MAX_RESPONSE_BODY_BYTES

    def __init__(self) -> None:
        self.informational_count = 0
        super().__init__(httptools.HttpResponseParser)

    def next(self) -> HttpResponse | None:
        """Returns the next complete final response, or None if more bytes are needed.

        Raises:
            HttpError: The bytes are not a valid response, or exceed a limit.
        """
        while self._read_message():
            status = self.parser.get_status_code()
            response = HttpResponse(self.headers, self._take_body(), self.keep_alive, status)
            self._reset()
            if status >= MIN_FINAL_STATUS:
                self.informational_count = 0
                return response
            self.informational_count += 1
            if self.informational_count > MAX_INFORMATIONAL_RESPONSES:
                raise HttpError(
                    502, f"more than {MAX_INFORMATIONAL_RESPONSES} informational responses before the final response"
                )
        return None

    def _take_body(self) -> bytes:
        """Returns the body; a large one as the array that it is, as a copy would take its size once more."""
        return bytes(self.body) if len(self.body) <= MAX_REQUEST_BODY_BYTES else cast(bytes, self.body)

    def on_headers_complete(self) -> None:
        """Reads the framing of the body from the complete head; called by llhttp."""
        status = self.parser.get_status_code()
        if not 100 <= status <= 599:
            self.error = HttpError(502, f"invalid status code {status}")
        is_bodyless = status < MIN_FINAL_STATUS or status in BODYLESS_STATUSES
        has_length = self._read_framing(is_bodyless)
        if self.error is None and is_bodyless:
            self.length = 0
        elif self.error is None and not has_length:
            # Such a body ends when the connection closes, so a truncated body would look complete.
            self.error = HttpError(502, "the response does not state the length of its body")


class ResponseStream(ResponseParser):
    """Parser of one response of unlimited length, whose body is passed to `sink` as it arrives."""

    __slots__ = ("sink",)

    max_body_bytes = MAX_STREAM_BYTES

    def __init__(self, sink: Callable[[bytes], None]) -> None:
        self.sink = sink
        super().__init__()

    @property
    def status(self) -> int:
        """The status code of the response, or 0 until its head is complete."""
        return self.parser.get_status_code() if self.head_framing is None else 0

    def on_body(self, data: bytes) -> None:
        """Passes a part of the body to `sink`; called by llhttp."""
        self.body_size += len(data)
        self.sink(data)

    def _check_size(self, byte_count: int, in_head: bool) -> None:
        if in_head:
            super()._check_size(byte_count, in_head)
