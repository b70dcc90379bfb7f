"""HTTP responses to requests that the router refuses, and ends of cut responses."""

import socket
import struct

from aiohttp import HttpVersion11, web

from monsoonlug.exceptions import MonsoonlugError
from monsoonlug.ids import RequestId

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0


def build_error_response(request_id: RequestId, error: MonsoonlugError) -> web.Response:
    """Returns a response with the error's code and whether the request ran."""
    document = {
        "code": error.code,
        "message": str(error),
        "request": request_id,
        "ran": error.ran.value,
    }
    response = web.json_response(document, status=error.status)
    response.headers["X-Request-Id"] = request_id
    response.headers["X-Ran"] = error.ran.value.replace(" ", "-")
    return response


def close_if_body_unread(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Closes the connection after the response if request body bytes are unread.

    The rest of the body must not be parsed as the next request.
    """
    if request.body_exists and not request.content.is_eof():
        response.force_close()


def abort_connection(request: web.BaseRequest) -> None:
    """Closes the caller's connection, as the response on it is incomplete."""
    transport = request.transport
    if transport is None:
        return
    if request.version < HttpVersion11:
        # Without chunks, only a reset differs from the end of the body.
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
