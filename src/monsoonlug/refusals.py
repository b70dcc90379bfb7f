"""HTTP responses to requests that the router refuses, and ends of cut responses."""

from aiohttp import web

from monsoonlug.exceptions import MonsoonlugError
from monsoonlug.ids import RequestId


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
    if request.transport is not None:
        request.transport.abort()
