"""Answers clients and the platform at a node: calls, jobs, readiness and the directory."""

from collections.abc import Callable
from functools import partial

import msgspec
import trio
from result import Err, Result

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.clock import now_ms
from fescuedock.core.customers import Caller, identify, scoped_job_id
from fescuedock.core.entry_choice import recommended_vms
from fescuedock.core.forwarding.route_table import ClientLimits, Route, RouteKind
from fescuedock.core.slow_peers import HeldBounds, HeldBytes
from fescuedock.errors import run_contained
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.http_server import (
    CutOff,
    HttpLimits,
    HttpServer,
    Request,
    Responder,
    fault_body,
)
from fescuedock.node.configuration import NodeConfiguration
from fescuedock.node.job_calls import JobCalls
from fescuedock.node.online import OnlineCalls
from fescuedock.node.quotas import Quotas
from fescuedock.platform import calls, directory, job_calls
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import NodeSettings
from fescuedock.schema.view import Program

__all__ = ["Front", "http_limits"]

_STARTING_RETRY_MS = 300
# How long a call waits at a node that has just started; most nodes know their fleet by then.
_STARTING_WAIT_S = 1.0
# An unknown route or key is refused for good only while this node's version is certainly no older
# than this; otherwise a newer version may have it.  Without faults the age stays below 2.1 s.
_MAX_VERSION_AGE_MS = 2400.0
# Logged in place of an infinite age.
_MAX_LOGGED_AGE_MS = 1e9
# Ends of jobs whose clients left while this node was starting.
_MAX_ABANDONED_ENDS = 256
# Added to the configured idle time, which clients count from the arrival of an answer.
_IDLE_SLACK_MS = 1000


class Front:
    """The HTTP handlers of one node.

    ``online``, ``jobs`` and ``quotas`` are set before the server starts.  ``knows_restrictions``
    says whether the restrictions on units of work were read.
    """

    __slots__ = (
        "_abandoned_ends",
        "_has_started",
        "_knows_restrictions",
        "configuration",
        "cut_off_callers",
        "held",
        "jobs",
        "leaving",
        "online",
        "own_address",
        "quotas",
        "server",
        "settings",
        "view",
    )

    def __init__(
        self,
        settings: NodeSettings,
        own_address: Address,
        configuration: NodeConfiguration,
        view: FleetView,
        knows_restrictions: Callable[[], bool] = lambda: True,
    ) -> None:
        self.settings = settings
        self.own_address = own_address
        self.configuration = configuration
        self.view = view
        self.online: OnlineCalls | None = None
        self.jobs: JobCalls | None = None
        self.quotas: Quotas | None = None
        self.leaving = False
        self._has_started = False
        # The calls, with what they ask for.
        self._abandoned_ends = trio.open_memory_channel[tuple[Request, job_calls.JobCall]](
            _MAX_ABANDONED_ENDS
        )
        self._knows_restrictions = knows_restrictions
        bounds = HeldBounds(settings.held_call_bytes, settings.held_process_bytes)
        self.held = HeldBytes(bounds)
        self.cut_off_callers = 0
        self.server = HttpServer(
            self.handle,
            http_limits(ClientLimits()),
            send_buffer_bytes=settings.client_buffer_bytes,
            held=self.held,
            on_cut_off=self._log_cut_off,
        )

    @property
    def ready(self) -> bool:
        """Whether this node accepts new work."""
        return self.has_started and not self.leaving

    @property
    def has_started(self) -> bool:
        """Whether the configuration, an upstream and the restrictions on work were known once.

        Stays true from then on: a node whose last upstream is gone still reads and ends jobs.
        """
        if not self._has_started:
            is_known = self.configuration.is_known and self._knows_restrictions()
            self._has_started = is_known and bool(self.view.upstreams)
        return self._has_started

    async def _wait_started(self) -> bool:
        """Wait shortly while this node starts; return whether it can serve."""
        with trio.move_on_after(_STARTING_WAIT_S):
            await self._until_started()
        return self.has_started

    async def _until_started(self) -> None:
        await self.configuration.wait_known()
        version = 0
        while not self.has_started:
            version = await self.view.wait_changed(version)

    async def run(self) -> None:
        """Once this node has started, end the jobs whose clients left before; never returns.

        Such a client may never retry, and still expects that its job stops.
        """
        await self._until_started()
        async with trio.open_nursery() as nursery:
            async for request, call in self._abandoned_ends[1]:
                caller = self._caller_of_job(request)
                if isinstance(caller, Err):
                    self._log_refusal(request, caller.err_value)
                    continue
                job_id = scoped_job_id(caller.ok_value, call.job_id)
                nursery.start_soon(
                    partial(run_contained, "job", self.jobs.ends.end, job_id, job_id=job_id)
                )

    def _keep_abandoned_end(self, request: Request, call: job_calls.JobCall) -> None:
        try:
            self._abandoned_ends[0].send_nowait((request, call))
        except trio.WouldBlock:
            log_event("job_end_not_kept", job_id=call.job_id, pending=_MAX_ABANDONED_ENDS)

    def apply_limits(self) -> None:
        """Apply the limits of the current configuration, to open connections as well."""
        self.server.limits = http_limits(self.configuration.routes.limits)

    def _log_cut_off(self, cut_off: CutOff) -> None:
        self.cut_off_callers += 1
        log_event(
            "caller_cut_off",
            reason=cut_off.reason,
            held_bytes=cut_off.held_bytes,
            total_held_bytes=cut_off.total_bytes,
            callers=len(self.held.peers),
        )

    # --- clients ---------------------------------------------------------------------------------

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one call of a client."""
        try:
            call = job_calls.job_call(request.method, request.path, request.query, request.headers)
        except ValueError as error:
            await self._refuse(request, responder, Fault(ResultCode.BAD_REQUEST, str(error)))
            return
        try:
            has_started = self.has_started or await self._wait_started()
        except trio.Cancelled:
            if call is not None and call.verb == "end":
                self._keep_abandoned_end(request, call)
            raise
        if not has_started:
            text = "this node does not know its configuration and upstreams yet"
            fault = Fault(ResultCode.CONFIG_UNCONFIRMED, text, _STARTING_RETRY_MS)
            await self._refuse(request, responder, fault)
            return
        if call is not None:
            await self._handle_job_call(request, responder, call)
            return
        await self._handle_routed(request, responder)

    async def _handle_routed(self, request: Request, responder: Responder) -> None:
        route = self._route_of(request)
        if route is None:
            text = f"no route for {request.headers.get('host', '')!r} {request.path!r}"
            await self._refuse_unknown(request, responder, Fault(ResultCode.NOT_FOUND, text))
            return
        caller = self._caller_of(request, public=route.public)
        if isinstance(caller, Err):
            await self._refuse_unknown(request, responder, caller.err_value)
            return
        body = await request.read(self.configuration.routes.limits.max_body_bytes)
        if route.kind is RouteKind.BATCH:
            if request.method != "POST":
                text = f"{request.method} on a route of batch jobs"
                fault = Fault(ResultCode.METHOD_NOT_ALLOWED, text)
                await self._refuse(request, responder, fault)
                return
            await self.jobs.submit(request, responder, route, body, caller.ok_value)
            return
        admitted = await self.quotas.admit(caller.ok_value.name or "")
        if isinstance(admitted, Err):
            await self._refuse(request, responder, admitted.err_value)
            return
        confirm = admitted.ok_value
        await self.online.handle(request, responder, route, body, caller.ok_value, confirm)

    def _caller_of(self, request: Request, *, public: bool) -> Result[Caller, Fault]:
        index = self.configuration.routes.customers
        caller = identify(index, calls.api_keys(request.header_fields), public=public)
        return caller.map_err(lambda why: Fault(ResultCode.UNAUTHORIZED, why.value))

    def _caller_of_job(self, request: Request) -> Result[Caller, Fault]:
        routes = self.configuration.routes.routes
        public = any(route.public for route in routes if route.kind is RouteKind.BATCH)
        return self._caller_of(request, public=public)

    def _route_of(self, request: Request) -> Route | None:
        path = request.target.partition("?")[0]
        return self.configuration.routes.find(request.headers.get("host", ""), path)

    async def _handle_job_call(
        self, request: Request, responder: Responder, call: job_calls.JobCall
    ) -> None:
        caller = self._caller_of_job(request)
        if isinstance(caller, Err):
            await self._refuse_unknown(request, responder, caller.err_value)
            return
        call = msgspec.structs.replace(call, job_id=scoped_job_id(caller.ok_value, call.job_id))
        match call.verb:
            case "read":
                await self.jobs.read(responder, call)
            case "body":
                await self.jobs.body(responder, call)
            case _:
                await self.jobs.end(responder, call)

    async def _refuse_unknown(self, request: Request, responder: Responder, fault: Fault) -> None:
        """Refuse a route or key that this node's version lacks.

        The refusal is final only while that version is certainly recent; otherwise clients retry.
        """
        age_ms = now_ms() - self.configuration.as_of_ms
        if age_ms > _MAX_VERSION_AGE_MS:
            text = f"{fault.message}, by a version that may be {age_ms:.0f} ms old"
            fault = Fault(ResultCode.CONFIG_UNCONFIRMED, text, _STARTING_RETRY_MS)
        await self._refuse(request, responder, fault)

    async def _refuse(self, request: Request, responder: Responder, fault: Fault) -> None:
        self._log_refusal(request, fault)
        headers = calls.refusal_headers(fault)
        await responder.send(fault.http_status, fault_body(fault), headers)

    def _log_refusal(self, request: Request, fault: Fault) -> None:
        log_event(
            "call_refused",
            request_id=calls.call_head(request.header_fields).request_id,
            code=fault.code.name,
            reason=fault.message,
            config_version=self.configuration.current_version,
            config_age_ms=round(min(self.configuration.confirmed_age_ms, _MAX_LOGGED_AGE_MS)),
        )

    # --- the platform ----------------------------------------------------------------------------

    async def handle_ready(self, request: Request, responder: Responder) -> None:
        """Answer whether this node accepts new work."""
        if not directory.is_ready_call(request.path):
            await responder.send(404)
            return
        await responder.send(200 if self.ready else 503, b"{}")

    async def handle_directory(self, request: Request, responder: Responder) -> None:
        """Answer with the fronts that a client may use."""
        if not directory.is_resolve_call(request.path):
            await responder.send(404)
            return
        fronts = self._fronts()
        if not fronts:
            fault = Fault(ResultCode.CONFIG_UNCONFIRMED, "no front is ready", _STARTING_RETRY_MS)
            headers = calls.refusal_headers(fault)
            await responder.send(503, fault_body(fault), headers)
            return
        body = directory.encode_fronts(fronts, self.settings.directory_ttl_s)
        await responder.send(200, body)

    def _fronts(self) -> list[Address]:
        """Return the fronts that accept work; this node is included by its own current state."""
        own_id = self.view.vm_id
        fronts = [
            Address(vm.host, vm.entry_port)
            for vm in recommended_vms(self.view.live_vms(Program.ENTRY))
            if vm.vm_id != own_id
        ]
        return [*fronts, self.own_address] if self.ready else fronts


def http_limits(limits: ClientLimits) -> HttpLimits:
    """Return the HTTP server's limits that follow from the configured client limits."""
    return HttpLimits(
        max_header_bytes=limits.max_header_bytes,
        header_timeout_ms=int(limits.header_timeout_ms),
        read_timeout_ms=int(limits.header_timeout_ms),
        idle_timeout_ms=int(limits.idle_timeout_ms) + _IDLE_SLACK_MS,
    )
