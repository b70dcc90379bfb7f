"""Helpers for tests that send requests to backend servers."""

from monsoonlug.backend import BackendRequest

EVENT_TIMEOUT = 10.0  # seconds that a test waits for an event


def format_address(listener):
    host, port = listener.getsockname()
    return f"{host}:{port}"


def make_request(
    backend,
    number=1,
    *,
    method="GET",
    headers=(),
    time_to_deadline=EVENT_TIMEOUT,
    **fields,
):
    values = {
        "workspace": "lights",
        "target": "/lookup/a%62?x=%2F+;&&y",
        "slice": 7,
        "slice_epoch": 41,
        "gate_epoch": 40,
        "idempotency_key": "",
    }
    values.update(fields)
    deadline = backend._clock() + time_to_deadline
    return BackendRequest(
        request=f"r{number}",
        method=method,
        headers=headers,
        deadline=deadline,
        **values,
    )


async def read_body(response):
    body = b""
    async for part in response.iterate():
        body += part
    return body
