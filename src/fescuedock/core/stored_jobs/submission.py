"""Tells a submission that comes again from another one under the same identity."""

import hashlib
from collections.abc import Sequence

import msgspec

from fescuedock.schema.stored_jobs import StoredItem, StoredJobRecord

__all__ = ["digest_of", "is_same_submission"]

_DIGEST_BYTES = 16


def digest_of(items: Sequence[StoredItem]) -> str:
    """Return what tells the items of a job from others."""
    encoded = msgspec.msgpack.encode(items)
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()


def is_same_submission(known: StoredJobRecord, submitted: StoredJobRecord) -> bool:
    """Whether two records of one identity are of the same items.

    Where one has no digest, as those of an earlier version, the number of items decides.
    """
    if known.items_digest and submitted.items_digest:
        return known.items_digest == submitted.items_digest
    return known.total == submitted.total
