"""Strict parser of JSON documents."""

import json
import math
import re

# The escape of a UTF-16 surrogate, which stands for a character only in a pair.
_SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")
_PLAIN_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_-]{0,63}")
_MAX_QUOTED_NAME = 64
_MAX_PATH = 512


class InvalidJson(ValueError):
    """The data is not a document that every JSON parser reads in the same way.

    Attributes:
        path: Path of the invalid value, such as `$.limits.cpuCores`; `$` if the data
            has no such value or no structure.
        reason: What is wrong with it.
    """

    def __init__(self, reason: str, *, path: str = "$"):
        super().__init__(reason if path == "$" else f"{path}: {reason}")
        self.path = path
        self.reason = reason


class _InvalidValue:
    """Stands in a document for a value that was refused."""

    def __init__(self, reason: str):
        self.reason = reason


class _Parser:
    """Parses one document; remembers whether a value was refused."""

    def __init__(self):
        self._has_invalid_values = False

    def parse(self, text: str) -> object:
        document = json.loads(
            text,
            parse_constant=self._refuse_constant,
            parse_float=self._parse_float,
            parse_int=self._parse_int,
            object_pairs_hook=self._build_object,
        )
        if self._has_invalid_values or _SURROGATE_ESCAPE.search(text):
            _check_values(document)
        return document

    def _refuse(self, reason: str) -> _InvalidValue:
        self._has_invalid_values = True
        return _InvalidValue(reason)

    def _refuse_constant(self, name: str) -> _InvalidValue:
        return self._refuse(f"{name} is not a JSON number")

    def _parse_float(self, text: str) -> float | _InvalidValue:
        number = float(text)
        return number if math.isfinite(number) else self._refuse("too large a number")

    def _parse_int(self, text: str) -> int | _InvalidValue:
        try:
            return int(text)
        except ValueError:
            return self._refuse("a number with too many digits")

    def _build_object(self, members: list[tuple[str, object]]) -> dict:
        document = dict(members)
        if len(document) == len(members):
            return document
        names = set()
        for name, _ in members:
            if name in names:
                document[name] = self._refuse("the object has two members of this name")
            names.add(name)
        return document


def parse_json(data: bytes | str) -> object:
    """Parses a JSON document as in RFC 8259, in UTF-8.

    `json.loads` alone also accepts documents that other parsers refuse or read
    differently: constants such as NaN, numbers that become infinite, objects with two
    members of the same name, surrogates without a partner, and other encodings.

    >>> parse_json('{"rate": 1.5}')
    {'rate': 1.5}

    Raises:
        InvalidJson: If the data is not such a document, or is nested too deeply.
    """
    try:
        text = data.decode("utf-8-sig") if isinstance(data, bytes) else data
        return _Parser().parse(text)
    except RecursionError:
        raise InvalidJson("the document is nested too deeply") from None
    except InvalidJson:
        raise
    except ValueError as error:
        raise InvalidJson(str(error)) from None


def _check_values(document: object) -> None:
    """Raises InvalidJson for the first invalid value of a document, if there is one."""
    keys = []
    levels = [iter([("$", document)])]
    while levels:
        member = next(levels[-1], None)
        if member is None:
            levels.pop()
            if keys:
                keys.pop()
            continue
        key, value = member
        if isinstance(key, str) and not _is_unicode(key):
            raise InvalidJson(
                "the object has a member whose name is not Unicode",
                path=_format_path(keys),
            )
        keys.append(key)
        if isinstance(value, _InvalidValue):
            raise InvalidJson(value.reason, path=_format_path(keys))
        if isinstance(value, str) and not _is_unicode(value):
            raise InvalidJson("a surrogate without a partner", path=_format_path(keys))
        if isinstance(value, dict):
            levels.append(iter(value.items()))
            continue
        if isinstance(value, list):
            levels.append(enumerate(value))
            continue
        keys.pop()


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _format_path(keys: list[str | int]) -> str:
    path = "$"
    for key in keys[1:]:
        if isinstance(key, str) and _PLAIN_NAME.fullmatch(key):
            path += f".{key}"
        else:
            quoted = key[:_MAX_QUOTED_NAME] if isinstance(key, str) else key
            path += f"[{json.dumps(quoted)}]"
        if len(path) > _MAX_PATH:
            return path[:_MAX_PATH] + "..."
    return path
