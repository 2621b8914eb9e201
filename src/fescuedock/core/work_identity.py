"""The identity of a piece of work: the same for each try of it, wherever and whenever it comes.

A client that tries again gives its call another identity, and an item runs at many nodes; what a
piece of work does to the upstreams that run it depends on what is sent to them alone.
"""

from hashlib import blake2b

__all__ = ["work_identity"]

# 16 bytes: nobody finds other content with the identity of somebody's work.
_IDENTITY_BYTES = 16
# Each part is preceded by its length, so that no two lists of parts give the same bytes.
_LENGTH_BYTES = 8


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
