"""Decides which entries a caller should use, and in which order."""

import math
from collections.abc import Iterable, Sequence
from random import Random

import msgspec

from fescuedock.schema.view import Program, VmRecord, VmState

__all__ = ["CallerPlace", "eligible_entries", "rank_entries", "recommended_vms"]

# Costs are exponents of two: an entry in another domain is 1/8 as likely to be the first choice.
_OTHER_DOMAIN_COST = 3
_OTHER_REGION_COST = 8
# Loads are logarithms; a load up to this one is noise (fewer than eight requests).
_IDLE_LOAD = 3
# Loads are known late and callers cache answers, so following the load closely would make all
# callers oscillate: only load above four times that of the least loaded entry counts.
_TOLERATED_LOAD = 2
_LIVE = (VmState.ALIVE, VmState.SUSPECT)
# If a smaller share of the VMs answers, this node is more likely at fault than the suspected ones.
_MIN_ANSWERING_SHARE = 0.5


class CallerPlace(msgspec.Struct, frozen=True):
    """The location that a caller gives; an empty name is unknown."""

    failure_domain: str = ""
    region: str = ""


def eligible_entries(vms: Iterable[VmRecord]) -> list[VmRecord]:
    """Return the VMs to list: live, with a ready entry and a confirmed configuration.

    If no VM could confirm its configuration, none is ahead of the others and all may be listed.
    """
    ready = [vm for vm in vms if vm.state in _LIVE and vm.entry_port and Program.ENTRY in vm.ready]
    return [vm for vm in ready if vm.config_confirmed] or ready


def recommended_vms(live: Sequence[VmRecord]) -> list[VmRecord]:
    """Return the VMs of ``live`` that clients should use.

    A VM that fails its probes is excluded at once, not only when it is declared gone a second
    later: a client that connects to a dead VM waits for one second, three times its target.  The
    other VMs serve its share meanwhile; a wrongly suspected VM still serves its existing clients.
    """
    answering = [vm for vm in live if vm.state is VmState.ALIVE]
    return answering if len(answering) >= _MIN_ANSWERING_SHARE * len(live) else list(live)


def rank_entries(vms: Sequence[VmRecord], place: CallerPlace, rng: Random) -> list[VmRecord]:
    """Return ``vms`` in the order in which one caller should try them.

    The order is random for each answer, with near and lightly loaded entries more likely first, so
    that callers that cache their answers are spread; suspected VMs come last.
    """
    place = _with_region(place, vms)
    min_load = min((vm.entry_load for vm in vms), default=0)

    def key(vm: VmRecord) -> tuple[bool, float]:
        cost = _distance_cost(vm, place) + _load_cost(vm.entry_load, min_load)
        return (vm.state is VmState.SUSPECT, _draw(cost, rng))

    return sorted(vms, key=key)


def _with_region(place: CallerPlace, vms: Sequence[VmRecord]) -> CallerPlace:
    """Return ``place`` with the region of its failure domain, if that is known."""
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
    """Draw a sort key; an entry has the lowest of several with a weight of 2 ** -cost."""
    return -math.log(1.0 - rng.random()) * 2.0**cost
