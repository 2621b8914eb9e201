"""All routes of an entry, as one handler."""

from collections.abc import Callable

from fescuedock.entry import admin, entries, files, jobs, models, online, seeing, services
from fescuedock.entry.context import EntryContext
from fescuedock.entry.routes import route_requests
from fescuedock.faults import Fault
from fescuedock.net.http_server import Handler, Request, Responder
from fescuedock.schema.result_codes import ResultCode

__all__ = ["entry_handler"]

_MODULES = (models, online, services, files, jobs, entries, admin, seeing)
_RETRY_AFTER_MS = 500


def entry_handler(context: EntryContext, joined: Callable[[], bool]) -> Handler:
    """Return the handler of every request to an entry.

    Until ``joined`` says that the fleet and its configuration are known, everything is refused:
    to say that a model does not exist would not be true.
    """
    route = route_requests([item for module in _MODULES for item in module.routes(context)])

    async def handle(request: Request, responder: Responder) -> None:
        if joined():
            await route(request, responder)
            return
        message = "this entry does not know the fleet yet"
        await responder.send_fault(Fault(ResultCode.NO_CAPACITY, message, _RETRY_AFTER_MS))

    return handle
