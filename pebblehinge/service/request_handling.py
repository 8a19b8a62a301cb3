"""Handles a complete request of a client: answers questions about health itself, and has the others admitted."""

from __future__ import annotations

from typing import Any, Protocol

from pebblehinge.http1 import HttpError, HttpRequest
from pebblehinge.service.client_request import read_request
from pebblehinge.service.context import AdmittedConnection, RequestAdmission, ServiceContext
from pebblehinge.service.request_ids import IdState

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
LIVE_TARGET = b"/health/live"
READY_TARGET = b"/health/ready"


class RequestConnection(AdmittedConnection, Protocol):
    """The part of a client connection that the handling of its requests uses.

    Attributes:
        keep_alive: Whether the connection may stay open after the answer to the last request.
        transport: The transport of the connection.
    """

    keep_alive: bool
    transport: Any


def handle_request(
    conn: RequestConnection, request: HttpRequest, context: ServiceContext, admission: RequestAdmission
) -> None:
    """Answers or admits a request.

    Raises:
        HttpError: The request violates the protocol.
    """
    if request.version not in ("1.0", "1.1"):
        raise HttpError(400, "not HTTP/1.1")
    conn.keep_alive = request.keep_alive
    if request.method == b"GET" and request.target in (READY_TARGET, LIVE_TARGET):
        is_healthy = request.target == LIVE_TARGET or context.is_ready()
        conn.respond(200 if is_healthy else 503)
        return
    parsed_request = read_request(request, context.config)
    id_state = admission.request_ids.state(parsed_request.id, context.clock())
    if id_state is IdState.OPEN:
        raise HttpError(400, "X-Request-Id: open already")
    if id_state is IdState.MAY_HAVE_RUN:
        raise HttpError(409, "X-Request-Id: of a request that may have run, and may not run again")
    admission.admit(conn, parsed_request, request.body)


def answer_expectation(conn: RequestConnection) -> None:
    """Answers `Expect: 100-continue` of an incomplete request, once."""
    if conn.input.parser.expects_continue:
        conn.input.parser.expects_continue = False
        conn.transport.write(CONTINUE_RESPONSE)
