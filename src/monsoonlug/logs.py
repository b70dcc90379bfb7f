"""Configuration of the logs: one line per event, prefixed with the component's name.

Records that libraries write to the standard `logging` module are prefixed with the name
of the library. Messages of exceptions that this package does not define are omitted, as
they may quote a request and with it a workspace key.
"""

import json
import logging
import os
import sys
import time
import traceback
from collections.abc import Callable

from loguru import logger

from monsoonlug.exceptions import MonsoonlugError

_TEXT_TEMPLATE = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[part]}: {message}{extra[id]}\n"
)
_JSON_TEMPLATE = "{extra[line]}\n"
_RESERVED_FIELDS = frozenset({"part", "request", "traceback", "line", "id", "trace"})
MAX_LINES_PER_SECOND = 100.0  # of one process; a line takes about 60 us
MAX_BURST_LINES = 400.0


class _LibraryHandler(logging.Handler):
    """Forwards records of the standard `logging` module to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs the first line of a record, without the message of its exception."""
        # Later lines of asyncio's records contain the repr of tasks and exceptions.
        text = _build_message(record).partition("\n")[0]
        if record.exc_info and record.exc_info[1] is not None:
            text += f" ({_describe_location(record.exc_info[1])})"
        library = record.name.partition(".")[0]
        if library == "monsoonlug":
            # The library mode names a service's logger after the module of its class.
            library = "mode"
        level = record.levelname
        if level not in logging.getLevelNamesMapping() or level == "NOTSET":
            level = "INFO"
        logger.bind(part=library).log(level, "{}", text)


class RateLimitedOutput:
    """Non-blocking log output with a token-bucket rate limit.

    Neither a slow reader nor a high rate of log lines may delay requests. Dropped lines
    are counted, and the next line that is written is preceded by their number.

    Args:
        file: File descriptor to write to.
        rate: Lines per second.
        burst: Lines that may be written at once.
    """

    def __init__(
        self,
        *,
        file: int,
        rate: float = MAX_LINES_PER_SECOND,
        burst: float = MAX_BURST_LINES,
    ):
        self._file = file
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._unwritten = b""
        self.dropped = 0

    def write(self, text: str) -> None:
        """Writes a line, or drops and counts it."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 or not self._flush():
            self.dropped += 1
            return
        self._tokens -= 1
        if self.dropped:
            notice = {"part": "logs", "message": f"Dropped {self.dropped} log lines."}
            text = json.dumps(notice) + "\n" + text
            self.dropped = 0
        self._unwritten = text.encode()
        self._flush()

    def _flush(self) -> bool:
        """Writes the rest of the last line; returns whether all of it is written."""
        if not self._unwritten:
            return True
        try:
            written = os.write(self._file, self._unwritten)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the output, and there is nowhere else to log to.
            self.dropped += 1
            self._unwritten = b""
            return True
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def configure_rate_limited_logs(*, log_level: str) -> RateLimitedOutput:
    """Sends all logs to standard output as JSON lines, without blocking.

    Args:
        log_level: Lowest level that is logged; see `configure_logs`.
    """
    file = sys.stdout.fileno()
    os.set_blocking(file, False)
    output = RateLimitedOutput(file=file)
    configure_logs(log_format="json", log_level=log_level, write=output.write)
    return output


def configure_logs(
    *, log_format: str, log_level: str, write: Callable[[str], None] | None = None
) -> None:
    """Sends all logs to standard error, or elsewhere, as text or JSON.

    Args:
        log_format: `text` or `json`.
        log_level: Lowest level that is logged. Libraries are logged from WARNING on, or
            from DEBUG on if this is DEBUG.
        write: Receives each line, instead of standard error.
    """
    logger.remove()
    logger.configure(extra={"part": "main", "request": ""}, patcher=_remove_exception)
    formatter = _format_json if log_format == "json" else _format_text
    logger.add(write or _write_to_stderr, level=log_level, format=formatter)
    level = logging.DEBUG if log_level == "DEBUG" else logging.WARNING
    logging.basicConfig(handlers=[_LibraryHandler()], level=level, force=True)
    logging.captureWarnings(True)


def get_logger(part: str):
    """Returns the logger of one component."""
    return logger.bind(part=part)


def describe_exception(error: BaseException) -> str:
    """Returns the type of an exception, and its message if it is safe to log.

    >>> describe_exception(ValueError("text of a request"))
    'ValueError'
    """
    name = type(error).__name__
    if isinstance(error, MonsoonlugError):
        return f"{name}: {error}"
    if isinstance(error, OSError) and error.strerror:
        return f"{name}: {error.strerror}"
    return name


def _write_to_stderr(text: str) -> None:
    # Looked up for each line, as a test or a library may replace `sys.stderr`.
    sys.stderr.write(text)


def _remove_exception(record) -> None:
    # Loguru prints the exception's message if a handler fails, so no handler gets it.
    record["extra"]["traceback"] = _describe_traceback(record["exception"])
    record["exception"] = None


def _build_message(record: logging.LogRecord) -> str:
    if not isinstance(record.args, tuple):
        return record.getMessage()
    arguments = []
    for argument in record.args:
        if isinstance(argument, BaseException):
            argument = describe_exception(argument)
        arguments.append(argument)
    return str(record.msg) % tuple(arguments) if arguments else str(record.msg)


def _describe_location(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    name = type(error).__name__
    return f"{name} in {frames[-1].name}" if frames else name


def _format_text(record) -> str:
    request = record["extra"].get("request")
    record["extra"]["id"] = f" [request {request}]" if request else ""
    lines = record["extra"]["traceback"]
    record["extra"]["trace"] = "".join(f"  {line}\n" for line in lines)
    return _TEXT_TEMPLATE + "{extra[trace]}"


def _format_json(record) -> str:
    document = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "part": record["extra"]["part"],
        "message": record["message"],
    }
    request = record["extra"].get("request")
    if request:
        document["request"] = request
    for name, value in record["extra"].items():
        if name not in _RESERVED_FIELDS:
            document[name] = value
    if record["extra"]["traceback"]:
        document["traceback"] = record["extra"]["traceback"]
    record["extra"]["line"] = json.dumps(document)
    return _JSON_TEMPLATE


def _describe_traceback(exception) -> list[str]:
    if exception is None or exception.value is None:
        return []
    lines = []
    for frame in traceback.extract_tb(exception.traceback):
        lines.append(f"{frame.filename}:{frame.lineno} in {frame.name}")
    lines.append(describe_exception(exception.value))
    return lines
