"""Reads the whole body of a request with as few copies as possible.

aiohttp's `read` keeps two copies of what has arrived while it waits for more. Hundreds
of clients that never complete their bodies then take twice the memory that they sent.
"""

from aiohttp import web

# Smaller parts are collected, as each object takes 33 bytes besides its content.
SMALL_PART_BYTES = 4_096


async def read_body(request: web.BaseRequest, *, max_size: int = 0) -> bytes:
    """Returns the whole body of a request.

    Args:
        request: The request.
        max_size: Largest body in bytes; 0 if the caller checks the size before.

    Raises:
        web.HTTPRequestEntityTooLarge: If the body is larger than `max_size`.
    """
    parts: list[bytes] = []
    tail = bytearray()
    size = 0
    content = request.content
    while True:
        part, _ = await content.readchunk()
        if not part and content.at_eof():
            break
        size += len(part)
        if max_size and size > max_size:
            raise web.HTTPRequestEntityTooLarge(max_size)
        if len(part) < SMALL_PART_BYTES:
            tail += part
            if len(tail) < SMALL_PART_BYTES:
                continue
            part = b""
        if tail:
            parts.append(bytes(tail))
            tail.clear()
        if part:
            parts.append(part)
        # A reference would keep the last part while the next one is awaited.
        del part
    parts.append(bytes(tail))
    return b"".join(parts)
