"""HTTP/1.1 messages parsed from bytes and written as bytes, in both directions. No I/O, no clock, no decisions."""

from pebblehinge.http1.messages import HttpMessage, HttpRequest, HttpResponse
from pebblehinge.http1.parsers import RequestParser, ResponseParser, ResponseStream
from pebblehinge.http1.reader import BODY_LIMIT, HttpError
from pebblehinge.http1.writing import write_request, write_response

__all__ = [
    "BODY_LIMIT",
    "HttpError",
    "HttpMessage",
    "HttpRequest",
    "HttpResponse",
    "RequestParser",
    "ResponseParser",
    "ResponseStream",
    "write_request",
    "write_response",
]
