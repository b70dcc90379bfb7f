"""Reads and checks single fields of the platform's JSON documents."""

import re
from collections.abc import Mapping

from monsoonlug.exceptions import BadRequest
from monsoonlug.json_documents import InvalidJson, parse_json

JSON_TYPE_NAMES = {
    bool: "boolean",
    dict: "object",
    int: "integer",
    list: "array",
    str: "string",
}
MAX_COUNT = 2**53  # larger integers are not exact in every reader of JSON
_DURATION = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,12})?)(ms|s)")
_VERSION = re.compile(r"[0-9a-fA-F]{8}")


def read_object(body: bytes) -> dict:
    """Parses a body as a JSON object.

    Raises:
        BadRequest: If the body is anything else.
    """
    try:
        document = parse_json(body)
    except InvalidJson as error:
        raise BadRequest(f"the body is not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise BadRequest("the body is not a JSON object")
    return document


def read_field(document: Mapping, name: str, value_type: type):
    """Returns a field after checking its type.

    Raises:
        BadRequest: If the field is missing or of another type.
    """
    value = document.get(name)
    # `bool` is a subclass of `int`.
    is_bool = isinstance(value, bool)
    if not isinstance(value, value_type) or (is_bool and value_type is not bool):
        allowed = JSON_TYPE_NAMES[value_type]
        raise BadRequest(f"the field {name} is missing or not of the type {allowed}")
    return value


def read_text(document: Mapping, name: str) -> str:
    """Returns a string field that must not be empty.

    Raises:
        BadRequest: If the field is missing, empty, not a string or not Unicode text.
    """
    value = read_field(document, name, str)
    if not value:
        raise BadRequest(f"the field {name} is empty")
    # A surrogate that stands alone cannot be encoded again.
    if any("\ud800" <= character <= "\udfff" for character in value):
        raise BadRequest(f"the field {name} is not Unicode text")
    return value


def read_count(
    document: Mapping, name: str, *, minimum: int = 0, maximum: int = MAX_COUNT
) -> int:
    """Returns an integer field from `minimum` to `maximum`.

    Raises:
        BadRequest: If the field is missing, out of range or not an integer.
    """
    value = read_field(document, name, int)
    if value < minimum:
        raise BadRequest(f"the field {name} is {value}; the minimum is {minimum}")
    if value > maximum:
        raise BadRequest(f"the field {name} is above the maximum of {maximum}")
    return value


def read_seconds(document: Mapping, name: str) -> float:
    """Returns a duration field such as `1500ms` or `2.5s`, in seconds.

    Raises:
        BadRequest: If the field is missing or not a duration.
    """
    return parse_seconds(read_field(document, name, str))


def parse_seconds(text: str) -> float:
    """Converts a duration with a unit to seconds.

    >>> parse_seconds("1500ms")
    1.5

    Raises:
        BadRequest: If the text is not a duration.
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise BadRequest(f"{text[:20]!r} is not a duration such as 1500ms or 2.5s")
    number = float(match.group(1))
    return number / 1000 if match.group(2) == "ms" else number


def format_seconds(seconds: float) -> str:
    """Formats a duration in the notation of the platform.

    >>> format_seconds(4.0)
    '4000ms'
    """
    return f"{round(seconds * 1000)}ms"


def read_version(document: Mapping) -> int:
    """Returns the version of an item, which is written as eight hexadecimal digits.

    Raises:
        BadRequest: If the version is missing or malformed.
    """
    text = read_field(document, "version", str)
    if not _VERSION.fullmatch(text):
        raise BadRequest("the field version is not eight hexadecimal digits")
    return int(text, 16)
