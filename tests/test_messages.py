"""Tests of the messages between processes."""

import msgpack
import pytest

from monsoonlug import messages
from monsoonlug.exceptions import DamagedFrame, UnknownMessage


def test_decoded_message_equals_the_encoded_one():
    """Guards against fields that are dropped or reordered."""
    message = messages.SlicesReleased(
        server="s", pool="p", slices=[1, 2], epochs=[3, 4]
    )
    assert messages.decode(messages.encode(message)) == message


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        msgpack.packb(7),
        msgpack.packb([9999]),
        msgpack.packb([35]),
        msgpack.packb([35, "one"]),
        msgpack.packb([35, "one", 2]),
        msgpack.packb([[], 1]),
        msgpack.packb([]),
    ],
)
def test_damaged_frame_is_rejected(body):
    """Guards against an invalid frame that ends the process or is accepted."""
    with pytest.raises(DamagedFrame):
        messages.decode(body)


def test_fields_of_later_versions_are_ignored():
    """Guards against a stream that is closed because the peer was upgraded first."""
    known = messages.Cancel(stream=1)
    number, *values = msgpack.unpackb(messages.encode(known))
    later = msgpack.packb([number, *values, "a new field", {"another": 1}])
    assert messages.decode(later) == known


def test_type_of_a_later_version_is_told_from_damage():
    """Guards against a peer's new message that looks like a damaged frame."""
    with pytest.raises(UnknownMessage):
        messages.decode(msgpack.packb([9999, 1]))
