"""Sizes of results as they are stored, sent to readers and kept in memory."""

import sys

import msgspec

from fescuedock.schema.stored_jobs import StoredResult

__all__ = ["page_size_bytes", "resident_size_bytes", "stored_size_bytes", "text_size_bytes"]

# Upper bound of the framing of one result in a page, around its identity and text.
_PAGE_FRAME_BYTES = 64


def text_size_bytes(text: str) -> int:
    """Return the size of a text in UTF-8."""
    return len(text) if text.isascii() else len(text.encode())


def stored_size_bytes(result: StoredResult) -> int:
    """Return the size of a result as part of a value in the key-value service."""
    return len(msgspec.msgpack.encode(result))


def page_size_bytes(result: StoredResult) -> int:
    """Return the size of a result in an answer to a reader, including escapes."""
    text_bytes = len(msgspec.json.encode(result.text))
    return text_bytes + len(msgspec.json.encode(result.item_id)) + _PAGE_FRAME_BYTES


def resident_size_bytes(result: StoredResult) -> int:
    """Return the memory that a result's text takes, which depends on its widest character."""
    return sys.getsizeof(result.text)
