"""Who tells whom about a version: watchers of the key-value service, pushes, pulls.

A few VMs of each failure domain, picked by rendezvous hashing, ask the key-value service for the
revision of the record's key; the others ask one of them.  Who gets a new version passes it on to a
few VMs picked at random.  Who hears of a higher one, on any membership message, pulls it.
"""

from collections.abc import Sequence
from enum import StrEnum
from random import Random

import msgspec

from fescuedock.core.rendezvous import rank_names
from fescuedock.schema.settings import CutOff
from fescuedock.schema.view import VmRecord, VmState

__all__ = ["SpreadLimits", "Standing", "is_serving", "pick_targets", "standing", "watchers_of"]

_WATCHER_KEY = "config"


class SpreadLimits(msgspec.Struct, frozen=True):
    """Fixed figures of the spread; docs/decisions/config-spread.md has how they were found."""

    watchers_per_domain: int = 2
    push_targets: int = 8
    watch_interval_ms: float = 2000
    pull_delay_ms: float = 150
    pull_timeout_ms: float = 1000


class Standing(StrEnum):
    """What a VM can say about the version it has."""

    CONFIRMED = "confirmed"
    # Unconfirmed, but most VMs are within reach and none of them is known to be ahead.
    UNCONFIRMED = "unconfirmed"
    # Unconfirmed and cut off from half of the VMs or more, which may be ahead.
    CUT_OFF = "cut_off"
    # Restarted, and nobody has told it any version yet.
    EMPTY = "empty"


def live(vms: Sequence[VmRecord]) -> list[VmRecord]:
    """Return those whose agents can be called."""
    return [vm for vm in vms if vm.state is not VmState.GONE and vm.agent_port]


def watchers_of(vms: Sequence[VmRecord], failure_domain: str, count: int) -> list[str]:
    """Return the identities of the VMs that watch for ``failure_domain``, best choice first."""
    names = [vm.vm_id for vm in live(vms) if vm.failure_domain == failure_domain]
    return rank_names(_WATCHER_KEY, names)[:count]


def pick_targets(
    vms: Sequence[VmRecord], own_vm_id: str, count: int, random: Random
) -> list[VmRecord]:
    """Pick up to ``count`` other live VMs at random."""
    others = [vm for vm in live(vms) if vm.vm_id != own_vm_id]
    return random.sample(others, min(count, len(others)))


def standing(
    confirmed_age_ms: float, confirm_limit_ms: float, version: int, reached: int, known: int
) -> Standing:
    """Judge the age of the last confirmation, with ``reached`` of ``known`` VMs within reach."""
    if confirmed_age_ms <= confirm_limit_ms:
        return Standing.CONFIRMED
    if not version:
        return Standing.EMPTY
    return Standing.UNCONFIRMED if 2 * reached > known else Standing.CUT_OFF


def is_serving(now: Standing, cut_off: CutOff) -> bool:
    """Whether a VM of that standing takes new requests."""
    if now is Standing.CONFIRMED:
        return True
    if now is Standing.EMPTY or cut_off is CutOff.REFUSE:
        return False
    return now is Standing.UNCONFIRMED or cut_off is CutOff.SERVE
