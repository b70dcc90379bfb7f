"""Tests of the catalogue model."""

import pytest

from monsoonlug.catalogue import Catalogue
from monsoonlug.exceptions import InvalidFile
from monsoonlug.settings import check_document

POOL = {"name": "p", "owner": "ops", "keyed": True}
ROUTE = {"name": "r", "owner": "ops", "prefix": "/r", "pool": "p"}


@pytest.mark.parametrize(
    "document, allowed",
    [
        ({"pools": [POOL, POOL]}, "once only"),
        ({"routes": [ROUTE]}, "unknown pool"),
        ({"pools": [{**POOL, "secret": 1}]}, "not permitted"),
        ({"pools": [{**POOL, "owner": ""}]}, "at least 1"),
    ],
)
def test_invalid_catalogue_is_rejected(document, allowed):
    """Guards against a catalogue that is accepted but cannot be applied."""
    with pytest.raises(InvalidFile, match=allowed):
        check_document(document, Catalogue, file="catalogue.json")


def test_value_under_a_secret_name_is_hidden():
    """Guards against printing a key that a user wrote in place of its digest."""
    workspace = {"name": "w", "owner": "o", "limits": {"rate": 1, "burst": 1}}
    document = {"workspaces": [{**workspace, "key_digests": ["plain-secret"]}]}
    with pytest.raises(InvalidFile) as caught:
        check_document(document, Catalogue, file="catalogue.json")
    assert "plain-secret" not in str(caught.value)
