"""Checksummed frames, the format of the files in a data folder."""

import struct
import zlib

from monsoonlug.exceptions import JournalDamaged

_MAGIC = b"\xf1MLJ"
_HEADER = struct.Struct(">4sIII")  # magic, length, payload checksum, header checksum
_HEADER_FIELDS = struct.Struct(">4sII")


def encode_frame(payload: bytes) -> bytes:
    """Returns a payload with a header of its length and checksums.

    >>> len(encode_frame(b"abc"))
    19
    """
    fields = _HEADER_FIELDS.pack(_MAGIC, len(payload), zlib.crc32(payload))
    return fields + zlib.crc32(fields).to_bytes(4, "big") + payload


def decode_frames(data: bytes, *, name: str) -> tuple[list[bytes], int]:
    """Returns the payloads of all complete frames and the total size of these frames.

    The rest of the data, if any, is a torn last frame. A last frame of full length with
    a wrong checksum is torn as well, as a file system may extend a file before it
    writes the data.

    Raises:
        JournalDamaged: If a frame before the last one is damaged.

    >>> decode_frames(encode_frame(b"a") + encode_frame(b"b")[:-1], name="journal")
    ([b'a'], 17)
    """
    payloads = []
    offset = 0
    while offset < len(data):
        end = _find_end(data, offset)
        if end is None:
            if _find_frame(data, offset + 1):
                raise JournalDamaged(f"{name}: frame header at byte {offset} is bad")
            break
        if end > len(data):
            break
        payload = data[offset + _HEADER.size : end]
        if not _is_payload_valid(data, offset, payload):
            if end < len(data):
                raise JournalDamaged(f"{name}: frame at byte {offset} is damaged")
            break
        payloads.append(payload)
        offset = end
    return payloads, offset


def _find_end(data: bytes, offset: int) -> int | None:
    header = data[offset : offset + _HEADER.size]
    if len(header) < _HEADER.size:
        return None
    magic, length, _, checksum = _HEADER.unpack(header)
    if magic != _MAGIC or checksum != zlib.crc32(header[: _HEADER_FIELDS.size]):
        return None
    return offset + _HEADER.size + length


def _is_payload_valid(data: bytes, offset: int, payload: bytes) -> bool:
    _, _, checksum, _ = _HEADER.unpack_from(data, offset)
    return checksum == zlib.crc32(payload)


def _find_frame(data: bytes, offset: int) -> bool:
    while True:
        offset = data.find(_MAGIC, offset)
        if offset < 0:
            return False
        if _find_end(data, offset) is not None:
            return True
        offset += 1
