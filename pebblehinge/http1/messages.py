"""Whole requests and answers, and an answer without end."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from pebblehinge.http1.reader import ANSWER_LIMIT, INFORMATIONAL_LIMIT, HttpError, _Message, _Reader


class HttpRequest(_Message):
    __slots__ = ("method", "target", "version")

    method: bytes
    target: bytes
    version: str


class HttpResponse(_Message):
    __slots__ = ("status",)

    status: int


class RequestParser(_Reader):
    """Requests out of what a client sends."""

    __slots__ = ("target", "told")

    def __init__(self) -> None:
        self.target = b""
        self.told = False  # the client asked whether to go on, and waits
        super().__init__(httptools.HttpRequestParser)

    def next(self) -> HttpRequest | None:
        """The next whole request, or None until more has come; raises HttpError."""
        if not self._next():
            return None
        request = HttpRequest(self.headers, b"".join(self.parts), self.keeps)
        request.method, request.target = self.parser.get_method(), self.target
        request.version = self.parser.get_http_version()
        self.target, self.told = b"", False
        self._renew()
        return request

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_headers_complete(self) -> None:
        old = self.parser.get_http_version() != "1.1"
        self._frame(old)
        if self.fault is None and not old:
            self.told = any(n == b"expect" and v.lower() == b"100-continue" for n, v in self.headers)


class ResponseParser(_Reader):
    """Answers out of what a shelf sends; 1xx in front are passed over."""

    __slots__ = ("passed",)

    most = ANSWER_LIMIT

    def __init__(self) -> None:
        self.passed = 0
        super().__init__(httptools.HttpResponseParser)

    def next(self) -> HttpResponse | None:
        """The answer once it is whole, or None until more has come; raises HttpError."""
        while self._next():
            status = self.parser.get_status_code()
            response = HttpResponse(self.headers, b"".join(self.parts), self.keeps)
            self._renew()
            if status >= 200:
                response.status, self.passed = status, 0
                return response
            self.passed += 1
            if self.passed > INFORMATIONAL_LIMIT:
                raise HttpError(502, f"more than {INFORMATIONAL_LIMIT} answers in front of one")
        return None

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if not 100 <= status <= 599:
            self.fault = (502, f"a status of {status}")
        bodyless = status < 200 or status in (204, 304)
        told = self._frame(bodyless)
        if self.fault is None and bodyless:
            self.length = 0
        elif self.fault is None and not told:
            # It would end with its connection: what a broken one left out could not be told from the whole.
            self.fault = (502, "an answer that does not tell its length")


class ResponseStream(ResponseParser):
    """One answer without end: its body is handed on as it comes, and the head's status once it is there."""

    __slots__ = ("sink",)

    def __init__(self, sink: Callable[[bytes], None]) -> None:
        self.sink = sink
        super().__init__()

    most = 2**40

    @property
    def status(self) -> int:
        """Of the answer whose head is whole, else 0."""
        return self.parser.get_status_code() if self.length >= 0 else 0

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        self.sink(data)

    def _bound(self, count: int, heading: bool) -> None:
        if heading:
            super()._bound(count, heading)
