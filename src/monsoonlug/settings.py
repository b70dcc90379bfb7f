"""Models of the daemons' settings files, and validation that reports every error."""

import ipaddress
import json
from pathlib import Path
from typing import Annotated, Literal, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from monsoonlug.exceptions import InvalidFile, Problem
from monsoonlug.json_documents import InvalidJson, parse_json

MAX_QUOTED_CHARACTERS = 80  # of an invalid value in an error message
# Values are hidden in error messages if the path of their field holds one of these.
SECRET_FIELD_WORDS = ("key", "token", "secret", "password")

Model = TypeVar("Model", bound=BaseModel)


def check_address(text: str) -> str:
    """Checks that `text` is an IP address and a port.

    >>> check_address("127.0.0.1:80")
    '127.0.0.1:80'

    Raises:
        ValueError: If it is not; the message says what is allowed.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("an IP address and a port, such as 127.0.0.1:8080") from None
    if not port.isdigit() or not 0 <= int(port) <= 65_535:
        raise ValueError("a port from 0 to 65535 after the last colon")
    return text


def split_address(address: str) -> tuple[str, int]:
    """Splits an address into IP address and port.

    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class StrictModel(BaseModel):
    """An immutable model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class DaemonSettings(StrictModel):
    """Settings common to all daemons."""

    failure_domain: Name
    log_format: Literal["text", "json"] = "text"
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    statsd: Address | None = None


class Member(StrictModel):
    """Addresses of one control replica.

    Attributes:
        stream: Address for streams from other processes of the system.
        operators: Address of the HTTP interface for operators.
    """

    replica: Name
    stream: Address
    operators: Address


class ControlSettings(DaemonSettings):
    """Settings of one control replica."""

    replica: Name
    data_folder: Path
    members: list[Member] = Field(min_length=1)

    @model_validator(mode="after")
    def _check_members(self):
        names = [member.replica for member in self.members]
        if self.replica not in names:
            raise ValueError(f"members must include the replica {self.replica}")
        if len(set(names)) < len(names):
            raise ValueError("each replica must occur only once in members")
        return self


class EntrySettings(DaemonSettings):
    """Settings of one entry host.

    Attributes:
        listen: Address for callers' requests.
        announce: Address for announcements of backend servers.
        stream: Address for streams from other hosts of the system.
        leave_notice: Seconds between the first unready answer to the load balancer and
            the end of listening.
        memory_mb: Memory of the host in MB, from which the memory budget is derived.
        descriptors: Descriptors of the process, from which the numbers of connections
            are derived.
    """

    host: Name
    listen: Address
    announce: Address
    stream: Address
    leave_notice: float = Field(default=2.0, ge=0, le=60)
    memory_mb: int | None = Field(default=None, ge=64, le=1_048_576)
    descriptors: int | None = Field(default=None, ge=64, le=1_048_576)
    control: list[Member] = Field(min_length=1)


def read_file(path: Path, model: type[Model]) -> Model:
    """Reads a JSON file and validates it against a model.

    Raises:
        InvalidFile: If the file is unreadable or invalid; lists every problem.
    """
    return check_document(read_document(path), model, file=str(path))


def read_document(path: Path) -> object:
    """Reads a JSON file.

    Raises:
        InvalidFile: If the file is unreadable or not JSON; names the invalid value.
    """
    file = str(path)
    try:
        return parse_json(path.read_bytes())
    except OSError as error:
        problem = Problem(
            file=file, path="$", value="the file", allowed=str(error.strerror)
        )
    except InvalidJson as error:
        problem = Problem(
            file=file,
            path=error.path,
            value="the file" if error.path == "$" else "the value",
            allowed=f"valid JSON ({error.reason})",
        )
    raise InvalidFile([problem])


def check_document(document: object, model: type[Model], *, file: str) -> Model:
    """Validates a JSON document against a model.

    Raises:
        InvalidFile: If the document is invalid; lists every problem.
    """
    try:
        return model.model_validate(document)
    except ValidationError as error:
        problems = [_describe_problem(file, detail) for detail in error.errors()]
        raise InvalidFile(problems) from None


def _describe_value(error: dict) -> str:
    # Objects and lists are not quoted, as any of their fields may hold a secret.
    if error["type"] == "missing":
        return "(missing)"
    if isinstance(error["input"], dict):
        return "(an object)"
    if isinstance(error["input"], list):
        return "(a list)"
    return json.dumps(error["input"], default=str)


def _describe_problem(file: str, error: dict) -> Problem:
    path = "$"
    for part in error["loc"]:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    value = _describe_value(error)
    if any(word in path.lower() for word in SECRET_FIELD_WORDS):
        value = "(hidden)"
    if len(value) > MAX_QUOTED_CHARACTERS:
        value = value[:MAX_QUOTED_CHARACTERS] + "..."
    allowed = error["msg"].removeprefix("Value error, ")
    return Problem(file=file, path=path, value=value, allowed=allowed)
