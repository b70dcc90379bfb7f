"""Tests of the callers' HTTP interface."""

import json
from types import SimpleNamespace

import pytest
from aiohttp.test_utils import make_mocked_request

from monsoonlug.exceptions import StreamClosed
from monsoonlug.front import Front
from monsoonlug.view import View


@pytest.fixture
def front(monkeypatch):
    front = Front(
        host="h",
        uplink=SimpleNamespace(
            view=View(), lease=SimpleNamespace(is_view_fresh=lambda now: True)
        ),
        tokens=None,
        delivery_context=None,
        clock=lambda: 0.0,
        random=None,
        metrics=SimpleNamespace(incr=lambda name: None),
    )
    route = SimpleNamespace(name="r", objective=SimpleNamespace(latency=1.0))
    monkeypatch.setattr(front, "_admit", lambda *_: SimpleNamespace(route=route))
    monkeypatch.setattr(front, "_deliver", _fail)
    return front


async def _fail(*arguments):
    raise StreamClosed()


async def test_unreachable_gate_is_refused(front):
    """Guards against a cut connection where the request provably did not run."""
    response = await front.handle(make_mocked_request("GET", "/x"))
    document = json.loads(response.body)
    assert (response.status, document["ran"]) == (503, "not run")
    assert not front.running


@pytest.mark.parametrize("path", ["/x", "/ready"])
async def test_leaving_host_ends_connections(front, path):
    """Guards against a connection whose next request comes after the last answer."""
    front.is_leaving = True
    response = await front.handle(make_mocked_request("GET", path))
    assert response.keep_alive is False
