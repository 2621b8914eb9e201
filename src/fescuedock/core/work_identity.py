"""The identities of a piece of work and of its prompt's parts, wherever and whenever it comes.

A client that tries again gives its call another identity, and an item runs at many nodes; what a
piece of work does to the upstreams that run it depends on what is sent to them alone.
"""

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from itertools import islice

import msgspec

__all__ = ["is_part", "message_parts", "part_identities", "work_identity"]

# 16 bytes: nobody finds other content with the identity of somebody's work.
_IDENTITY_BYTES = 16
# Each part is preceded by its length, so that no two lists of parts give the same bytes.
_LENGTH_BYTES = 8
_PART_BYTES = 10
# Keeps these apart from the identities of works.
_PART_PREFIX = "part-"
# Prompts have a handful of shared parts; a caller may claim any number.
_MAX_PARTS = 16


def work_identity(*parts: str | bytes) -> str:
    """Return the identity of work that is made of ``parts``, in hexadecimal.

    ``parts`` are all that distinguishes it: what it is sent to, for whom, and its body.
    """
    digest = blake2b(digest_size=_IDENTITY_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(_LENGTH_BYTES))
        digest.update(data)
    return digest.hexdigest()


def part_identities(names: Iterable[str]) -> tuple[str, ...]:
    """Return the identities of a prompt's parts, by their names, of the same length for any name.

    Of a prompt with too many parts the first ones count.
    """
    digests = (
        blake2b(name.encode(), digest_size=_PART_BYTES) for name in islice(names, _MAX_PARTS)
    )
    return tuple(f"{_PART_PREFIX}{digest.hexdigest()}" for digest in digests)


def message_parts(body: Mapping[str, object]) -> tuple[str, ...]:
    """Return the identities of the messages that lead up to the last one of a chat request."""
    messages = body.get("messages")
    leading = messages[:-1] if isinstance(messages, list) else []
    return part_identities(msgspec.json.encode(message).decode() for message in leading)


def is_part(identity: str) -> bool:
    """Whether an identity is that of a prompt's part, and not of a work."""
    return identity.startswith(_PART_PREFIX)
