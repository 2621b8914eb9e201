"""Identities of a unit of work and of its prompt parts, the same for every attempt at every node.

A client that retries gives its call another identity, and an item runs at many nodes.  The effect
of work on its upstream depends only on the content sent there, so the identity is derived from
that.
"""

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from itertools import islice

import msgspec

__all__ = ["is_part", "message_parts", "part_identities", "work_identity"]

# 16 bytes: it is infeasible to find other content with the identity of a given unit of work.
_IDENTITY_BYTES = 16
# Each part is preceded by its length, so that no two lists of parts yield the same bytes.
_LENGTH_BYTES = 8
_PART_BYTES = 10
# Distinguishes identities of parts from those of units of work.
_PART_PREFIX = "part-"
# Prompts have a few shared parts; a caller may claim any number.
_MAX_PARTS = 16


def work_identity(*parts: str | bytes) -> str:
    """Return the identity of work that consists of ``parts``, in hexadecimal.

    ``parts`` must be all that distinguishes it: its destination, its customer, and its body.
    """
    digest = blake2b(digest_size=_IDENTITY_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(_LENGTH_BYTES))
        digest.update(data)
    return digest.hexdigest()


def part_identities(names: Iterable[str]) -> tuple[str, ...]:
    """Return the identities of a prompt's parts, whose length does not depend on the names.

    Only the first parts of a prompt with too many parts count.
    """
    digests = (
        blake2b(name.encode(), digest_size=_PART_BYTES) for name in islice(names, _MAX_PARTS)
    )
    return tuple(f"{_PART_PREFIX}{digest.hexdigest()}" for digest in digests)


def message_parts(body: Mapping[str, object]) -> tuple[str, ...]:
    """Return the identities of the messages before the last one of a chat request."""
    messages = body.get("messages")
    leading = messages[:-1] if isinstance(messages, list) else []
    return part_identities(msgspec.json.encode(message).decode() for message in leading)


def is_part(identity: str) -> bool:
    """Whether an identity is that of a prompt part, and not of a unit of work."""
    return identity.startswith(_PART_PREFIX)
