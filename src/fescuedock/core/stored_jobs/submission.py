"""Distinguishes a repeated submission of a job from a different one under the same identity."""

import hashlib
from collections.abc import Sequence

import msgspec

from fescuedock.schema.stored_jobs import StoredItem, StoredJobRecord

__all__ = ["digest_of", "is_same_submission"]

_DIGEST_BYTES = 16


def digest_of(items: Sequence[StoredItem]) -> str:
    """Return a digest of the items of a job."""
    encoded = msgspec.msgpack.encode(items)
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()


def is_same_submission(known: StoredJobRecord, submitted: StoredJobRecord) -> bool:
    """Whether two records of one identity describe the same items.

    Records written by earlier versions have no digest; then the number of items is compared.
    """
    if known.items_digest and submitted.items_digest:
        return known.items_digest == submitted.items_digest
    return known.total == submitted.total
