"""Answers of the router itself to callers whose requests it refuses."""

from aiohttp import web

from monsoonlug.exceptions import MonsoonlugError
from monsoonlug.ids import RequestId


def build_refusal(request_id: RequestId, error: MonsoonlugError) -> web.Response:
    """Returns the answer that says why a request failed and whether it ran."""
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


def drop_body(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Ends the connection if a part of the request's body was not read.

    What is left of the body must not be read as the next request.
    """
    if request.body_exists and not request.content.is_eof():
        response.force_close()
