"""Tests of the HTTP front end of an entry."""

import json
from types import SimpleNamespace

import pytest
from aiohttp.test_utils import make_mocked_request

from monsoonlug.exceptions import StreamClosed
from monsoonlug.frontend import Frontend
from monsoonlug.view import View


@pytest.fixture
def frontend(monkeypatch):
    frontend = Frontend(
        host="h",
        control_client=SimpleNamespace(
            view=View(), lease=SimpleNamespace(is_view_fresh=lambda now: True)
        ),
        token_queue=None,
        delivery_context=None,
        clock=lambda: 0.0,
        random=None,
        metrics=SimpleNamespace(incr=lambda name: None),
    )
    route = SimpleNamespace(name="r", objective=SimpleNamespace(latency=1.0))
    monkeypatch.setattr(frontend, "_admit", lambda *_: SimpleNamespace(route=route))
    monkeypatch.setattr(frontend, "_deliver", _fail)
    return frontend


async def _fail(*arguments):
    raise StreamClosed()


async def test_unreachable_gate_is_refused(frontend):
    """Guards against closing the connection without a response.

    The request did not run, so the caller gets an error that says so.
    """
    response = await frontend.handle(make_mocked_request("GET", "/x"))
    document = json.loads(response.body)
    assert (response.status, document["ran"]) == (503, "not run")
    assert not frontend.running


@pytest.mark.parametrize("path", ["/x", "/ready"])
async def test_leaving_host_closes_connections(frontend, path):
    """Guards against a request on a connection that the stopping host closes."""
    frontend.is_leaving = True
    response = await frontend.handle(make_mocked_request("GET", path))
    assert response.keep_alive is False
