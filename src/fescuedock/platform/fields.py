"""Types of the fields in documents and headers that others write, each with the range of its field.

A decoder checks the range together with the type.  What it accepts can be encoded in any message
or document, added up and converted to a float by all later code, which checks nothing again.
"""

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

__all__ = [
    "MAX_COUNT",
    "MAX_DURATION_MS",
    "MAX_TOKENS",
    "Concurrency",
    "Count",
    "DurationMs",
    "DurationS",
    "HeaderName",
    "HeaderText",
    "HeaderValue",
    "RatePerS",
    "RequestId",
    "RequestTarget",
    "StoreCount",
    "TokenCount",
    "UnixMs",
    "Weight",
    "bounded_number",
    "bounded_whole_number",
    "decode_json",
]

# JSON exchanges whole numbers exactly up to this one (RFC 8259, section 6).
MAX_COUNT = 2**53 - 1
# A century; no caller, stream or job waits longer.
MAX_DURATION_MS = 100 * 366 * 86_400_000.0
# Far beyond the memory of an engine, which holds the prompt and the output of each request.
MAX_TOKENS = 1_000_000_000
# Each request of an upstream takes a connection, and an address has this many ports.
_MAX_CONCURRENCY = 65535
# The end of the year 9999.
_MAX_UNIX_MS = 253_402_300_799_999
_MAX_STORE_COUNT = 2**63 - 1
_MAX_RATE = 1e9

# Versions, sequence numbers, ranks, sizes in bytes, and how often something may be done.
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
# The store's revisions and lease IDs, which are signed numbers of 64 bits.
StoreCount = Annotated[int, Meta(ge=0, le=_MAX_STORE_COUNT)]
# Requests that one upstream runs at once.
Concurrency = Annotated[int, Meta(ge=0, le=_MAX_CONCURRENCY)]
TokenCount = Annotated[int, Meta(ge=0, le=MAX_TOKENS)]
UnixMs = Annotated[int, Meta(ge=0, le=_MAX_UNIX_MS)]
DurationMs = Annotated[float, Meta(ge=0.0, le=MAX_DURATION_MS)]
DurationS = Annotated[float, Meta(ge=0.0, le=MAX_DURATION_MS / 1000)]
# Only the ratio of weights counts.
Weight = Annotated[float, Meta(ge=0.0, le=_MAX_RATE)]
# Calls per second, or in one burst.
RatePerS = Annotated[float, Meta(ge=0.0, le=_MAX_RATE)]
# A path, perhaps with a query, as it stands in a request line (RFC 9112, section 3.2.1).
RequestTarget = Annotated[str, Meta(pattern=r"\A/[\x21-\x7e]*\Z")]
# The name and the value of a header (RFC 9110, sections 5.1 and 5.5).  Blanks around a value are no
# part of it, and texts outside of ASCII are sent in UTF-8.
HeaderName = Annotated[str, Meta(pattern=r"\A[-!#$%&'*+.^_`|~0-9a-zA-Z]+\Z")]
HeaderValue = Annotated[str, Meta(pattern=r"\A[^\x00-\x08\x0a-\x1f\x7f]*\Z")]
# An ID that is sent in a header and compared with the one in the answer.
RequestId = Annotated[str, Meta(pattern=r"\A[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?\Z")]
# A text that is also sent as the value of a header.
HeaderText = Annotated[
    str, Meta(pattern=r"\A[^\x00-\x20\x7f](?:[^\x00-\x08\x0a-\x1f\x7f]*[^\x00-\x20\x7f])?\Z")
]

T = TypeVar("T")


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode a document that others wrote; raise ``ValueError`` for any that cannot be read."""
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        raise ValueError("it is nested too deeply") from error


def bounded_whole_number(text: str, limit: int) -> int | None:
    """Return the whole number in a header's value; None for anything else and over ``limit``."""
    text = text.strip()
    if not (text.isascii() and text.isdigit()):
        return None
    # Python refuses to convert very long numbers.
    digits = text.lstrip("0") or "0"
    if len(digits) > len(str(limit)):
        return None
    value = int(digits)
    return value if value <= limit else None


def bounded_number(text: str, limit: float) -> float | None:
    """Return the number in a header's value; None for anything else, below 0 and over ``limit``."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value <= limit else None
