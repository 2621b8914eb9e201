"""Dissemination of configuration versions: watchers of the key-value service, pushes and pulls.

A few VMs of each failure domain, chosen by rendezvous hashing, query the key-value service for the
revision of the record's key; the other VMs query one of them.  A VM with a new version pushes it to
a few random VMs.  A VM that sees a higher version in a membership message pulls it.
"""

from collections.abc import Sequence
from enum import StrEnum
from random import Random

import msgspec

from fescuedock.core.rendezvous import rank_names
from fescuedock.schema.settings import CutOff
from fescuedock.schema.view import VmRecord, VmState

__all__ = [
    "ConfirmationState",
    "SpreadLimits",
    "confirmation_state",
    "is_serving",
    "pick_targets",
    "watchers_of",
]

_WATCHER_KEY = "config"


class SpreadLimits(msgspec.Struct, frozen=True):
    """Parameters of the dissemination; docs/decisions/config-spread.md explains their choice."""

    watchers_per_domain: int = 2
    push_targets: int = 8
    watch_interval_ms: float = 2000
    pull_delay_ms: float = 150
    pull_timeout_ms: float = 1000


class ConfirmationState(StrEnum):
    """How well a VM's version of the configuration is confirmed as the newest."""

    CONFIRMED = "confirmed"
    # Unconfirmed, but most VMs are reachable and none of them is known to have a newer version.
    UNCONFIRMED = "unconfirmed"
    # Unconfirmed and cut off from half of the VMs or more, which may have a newer version.
    CUT_OFF = "cut_off"
    # Restarted, and has not received any version yet.
    EMPTY = "empty"


def live_vms(vms: Sequence[VmRecord]) -> list[VmRecord]:
    """Return the VMs whose agents can be called."""
    return [vm for vm in vms if vm.state is not VmState.GONE and vm.agent_port]


def watchers_of(vms: Sequence[VmRecord], failure_domain: str, count: int) -> list[str]:
    """Return the identities of the VMs that watch for ``failure_domain``, best choice first."""
    names = [vm.vm_id for vm in live_vms(vms) if vm.failure_domain == failure_domain]
    return rank_names(_WATCHER_KEY, names)[:count]


def pick_targets(
    vms: Sequence[VmRecord], own_vm_id: str, count: int, random: Random
) -> list[VmRecord]:
    """Return up to ``count`` other live VMs, chosen at random."""
    others = [vm for vm in live_vms(vms) if vm.vm_id != own_vm_id]
    return random.sample(others, min(count, len(others)))


def confirmation_state(
    confirmed_age_ms: float, confirm_limit_ms: float, version: int, reached: int, known: int
) -> ConfirmationState:
    """Classify the age of the last confirmation when ``reached`` of ``known`` VMs are reachable."""
    if confirmed_age_ms <= confirm_limit_ms:
        return ConfirmationState.CONFIRMED
    if not version:
        return ConfirmationState.EMPTY
    return ConfirmationState.UNCONFIRMED if 2 * reached > known else ConfirmationState.CUT_OFF


def is_serving(state: ConfirmationState, cut_off: CutOff) -> bool:
    """Whether a VM in that state accepts new requests."""
    if state is ConfirmationState.CONFIRMED:
        return True
    if state is ConfirmationState.EMPTY or cut_off is CutOff.REFUSE:
        return False
    return state is ConfirmationState.UNCONFIRMED or cut_off is CutOff.SERVE
