"""GET /v1/entries: which entries a caller should use, as no load balancer is in front of them."""

import random

import msgspec

from fescuedock.core.entry_choice import CallerPlace, eligible_entries, rank_entries
from fescuedock.entry.context import EntryContext
from fescuedock.entry.routes import Route
from fescuedock.faults import Fault
from fescuedock.net.http_server import Request, Responder
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import VmRecord

__all__ = ["EntriesAnswer", "ListedEntry", "routes"]

_RETRY_AFTER_MS = 1000
# Stands for "never": the largest integer that every JSON reader represents exactly.
_MAX_AGE_MS = 2**53


class ListedEntry(msgspec.Struct):
    """One entry; ``address`` has the form HOST:PORT."""

    vm_id: str
    address: str
    failure_domain: str
    region: str


class EntriesAnswer(msgspec.Struct):
    """Entries in the order to try them, and how long the answer may be cached."""

    entries: list[ListedEntry]
    valid_for_ms: int
    membership_age_ms: int
    view_version: int


def routes(context: EntryContext) -> list[Route]:
    """Return the routes of this module."""
    rng = random.Random()

    async def get_entries(request: Request, responder: Responder, _values: dict[str, str]) -> None:
        place = CallerPlace(
            request.query.get("failure_domain", ""), request.query.get("region", "")
        )
        ranked = rank_entries(eligible_entries(context.view.vms.values()), place, rng)
        if not ranked:
            fault = Fault(ResultCode.NO_CAPACITY, "no entry is ready", _RETRY_AFTER_MS)
            await responder.send_fault(fault)
            return
        answer = EntriesAnswer(
            entries=[_listed_entry(vm) for vm in ranked],
            valid_for_ms=context.settings.entry.answer_valid_ms,
            membership_age_ms=int(min(context.view.membership_age_ms, _MAX_AGE_MS)),
            view_version=context.view.version,
        )
        await responder.send_json(200, answer, [("cache-control", "no-store")])

    return [Route("GET", "/v1/entries", get_entries)]


def _listed_entry(vm: VmRecord) -> ListedEntry:
    host = f"[{vm.host}]" if ":" in vm.host else vm.host
    return ListedEntry(vm.vm_id, f"{host}:{vm.entry_port}", vm.failure_domain, vm.region)
