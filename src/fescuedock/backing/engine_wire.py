"""The JSON messages of the model engines' control interface."""

from collections.abc import Iterator
from hashlib import blake2b

import msgspec

__all__ = [
    "BLOCK_CHARS",
    "CacheEvent",
    "CacheEvents",
    "EngineLoad",
    "EngineOrder",
    "KvBlocks",
    "prefix_hashes",
]

# Length of prompt text that one block of the prefix cache covers.
BLOCK_CHARS = 64
_HASH_BYTES = 8


class EngineLoad(msgspec.Struct, frozen=True):
    """An engine's report of its load, which lags behind the actual load."""

    running: int
    waiting: int
    kv_cache_use: float


class CacheEvent(msgspec.Struct, frozen=True):
    """Blocks added to or removed from the prefix cache; a gap in ``seq`` means lost events."""

    seq: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


class CacheEvents(msgspec.Struct, frozen=True):
    """Events after the requested number; the engine no longer has those before ``first_kept``."""

    events: tuple[CacheEvent, ...]
    last_seq: int
    first_kept: int


class EngineOrder(msgspec.Struct, frozen=True, omit_defaults=True):
    """An order with its fencing number; ``order`` decides which other fields are used.

    Orders: ``load_model``, ``unload_model``, ``load_adapter``, ``unload_adapter``, ``set_role``.
    """

    fencing: int
    order: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class KvBlocks(msgspec.Struct, frozen=True):
    """Blocks of KV cache in transfer from one engine to another."""

    hashes: tuple[str, ...]
    payload: bytes = b""


def prefix_hashes(prompt: str) -> Iterator[str]:
    """Yield each full block's hash, computed over all text of ``prompt`` up to the block's end."""
    digest = blake2b(digest_size=_HASH_BYTES)
    for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS):
        digest.update(prompt[end - BLOCK_CHARS : end].encode())
        yield digest.hexdigest()
