"""The commands ``status``, ``upstreams``, ``customers`` and ``drain``."""

from result import Err, Result

from fescuedock.address import Address
from fescuedock.cli.command_line import Command, ExitCode
from fescuedock.cli.config_patches import submit_on_current
from fescuedock.cli.entry_session import EntrySession, Failure, run_session, show_json
from fescuedock.report.tables import table
from fescuedock.schema.report import CustomerStatus, FleetStatus, UpstreamStatus, VmStatus

__all__ = [
    "CUSTOMERS_COMMAND",
    "DRAIN_COMMAND",
    "STATUS_COMMAND",
    "UPSTREAMS_COMMAND",
    "read_status",
]

_STATUS_HELP = """\
fescuedock status: the VMs of the fleet as one entry sees them.

usage: fescuedock status [--entry=HOST:PORT] [--json]

An age of -1 ms says "never".  exit codes: 0 done, 1 failed, 2 bad usage
"""
_UPSTREAMS_HELP = """\
fescuedock upstreams: the upstreams, which VM grants their permits, and their load.

usage: fescuedock upstreams [--service=NAME] [--entry=HOST:PORT] [--json]

The load is what the owner last told this entry, AGE MS ago; -1 says that it never did.
exit codes: 0 done, 1 failed, 2 bad usage
"""
_CUSTOMERS_HELP = """\
fescuedock customers: the customers in force, their limits, and their use as a node has seen it.

usage: fescuedock customers [--entry=HOST:PORT] [--json]

On the users' platform HOST:PORT is the metrics port of a node, which counts from its start on.
OWNER is the node that keeps the limit; a RATE of 0 sets none.
exit codes: 0 done, 1 failed, 2 bad usage
"""
_DRAIN_HELP = """\
fescuedock drain: stop giving new work to an upstream, or announce the planned stop of a VM.

usage: fescuedock drain VM|UPSTREAM [--undo] [--entry=HOST:PORT]

An upstream is drained by a patch of the configuration, which --undo takes back.  A VM announces
that it leaves: entries stop naming it and it gets no new work; stop its programs when `fescuedock
status` no longer shows it as alive.
exit codes: 0 done, 1 refused or failed, 2 bad usage, 3 outcome unknown
"""


async def read_status(session: EntrySession) -> Result[FleetStatus, Failure]:
    """Return the fleet as the session's entry sees it."""
    return await session.get("/admin/status", FleetStatus)


def _status(entry: str = "", json: bool = False) -> int:
    async def steps(session: EntrySession) -> Result[str, Failure]:
        return (await read_status(session)).map(show_json if json else _status_text)

    return run_session(entry, steps)


def _status_text(status: FleetStatus) -> str:
    headers = ("VM", "DOMAIN", "REGION", "ADDRESS", "STATE", "CONFIG", "READY")
    rows = [
        (
            vm.vm_id,
            vm.failure_domain,
            vm.region,
            f"{vm.host}:{vm.entry_port}",
            vm.state,
            vm.config_version,
            " ".join(vm.ready) or "-",
        )
        for vm in status.vms
    ]
    seen = (
        f"seen by {status.vm_id}: configuration {status.config_version}, confirmed "
        f"{status.config_age_ms} ms ago; VM list read {status.membership_age_ms} ms ago; "
        f"{len(status.upstreams)} upstreams"
    )
    return f"{table(headers, rows)}\n{seen}"


def _customers(entry: str = "", json: bool = False) -> int:
    async def steps(session: EntrySession) -> Result[str, Failure]:
        customers = (await read_status(session)).map(lambda status: status.customers)
        return customers.map(show_json if json else _customers_text)

    return run_session(entry, steps)


def _customers_text(customers: list[CustomerStatus]) -> str:
    headers = ("CUSTOMER", "RATE/S", "BURST", "ADMITTED", "REFUSED", "OWNER")
    rows = [
        (item.customer, item.rate_per_s, item.burst, item.admitted, item.refused, item.owner or "-")
        for item in sorted(customers, key=lambda item: (-item.refused, -item.admitted))
    ]
    return table(headers, rows)


def _upstreams(service: str = "", entry: str = "", json: bool = False) -> int:
    async def steps(session: EntrySession) -> Result[str, Failure]:
        status = await read_status(session)
        chosen = status.map(
            lambda found: [item for item in found.upstreams if service in ("", item.service)]
        )
        return chosen.map(show_json if json else _upstreams_text)

    return run_session(entry, steps)


def _upstreams_text(upstreams: list[UpstreamStatus]) -> str:
    headers = (
        "UPSTREAM",
        "SERVICE",
        "KIND",
        "DOMAIN",
        "OWNER",
        "STATE",
        "ONLINE",
        "BATCH",
        "LIMIT",
        "AGE MS",
    )
    rows = [
        (
            item.upstream_id,
            item.service,
            item.kind,
            item.failure_domain,
            item.owner or "-",
            _upstream_state(item),
            item.in_flight_online,
            item.in_flight_batch,
            item.limit,
            item.load_age_ms,
        )
        for item in upstreams
    ]
    return table(headers, rows)


def _upstream_state(upstream: UpstreamStatus) -> str:
    if upstream.drain:
        return "draining"
    return "leaving" if upstream.leaving else "in use"


def _drain(name: str, undo: bool = False, entry: str = "") -> int:
    async def steps(session: EntrySession) -> Result[str, Failure]:
        status = await read_status(session)
        if status.is_err():
            return status
        fleet = status.unwrap()
        vms = {vm.vm_id: vm for vm in fleet.vms}
        if name in vms:
            return await _leave_vm(session, vms[name], undo)
        if name not in {item.upstream_id for item in fleet.upstreams}:
            return Err(Failure(f"no VM or upstream is named {name!r}"))
        return await _drain_upstream(session, name, drain=not undo)

    return run_session(entry, steps)


async def _leave_vm(session: EntrySession, vm: VmStatus, undo: bool) -> Result[str, Failure]:
    if undo:
        text = "a VM that has announced its stop comes back by starting its programs again"
        return Err(Failure(text, ExitCode.USAGE))
    if not vm.entry_port:
        return Err(Failure(f"{vm.vm_id} runs no entry; stop its programs with SIGTERM instead"))
    address = Address(vm.host, vm.entry_port)
    answer = await session.post("/admin/leave", {}, dict[str, object], address)
    return answer.map(lambda _answer: f"{vm.vm_id} has announced that it leaves")


async def _drain_upstream(
    session: EntrySession, upstream_id: str, *, drain: bool
) -> Result[str, Failure]:
    patch = {"upstreams": {upstream_id: {"drain": drain}}}
    done = await submit_on_current(session, patch, actor="fescuedock drain")
    effect = "gets no new work" if drain else "may get work again"
    return done.map(lambda version: f"{upstream_id} {effect} from configuration {version} on")


CUSTOMERS_COMMAND = Command(_customers, _CUSTOMERS_HELP)
STATUS_COMMAND = Command(_status, _STATUS_HELP)
UPSTREAMS_COMMAND = Command(_upstreams, _UPSTREAMS_HELP)
DRAIN_COMMAND = Command(_drain, _DRAIN_HELP)
