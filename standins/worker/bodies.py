"""The content of downloads, which a test can compute for itself."""

import hashlib

import xxhash


def body_of(request_id: str, size: int) -> bytes:
    """Return the body of this size that belongs to a request."""
    return hashlib.shake_256(request_id.encode()).digest(size)


def checksum_of(body: bytes) -> str:
    """Return the XXH64 checksum of a body in hexadecimal."""
    return xxhash.xxh64_hexdigest(body)
