"""Values that a field may hold in a document or header of another writer, and what they allow."""

import json
import math
from collections.abc import Iterator
from unittest import TestCase

import h11
import msgspec
from hypothesis import strategies as st

__all__ = [
    "ODD_INTEGERS",
    "ODD_NUMBERS",
    "ODD_TEXTS",
    "check_sendable",
    "check_usable",
    "json_of",
    "odd_values",
    "replaced",
]

ODD_INTEGERS = (
    *(sign * 10**power for sign in (1, -1) for power in (10, 19, 30, 400)),
    *(2**bits + offset for bits in (31, 53, 63, 64) for offset in (-1, 0)),
    -(2**63) - 1,
    -1,
    0,
)
ODD_NUMBERS = (*ODD_INTEGERS, 1e308, -1e308, 1e-320, -0.0, 0.5)
ODD_TEXTS = ("", " ", "x y", " x", "x\r\ny", "x\x00y", "ñandú", "名", "x" * 5000, "1" * 4500)


def odd_values() -> st.SearchStrategy:
    """Generate values of any JSON type, most of them at the limits of some type."""
    scalars = st.one_of(
        st.sampled_from(ODD_NUMBERS),
        st.integers(),
        st.floats(allow_nan=False, allow_infinity=False),
        st.sampled_from(ODD_TEXTS),
        st.text(max_size=8),
        st.none(),
        st.booleans(),
    )
    return st.one_of(scalars, st.lists(scalars, max_size=2))


def replaced(document: dict, path: tuple[object, ...], value: object) -> dict:
    """Return a copy of a JSON document with another value at ``path``."""
    copy = json.loads(json.dumps(document))
    place = copy
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    return copy


def json_of(document: object) -> bytes:
    """Encode a document, also one with lone surrogates."""
    return json.dumps(document).encode()


def check_usable(test: TestCase, value: object) -> None:
    """Check that a decoded value can be encoded in a message, added up and converted."""
    encoded = msgspec.msgpack.encode(value)
    test.assertTrue(encoded)
    json.dumps(msgspec.to_builtins(value)).encode()
    for number in _numbers(msgspec.to_builtins(value)):
        test.assertTrue(math.isfinite(float(number) * 1000 + 1), number)
        test.assertLess(abs(int(number)), 2**63)


def _numbers(value: object) -> Iterator[float]:
    if isinstance(value, dict):
        for part in value.values():
            yield from _numbers(part)
    elif isinstance(value, list | tuple):
        for part in value:
            yield from _numbers(part)
    elif isinstance(value, int | float):
        yield value


def check_sendable(target: str, headers: list[tuple[str, str]]) -> None:
    """Raise an error unless a request with these headers can be written."""
    fields = [("host", "h"), *((name, value.encode("latin-1")) for name, value in headers)]
    h11.Connection(h11.CLIENT).send(h11.Request(method="POST", target=target, headers=fields))
