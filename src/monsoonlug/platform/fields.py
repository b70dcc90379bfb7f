"""Reads single values of the platform's documents."""

import json
import re
from collections.abc import Mapping

from monsoonlug.exceptions import BadRequest

_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_VERSION = re.compile(r"[0-9a-fA-F]{8}")


def read_object(body: bytes) -> dict:
    """Returns the JSON object in a body.

    Raises:
        BadRequest: If the body is something else.
    """
    try:
        document = json.loads(body)
    except ValueError:
        raise BadRequest("the body is not JSON") from None
    if not isinstance(document, dict):
        raise BadRequest("the body is not a JSON object")
    return document


def read_field(document: Mapping, name: str, kind: type):
    """Returns a field of a type.

    Raises:
        BadRequest: If the field is missing or of another type.
    """
    value = document.get(name)
    # In Python, a truth value is a number too.
    if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
        raise BadRequest(f"the field {name} is not of the type {kind.__name__}")
    return value


def read_text(document: Mapping, name: str) -> str:
    """Returns a text that is not empty.

    Raises:
        BadRequest: If the field is missing, empty or no text.
    """
    value = read_field(document, name, str)
    if not value:
        raise BadRequest(f"the field {name} is empty")
    return value


def read_count(document: Mapping, name: str, *, least: int = 0) -> int:
    """Returns a whole number of at least `least`.

    Raises:
        BadRequest: If the field is missing, too small or no whole number.
    """
    value = read_field(document, name, int)
    if value < least:
        raise BadRequest(f"the field {name} is below {least}")
    return value


def read_seconds(document: Mapping, name: str) -> float:
    """Returns a time such as 1500ms or 2.5s in seconds.

    Raises:
        BadRequest: If the field is missing or no time.
    """
    return parse_seconds(read_field(document, name, str))


def parse_seconds(text: str) -> float:
    """Returns a time in seconds.

    >>> parse_seconds("1500ms")
    1.5

    Raises:
        BadRequest: If the text is no time.
    """
    match = _TIME.fullmatch(text)
    if match is None:
        raise BadRequest(f"{text[:20]!r} is no time with a unit")
    number = float(match.group(1))
    return number / 1000 if match.group(2) == "ms" else number


def format_seconds(seconds: float) -> str:
    """Returns a time as the platform writes it.

    >>> format_seconds(4.0)
    '4000ms'
    """
    return f"{round(seconds * 1000)}ms"


def read_version(document: Mapping) -> int:
    """Returns the version of an item, of eight hexadecimal digits.

    Raises:
        BadRequest: If there is none.
    """
    text = read_field(document, "version", str)
    if not _VERSION.fullmatch(text):
        raise BadRequest("the version is not eight hexadecimal digits")
    return int(text, 16)
