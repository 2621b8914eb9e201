"""Which entries a caller is told to use, and in which order."""

import math
from collections.abc import Iterable, Sequence
from random import Random

import msgspec

from fescuedock.schema.view import Program, VmRecord, VmState

__all__ = ["CallerPlace", "eligible_entries", "recommended_vms", "rank_entries"]

# Distances and load count as powers of two: one in eight first choices is of another domain.
_OTHER_DOMAIN_COST = 3
_OTHER_REGION_COST = 8
# Below this the load is noise: fewer than eight requests.
_IDLE_LOAD = 3
# Load is known late and answers are kept, so that following it closely makes all callers go to and
# fro: only what is over four times the load of the idlest entry counts.
_TOLERATED_LOAD = 2
_LIVE = (VmState.ALIVE, VmState.SUSPECT)
# With fewer than this share unsuspected the suspicion says more of this node than of the others.
_MIN_ANSWERING_SHARE = 0.5


class CallerPlace(msgspec.Struct, frozen=True):
    """Where a caller says it is; empty names say nothing."""

    failure_domain: str = ""
    region: str = ""


def eligible_entries(vms: Iterable[VmRecord]) -> list[VmRecord]:
    """Return the VMs that may be named: live, with a ready entry, their configuration confirmed.

    If none could confirm its configuration, none is ahead of the others and all may be named.
    """
    ready = [vm for vm in vms if vm.state in _LIVE and vm.entry_port and Program.ENTRY in vm.ready]
    return [vm for vm in ready if vm.config_confirmed] or ready


def recommended_vms(live: Sequence[VmRecord]) -> list[VmRecord]:
    """Return the VMs of ``live`` that clients should use.

    A VM that does not answer probes is left out at once, not only when it is taken for gone a
    second later: a client that connects to a dead VM waits for one second, three times its target.
    The others carry its share meanwhile; one that was suspected wrongly serves on.
    """
    answering = [vm for vm in live if vm.state is VmState.ALIVE]
    return answering if len(answering) >= _MIN_ANSWERING_SHARE * len(live) else list(live)


def rank_entries(vms: Sequence[VmRecord], place: CallerPlace, rng: Random) -> list[VmRecord]:
    """Return ``vms`` in the order in which one caller should try them.

    The order is drawn anew for each answer, near and idle entries more likely first, so that
    callers who keep their answers spread; suspected VMs come last.
    """
    place = _with_region(place, vms)
    min_load = min((vm.entry_load for vm in vms), default=0)

    def key(vm: VmRecord) -> tuple[bool, float]:
        cost = _distance_cost(vm, place) + _load_cost(vm.entry_load, min_load)
        return (vm.state is VmState.SUSPECT, _draw(cost, rng))

    return sorted(vms, key=key)


def _with_region(place: CallerPlace, vms: Sequence[VmRecord]) -> CallerPlace:
    """Add the region of the failure domain, where that is known."""
    if place.region:
        return place
    regions = [vm.region for vm in vms if vm.failure_domain == place.failure_domain]
    return CallerPlace(place.failure_domain, regions[0] if regions else "")


def _distance_cost(vm: VmRecord, place: CallerPlace) -> int:
    if place.failure_domain == vm.failure_domain:
        return 0
    if place.region and place.region != vm.region:
        return _OTHER_REGION_COST
    return _OTHER_DOMAIN_COST


def _load_cost(load: int, min_load: int) -> int:
    return max(0, load - max(min_load, _IDLE_LOAD) - _TOLERATED_LOAD)


def _draw(cost: int, rng: Random) -> float:
    """Draw a sort key: the least of several is the entry's with a chance of 2 ** -cost."""
    return -math.log(1.0 - rng.random()) * 2.0**cost
