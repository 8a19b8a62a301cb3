"""Parsers and writers of HTTP/1.1 requests and responses. The package does no I/O and reads no clock."""

from pebblehinge.http1.errors import HttpError
from pebblehinge.http1.messages import HttpMessage, HttpRequest, HttpResponse
from pebblehinge.http1.parsers import RequestParser, ResponseParser, ResponseStream
from pebblehinge.http1.reader import HEADER_OVERHEAD_BYTES, MAX_REQUEST_BODY_BYTES
from pebblehinge.http1.writing import response_head, write_request

__all__ = [
    "HEADER_OVERHEAD_BYTES",
    "MAX_REQUEST_BODY_BYTES",
    "HttpError",
    "HttpMessage",
    "HttpRequest",
    "HttpResponse",
    "RequestParser",
    "ResponseParser",
    "ResponseStream",
    "response_head",
    "write_request",
]
