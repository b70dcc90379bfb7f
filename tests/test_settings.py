"""Tests of the validation of settings files."""

import json

import pytest

from monsoonlug.catalogue import Catalogue
from monsoonlug.exceptions import InvalidFile
from monsoonlug.settings import EntrySettings, check_document, read_file


def test_every_problem_is_reported_at_once(tmp_path):
    """Guards against a check that stops at the first invalid field."""
    path = tmp_path / "entry.json"
    document = {"host": "a b", "listen": "localhost:80", "extra": 1}
    path.write_text(json.dumps(document))
    with pytest.raises(InvalidFile) as caught:
        read_file(path, EntrySettings)
    paths = {problem.path for problem in caught.value.problems}
    expected = {"$.host", "$.listen", "$.extra", "$.stream", "$.control"}
    assert paths == expected | {"$.failure_domain", "$.announce"}


@pytest.mark.parametrize("text", ["", "{", "[]"])
def test_malformed_file_is_reported_as_one_problem(tmp_path, text):
    """Guards against a traceback for a file that is not a JSON object."""
    path = tmp_path / "entry.json"
    path.write_text(text)
    with pytest.raises(InvalidFile, match=str(path)):
        read_file(path, EntrySettings)


@pytest.mark.parametrize(
    "workspace",
    [
        {"key_digests": ["raw-key"], "name": "w"},
        {"name": ["raw-key"]},
        ["raw-key"],
    ],
)
def test_misplaced_key_is_not_quoted(workspace):
    """Guards against a workspace key in the error of an enclosing object."""
    with pytest.raises(InvalidFile) as caught:
        check_document({"workspaces": [workspace]}, Catalogue, file="c")
    assert "raw-key" not in str(caught.value)
