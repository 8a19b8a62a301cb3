"""HTTP/1.1 messages out of bytes and back, both directions. No I/O, no clock, no decisions."""

from pebblehinge.http1.messages import HttpRequest, HttpResponse, RequestParser, ResponseParser, ResponseStream
from pebblehinge.http1.reader import BODY_LIMIT, HttpError
from pebblehinge.http1.writing import write_answer, write_request

__all__ = [
    "BODY_LIMIT",
    "HttpError",
    "HttpRequest",
    "RequestParser",
    "HttpResponse",
    "ResponseParser",
    "ResponseStream",
    "write_answer",
    "write_request",
]
