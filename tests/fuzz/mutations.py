"""Mutations that make a valid message malformed, drawn from a seeded source."""

from collections.abc import Callable
from random import Random
from typing import Any

from cbor2 import dumps

Mutation = Callable[[Random, bytes], bytes]
MUTATIONS: list[Mutation] = []

_MAX_DEPTH = 2_000  # of nested arrays; more than a decoder should follow
_DESCEND_TENTHS = 8  # of the draws descend into a value, others replace it
_VALUES_TENTHS = 6  # of the messages get unusual values, others corrupted bytes
_UNUSUAL_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    2**63,
    2**70,
    1e308,
    float('inf'),
    float('nan'),
    '',
    'x' * 300,
    '\x00\ud7ff',
    b'\xff\x00',
    [],
    [[]],
    {},
    {'': None},
    {1: 2},
)


def _mutation(mutate: Mutation) -> Mutation:
    MUTATIONS.append(mutate)
    return mutate


@_mutation
def _truncate(random: Random, data: bytes) -> bytes:
    return data[: random.randrange(len(data) + 1)]


@_mutation
def _overwrite(random: Random, data: bytes) -> bytes:
    changed = bytearray(data)
    for _ in range(random.randrange(1, 4)):
        changed[random.randrange(len(changed))] = random.randrange(256)
    return bytes(changed)


@_mutation
def _insert(random: Random, data: bytes) -> bytes:
    position = random.randrange(len(data) + 1)
    return (
        data[:position]
        + random.randbytes(random.randrange(1, 9))
        + data[position:]
    )


@_mutation
def _repeat(random: Random, data: bytes) -> bytes:
    first = random.randrange(len(data))
    part = data[first : first + random.randrange(1, 40)]
    return data[:first] + part * random.randrange(2, 200) + data[first:]


@_mutation
def _nest(random: Random, data: bytes) -> bytes:
    return b'\x81' * random.randrange(1, _MAX_DEPTH) + data


def corrupt_bytes(random: Random, data: bytes) -> bytes:
    """Return a message with one or two mutations of its bytes."""
    for _ in range(random.randrange(1, 3)):
        data = random.choice(MUTATIONS)(random, data or b'\x00')
    return data


def _with_replacement(random: Random, content: Any) -> Any:
    """Return content with one value at any depth replaced."""
    if (
        isinstance(content, dict)
        and content
        and random.randrange(10) < _DESCEND_TENTHS
    ):
        name = random.choice(list(content))
        return {**content, name: _with_replacement(random, content[name])}
    if (
        isinstance(content, (list, tuple))
        and content
        and random.randrange(10) < _DESCEND_TENTHS
    ):
        position = random.randrange(len(content))
        changed = list(content)
        changed[position] = _with_replacement(random, content[position])
        return changed
    return random.choice(_UNUSUAL_VALUES)


def replace_values(random: Random, content: Any) -> Any:
    """Return content with one to three values replaced by unusual ones."""
    for _ in range(random.randrange(1, 4)):
        content = _with_replacement(random, content)
    return content


def encode_malformed(random: Random, content: Any) -> bytes:
    """Return an encoding of content with unusual values or corrupted bytes."""
    if random.randrange(10) < _VALUES_TENTHS:
        return dumps(replace_values(random, content))
    return corrupt_bytes(random, dumps(content))
