"""All routes of an entry, as one handler."""

from collections.abc import Callable

from fescuedock.entry import admin, entries, files, jobs, models, monitoring, online, services
from fescuedock.entry.context import EntryContext
from fescuedock.entry.operators import is_operators_path, operator_refusal
from fescuedock.entry.routes import route_requests
from fescuedock.faults import Fault
from fescuedock.net.http_server import Handler, Request, Responder

__all__ = ["entry_handler"]

_MODULES = (models, online, services, files, jobs, entries, admin, monitoring)
# New work.  Reads and operator paths are answered even while the entry refuses new work.
_WORK_PATHS = (("POST", "/v1/"), ("", "/services/"))

# Returns why new work is refused, None if it is accepted.
Refusal = Callable[[], Fault | None]


def entry_handler(context: EntryContext, refusal: Refusal) -> Handler:
    """Return the handler of every request to an entry; ``refusal`` is called for new work."""
    route = route_requests([item for module in _MODULES for item in module.routes(context)])

    async def handle(request: Request, responder: Responder) -> None:
        fault = _refusal_of(context, refusal, request)
        if fault is None:
            await route(request, responder)
        else:
            await responder.send_fault(fault)

    return handle


def _refusal_of(context: EntryContext, refusal: Refusal, request: Request) -> Fault | None:
    if is_operators_path(request.path):
        return operator_refusal(context.settings.entry, request.headers)
    return refusal() if _is_new_work(request) else None


def _is_new_work(request: Request) -> bool:
    return any(
        request.path.startswith(prefix) and method in ("", request.method)
        for method, prefix in _WORK_PATHS
    )
