"""Calls by which clients look up fronts, and by which the platform checks a node's readiness."""

from collections.abc import Sequence

import msgspec

from fescuedock.address import Address

__all__ = ["encode_fronts", "is_ready_call", "is_resolve_call"]

_RESOLVE_PATH = "/api/resolve"
_READY_PATH = "/api/ready"
# Clients store no more addresses of one answer than this.
MAX_ADDRESSES = 64


class _Fronts(msgspec.Struct, rename={"ttl_s": "ttlS"}):
    addresses: list[str]
    ttl_s: float


def is_resolve_call(path: str) -> bool:
    """Return whether the path is that of a client's lookup of fronts."""
    return path == _RESOLVE_PATH


def is_ready_call(path: str) -> bool:
    """Return whether the path is that of the platform's readiness check of this node."""
    return path == _READY_PATH


def encode_fronts(addresses: Sequence[Address], ttl_s: float) -> bytes:
    """Return an answer with the first ``MAX_ADDRESSES`` addresses, valid for ``ttl_s``."""
    names = [str(address) for address in addresses[:MAX_ADDRESSES]]
    return msgspec.json.encode(_Fronts(names, ttl_s))
