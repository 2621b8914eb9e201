"""Dispatches requests to handlers by method and path, with 404 and 405 responses."""

from collections.abc import Awaitable, Callable, Sequence

import msgspec

from fescuedock.faults import Fault
from fescuedock.net.http_server import Handler, Request, Responder
from fescuedock.schema.result_codes import ResultCode

__all__ = ["Route", "RouteHandler", "route_requests"]

ANY_METHOD = "*"

# Receives the request, the responder and the values of the pattern's {names}.
RouteHandler = Callable[[Request, Responder, dict[str, str]], Awaitable[None]]


class Route(msgspec.Struct, frozen=True):
    """``pattern`` is a path in which ``{name}`` matches one segment and ``{name*}`` the rest."""

    method: str
    pattern: str
    handler: RouteHandler


def route_requests(routes: Sequence[Route]) -> Handler:
    """Return the handler that passes each request to the first route that matches."""

    async def handle(request: Request, responder: Responder) -> None:
        allowed: list[str] = []
        for route in routes:
            values = _match(route.pattern, request.path)
            if values is None:
                continue
            if route.method in (request.method, ANY_METHOD):
                await route.handler(request, responder, values)
                return
            allowed.append(route.method)
        if not allowed:
            await responder.send_fault(Fault(ResultCode.NOT_FOUND, f"no path {request.path!r}"))
            return
        fault = Fault(ResultCode.METHOD_NOT_ALLOWED, f"{request.path!r} takes no {request.method}")
        await responder.send_fault(fault, [("allow", ", ".join(sorted(set(allowed))))])

    return handle


def _match(pattern: str, path: str) -> dict[str, str] | None:
    wanted = pattern.split("/")
    given = path.split("/")
    values: dict[str, str] = {}
    for position, part in enumerate(wanted):
        if part.endswith("*}"):
            values[part[1:-2]] = "/".join(given[position:])
            return values if position < len(given) else None
        if position >= len(given):
            return None
        if part.startswith("{") and given[position]:
            values[part[1:-1]] = given[position]
        elif part != given[position]:
            return None
    return values if len(wanted) == len(given) else None
