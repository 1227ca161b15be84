"""The content of downloads, which tests can compute independently."""

import hashlib

import xxhash


def body_of(request_id: str, size: int) -> bytes:
    """Return the body of a download, of `size` bytes.

    It depends only on the id of the request and the size.
    """
    return hashlib.shake_256(request_id.encode()).digest(size)


def checksum_of(body: bytes) -> str:
    """Return the XXH64 checksum of a body in hexadecimal."""
    return xxhash.xxh64_hexdigest(body)
