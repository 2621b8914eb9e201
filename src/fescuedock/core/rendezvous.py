"""Rendezvous hashing: every VM that knows the same names picks the same one for a key.

When a name comes or goes, only the keys that it wins or won change hands.
"""

from collections.abc import Iterable
from hashlib import blake2b

from fescuedock.schema.view import UpstreamRecord, VmRecord

__all__ = ["choose_name", "choose_owner", "rank_names"]

_SCORE_BYTES = 8


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` from the first choice for ``key`` to the last."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def choose_name(key: str, names: Iterable[str]) -> str | None:
    """Return the first choice for ``key``, or None when there are no ``names``."""
    return max(names, key=lambda name: _score(key, name), default=None)


def choose_owner(upstream: UpstreamRecord, vms: Iterable[VmRecord]) -> VmRecord | None:
    """Return the VM that owns ``upstream``: one of its failure domain, else of its region.

    ``vms`` are those that can own at all; None when there are none.
    """
    candidates = list(vms)
    near = [vm for vm in candidates if vm.failure_domain == upstream.failure_domain]
    if not near:
        near = [vm for vm in candidates if vm.region == upstream.region]
    by_id = {vm.vm_id: vm for vm in near or candidates}
    chosen = choose_name(upstream.upstream_id, by_id)
    return None if chosen is None else by_id[chosen]


def _score(key: str, name: str) -> bytes:
    # The separator keeps ("ab", "c") apart from ("a", "bc").
    return blake2b(f"{key}\0{name}".encode(), digest_size=_SCORE_BYTES).digest() + name.encode()
