"""Tests of the logs: prefixes, rate limit, and no workspace key in any line."""

import asyncio
import json
import logging
import os
from random import Random

import pytest
from aiohttp import web

from monsoonlug import frontend as frontend_module
from monsoonlug.frontend import Frontend
from monsoonlug.ids import HostId
from monsoonlug.logs import RateLimitedOutput, get_logger
from monsoonlug.statsd_metrics import NullStatsClient
from monsoonlug.view import View
from tests.log_helpers import configure_test_logs

KEY = "workspace-key-of-a-test"


class FakeControlClient:
    """Control client whose view has an empty catalogue."""

    view = View()

    @property
    def lease(self):
        return self

    def is_view_fresh(self, now):
        return True


@pytest.fixture(params=["text", "json"])
def log_format(request, capsys):
    with configure_test_logs(log_format=request.param):
        yield request.param


@pytest.fixture
async def send(log_format):
    """Returns a function that sends raw bytes to a `Frontend`, returns the answer."""
    frontend = Frontend(
        host=HostId("h"),
        control_client=FakeControlClient(),
        token_queue=None,
        delivery_context=None,
        clock=asyncio.get_running_loop().time,
        random=Random(0),
        metrics=NullStatsClient(),
    )
    runner = web.ServerRunner(web.Server(frontend.handle, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()

    async def send(data):
        reader, writer = await asyncio.open_connection(*runner.addresses[0][:2])
        writer.write(data)
        answer = await reader.read(4096)
        writer.close()
        return answer

    yield send
    await runner.cleanup()


REQUEST_HEADS = [
    f"GET /{KEY} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {KEY}",
    f"GET / HTTP/1.1\r\nHost: h\r\nX-Workspace-Key: {KEY}\0",
    f"GET / HTTP/1.1\r\nHost: h\r\nX-Workspace-Key {KEY}",
    f"GET /?workspace_key={KEY} HTTP/9\r\nHost: h",
    f"{KEY} / HTTP/1.1\r\nHost: h",
]


@pytest.mark.parametrize("head", REQUEST_HEADS)
async def test_refused_request_leaves_no_key_in_the_log(send, head, capsys):
    """Guards against a parser error that quotes the malformed line."""
    answer = await send(head.encode() + b"\r\n\r\n")
    assert b" 4" in answer.partition(b"\r\n")[0]
    text = capsys.readouterr().err
    assert text
    assert KEY not in text


async def test_failed_request_leaves_no_key_in_the_log(send, capsys, monkeypatch):
    """Guards against an unexpected exception whose message quotes the request."""

    def fail(*args, **kwargs):
        raise ValueError(f"not valid: {KEY}")

    monkeypatch.setattr(frontend_module, "admit_request", fail)
    assert b"500" in await send(f"GET /{KEY} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    text = capsys.readouterr().err
    assert "ValueError" in text
    assert KEY not in text


def test_libraries_log_with_their_prefix(log_format, capsys):
    """Guards against library log lines that bypass the format or quote exceptions."""
    try:
        raise ValueError(KEY)
    except ValueError:
        text = f"Task failed\nexception={KEY}"
        logging.getLogger("asyncio").error(text, exc_info=True)
    get_logger("entry").bind(request="r1").info("Text {}.", "{x}")
    library, own = capsys.readouterr().err.splitlines()
    assert KEY not in library
    if log_format == "json":
        assert json.loads(library)["part"] == "asyncio"
        assert json.loads(own)["request"] == "r1"
        return
    assert " ERROR   asyncio: Task failed (ValueError in " in library
    assert own.endswith(" INFO    entry: Text {x}. [request r1]")


def test_traceback_omits_the_exception_message(log_format, capsys):
    """Guards against tracebacks whose last line quotes a request."""
    try:
        raise ValueError(KEY)
    except ValueError:
        get_logger("front").exception("Request failed.")
    text = capsys.readouterr().err
    assert "test_logs.py" in text
    assert KEY not in text


def test_rate_limited_output_reports_dropped_lines(tmp_path):
    """Guards against a log whose rate is unlimited under load."""
    path = tmp_path / "log"
    file = os.open(path, os.O_WRONLY | os.O_CREAT)
    output = RateLimitedOutput(file=file, rate=1e-9, burst=3)
    for number in range(10):
        output.write(f"line {number}\n")
    assert output.dropped == 7
    output._tokens = 1.0
    output.write("last\n")
    os.close(file)
    lines = path.read_text().splitlines()
    assert lines[:3] == ["line 0", "line 1", "line 2"]
    assert "Dropped 7 log lines." in lines[3]
    assert lines[4] == "last"


def test_rate_limited_output_does_not_block_on_its_reader():
    """Guards against requests that wait for a slow reader of the log."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    output = RateLimitedOutput(file=writer, rate=1e9, burst=1e9)
    for _ in range(5_000):
        output.write("x" * 100 + "\n")
    assert output.dropped > 0
    os.close(reader)
    os.close(writer)
