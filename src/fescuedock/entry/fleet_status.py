"""The state of the fleet as one VM knows it, for operator pages and metrics."""

import math

from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import PermitClient
from fescuedock.clock import now_ms
from fescuedock.schema.config import UpstreamPolicy
from fescuedock.schema.report import FleetStatus, UpstreamStatus, VmStatus
from fescuedock.schema.view import UpstreamRecord, VmRecord

__all__ = ["STATUS_PATH", "fleet_status"]

# Path on an entry and on a node's metrics port.
STATUS_PATH = "/admin/status"

_NEVER_MS = -1


def fleet_status(view: FleetView, permits: PermitClient) -> FleetStatus:
    """Return the fleet as in ``view``, with the loads that owners reported to ``permits``."""
    suspected, harmful, cleared = view.quarantine.counts()
    return FleetStatus(
        suspected_traits=suspected,
        harmful_traits=harmful,
        cleared_traits=cleared,
        vm_id=view.vm_id,
        config_version=view.config_version,
        config_age_ms=_integer_ms(view.config_age_ms),
        membership_age_ms=_integer_ms(view.membership_age_ms),
        vms=[_vm_status(vm) for _, vm in sorted(view.vms.items())],
        upstreams=[
            _upstream_status(view, permits, item) for _, item in sorted(view.upstreams.items())
        ],
    )


def _vm_status(vm: VmRecord) -> VmStatus:
    return VmStatus(
        vm_id=vm.vm_id,
        region=vm.region,
        failure_domain=vm.failure_domain,
        host=vm.host,
        state=vm.state.value,
        ready=sorted(program.value for program in vm.ready),
        entry_port=vm.entry_port,
        config_version=vm.config_version,
    )


def _upstream_status(
    view: FleetView, permits: PermitClient, upstream: UpstreamRecord
) -> UpstreamStatus:
    owner = view.owner_of(upstream.upstream_id)
    policy = view.configuration.upstreams.get(upstream.upstream_id, UpstreamPolicy())
    status = UpstreamStatus(
        upstream_id=upstream.upstream_id,
        service=upstream.service,
        kind=upstream.kind.value,
        failure_domain=upstream.failure_domain,
        leaving=upstream.leaving,
        drain=policy.drain,
        owner=owner.vm_id if owner else "",
    )
    timed = permits.loads.get(upstream.upstream_id)
    if timed is not None:
        status.in_flight_online = timed.load.in_flight_online
        status.in_flight_batch = timed.load.in_flight_batch
        status.limit = timed.load.limit
        status.load_age_ms = _integer_ms(now_ms() - timed.at_ms)
    return status


def _integer_ms(interval_ms: float) -> int:
    """Return integer milliseconds; -1 for "never"."""
    return int(interval_ms) if math.isfinite(interval_ms) else _NEVER_MS
