"""HTTP/1.1 messages parsed from bytes and written as bytes, in both directions. No I/O, no clock, no decisions."""

from pebblehinge.http1.messages import HttpMessage, HttpRequest, HttpResponse
from pebblehinge.http1.parsers import RequestParser, ResponseParser, ResponseStream
from pebblehinge.http1.reader import MAX_REQUEST_BODY_BYTES, HttpError
from pebblehinge.http1.writing import write_request, write_response

__all__ = [
    "MAX_REQUEST_BODY_BYTES",
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
