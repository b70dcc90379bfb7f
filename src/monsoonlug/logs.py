"""Set-up of the logs: one line an event, with a fixed prefix for each part.

Records of the standard logging, which libraries use, get the name of the library as
their prefix. Messages of exceptions that are not this package's own are left out, as
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

_TEXT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[part]}: {message}{extra[id]}\n"
)
_JSON = "{extra[line]}\n"
_RESERVED_FIELDS = frozenset({"part", "request", "traceback", "line", "id", "trace"})
LINE_RATE = 100.0  # lines per second of one process; a line costs about 60 us
LINE_BURST = 400.0  # lines


class _LibraryHandler(logging.Handler):
    """Passes records of the standard logging on."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs the first line of a record, without messages of its exception."""
        # Further lines of asyncio's records show the repr of tasks and exceptions.
        text = _build_message(record).partition("\n")[0]
        if record.exc_info and record.exc_info[1] is not None:
            text += f" ({_locate(record.exc_info[1])})"
        library = record.name.partition(".")[0]
        if library == "monsoonlug":
            # mode names the logger of a service after the module of its class.
            library = "mode"
        level = record.levelname
        if level not in logging.getLevelNamesMapping() or level == "NOTSET":
            level = "INFO"
        logger.bind(part=library).log(level, "{}", text)


class BoundedOutput:
    """Writes lines to a file without waiting, and bounds how many.

    A reader that is slow, and a load that makes many lines, must not hold up requests.
    Lines that are left out are counted, and the next line that is written says so.

    Args:
        file: Descriptor to write to.
        rate: Lines per second.
        burst: Lines that may come at once.
    """

    def __init__(
        self, *, file: int, rate: float = LINE_RATE, burst: float = LINE_BURST
    ):
        self._file = file
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = time.monotonic()
        self._unwritten = b""
        self.dropped = 0

    def write(self, text: str) -> None:
        """Writes a line, or counts it as left out."""
        now = time.monotonic()
        refill = (now - self._filled_at) * self._rate
        self._level = min(self._burst, self._level + refill)
        self._filled_at = now
        if self._level < 1 or not self._flush():
            self.dropped += 1
            return
        self._level -= 1
        if self.dropped:
            note = {"part": "logs", "message": f"{self.dropped} lines were left out."}
            text = json.dumps(note) + "\n" + text
            self.dropped = 0
        self._unwritten = text.encode()
        self._flush()

    def _flush(self) -> bool:
        """Writes what is left of the last line; returns whether all of it is out."""
        if not self._unwritten:
            return True
        try:
            written = os.write(self._file, self._unwritten)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads the log any more; there is no other place to say so.
            self.dropped += 1
            self._unwritten = b""
            return True
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def configure_bounded_logs(*, log_level: str) -> BoundedOutput:
    """Sends all logs to standard output as JSON lines that never block.

    Args:
        log_level: Lowest level shown; see `configure_logs`.
    """
    file = sys.stdout.fileno()
    os.set_blocking(file, False)
    output = BoundedOutput(file=file)
    configure_logs(log_format="json", log_level=log_level, write=output.write)
    return output


def configure_logs(
    *, log_format: str, log_level: str, write: Callable[[str], None] | None = None
) -> None:
    """Sends all logs to standard error, or elsewhere, as text or JSON.

    Args:
        log_format: `text` or `json`.
        log_level: Lowest level shown. Libraries are shown from WARNING on, or from
            DEBUG on if this is DEBUG.
        write: Takes each line instead of standard error.
    """
    logger.remove()
    logger.configure(extra={"part": "main", "request": ""}, patcher=_strip_exception)
    form = _format_json if log_format == "json" else _format_text
    logger.add(write or _write, level=log_level, format=form)
    level = logging.DEBUG if log_level == "DEBUG" else logging.WARNING
    logging.basicConfig(handlers=[_LibraryHandler()], level=level, force=True)
    logging.captureWarnings(True)


def get_logger(part: str):
    """Returns the logger of one part of the system."""
    return logger.bind(part=part)


def describe_exception(error: BaseException) -> str:
    """Returns the type of an exception, and its message if that is safe to log.

    >>> describe_exception(ValueError("text of a request"))
    'ValueError'
    """
    name = type(error).__name__
    if isinstance(error, MonsoonlugError):
        return f"{name}: {error}"
    if isinstance(error, OSError) and error.strerror:
        return f"{name}: {error.strerror}"
    return name


def _write(text: str) -> None:
    # The stream is looked up for each line, as a test or a library may replace it.
    sys.stderr.write(text)


def _strip_exception(record) -> None:
    # Handlers never see the exception: loguru shows its message if one of them fails.
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


def _locate(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    name = type(error).__name__
    return f"{name} in {frames[-1].name}" if frames else name


def _format_text(record) -> str:
    request = record["extra"].get("request")
    record["extra"]["id"] = f" [request {request}]" if request else ""
    lines = record["extra"]["traceback"]
    record["extra"]["trace"] = "".join(f"  {line}\n" for line in lines)
    return _TEXT + "{extra[trace]}"


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
    return _JSON


def _describe_traceback(exception) -> list[str]:
    if exception is None or exception.value is None:
        return []
    lines = []
    for frame in traceback.extract_tb(exception.traceback):
        lines.append(f"{frame.filename}:{frame.lineno} in {frame.name}")
    lines.append(describe_exception(exception.value))
    return lines
