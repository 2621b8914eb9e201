"""The state that a node's online calls share: the search for permits, and learned latencies."""

import random
from collections.abc import Callable
from secrets import token_hex
from typing import TYPE_CHECKING

import trio
from result import Err, Result

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import PermitClient
from fescuedock.core.admission import Admission
from fescuedock.core.customers import Caller, CustomerIndex
from fescuedock.core.forwarding.route_table import Route, RouteTable
from fescuedock.core.forwarding.stalls import StallLimits
from fescuedock.core.placement import choose_by_prediction
from fescuedock.core.route_learning import DomainLatency, PrefillModel, RequestTimeout, SilentOwners
from fescuedock.core.routing import RoutingPolicy
from fescuedock.core.stream_origins import FoundOrigin
from fescuedock.faults import Fault
from fescuedock.net.http_client import HttpClient
from fescuedock.net.http_server import (
    Request,
    Responder,
)
from fescuedock.node.online_call import Call
from fescuedock.node.quotas import Confirm
from fescuedock.node.stream_origins import StreamOrigins
from fescuedock.platform import calls
from fescuedock.report.metrics import Metrics
from fescuedock.schema.origins import StreamOrigin
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamRecord

if TYPE_CHECKING:
    from fescuedock.node.answer_ends import AnswerEnds

__all__ = ["ONLINE_ROUTING", "PREDICTED_ROUTING", "OnlineCalls"]

_IDENTITY_BYTES = 16
# Assumed time of an upstream to a first event until calls have measured it.
_FIRST_EVENT_MS = 80.0
# Weight of the latest time to a first event in the moving mean, which covers about the last ten.
_FIRST_EVENT_GAIN = 0.1
# How calls search for a permit.  They choose again every 150 ms, as a slot may become free at
# another upstream.
ONLINE_ROUTING = RoutingPolicy(max_unqueued_requests=2, queue_ms=150.0)
# The same with placement by the learned speeds of upstreams, if the settings select it.
PREDICTED_ROUTING = RoutingPolicy(
    max_unqueued_requests=2, queue_ms=150.0, rank=choose_by_prediction
)


class OnlineCalls:
    """Answers online calls and holds their shared state; ``PermitSearch`` describes most of it."""

    __slots__ = (
        "_ends",
        "_prefill",
        "_routes",
        "admission",
        "first_event_ms",
        "http",
        "latency",
        "metrics",
        "origins",
        "permits",
        "reply_timeout",
        "retry_after_ms",
        "rng",
        "routing",
        "silent_owners",
        "stalls",
        "view",
    )

    def __init__(
        self,
        view: FleetView,
        permits: PermitClient,
        http: HttpClient,
        rng: random.Random,
        retry_after_ms: int,
        metrics: Metrics,
        routes: Callable[[], RouteTable] = RouteTable,
        routing: RoutingPolicy = ONLINE_ROUTING,
        origins: StreamOrigins | None = None,
    ) -> None:
        """``routes`` returns the routes of the current configuration.

        Without ``origins`` clients cannot resume streams at this node.
        """
        self.origins = origins
        self.view = view
        self._routes = routes
        self.permits = permits
        self.http = http
        self._ends: AnswerEnds | None = None
        self.rng = rng
        self.retry_after_ms = retry_after_ms
        self.metrics = metrics
        self.routing = routing
        self.admission = Admission()
        self.latency = DomainLatency()
        self.reply_timeout = RequestTimeout()
        self.stalls = StallLimits()
        # Mean time of an upstream to a first event: an engine step, the prompt and the round trip.
        self.first_event_ms = _FIRST_EVENT_MS
        self.silent_owners = SilentOwners(self.routing)
        self._prefill: dict[str, PrefillModel] = {}

    @property
    def ends(self) -> "AnswerEnds":
        """The judge of answers without framing."""
        if self._ends is None:
            from fescuedock.node.answer_ends import AnswerEnds

            self._ends = AnswerEnds(self.http, self.view)
        return self._ends

    def customers(self) -> CustomerIndex:
        """Return the customers of the current configuration."""
        return self._routes().customers

    def priority_of(self, route: Route, customer: str) -> int:
        """Return the priority of a customer's calls on ``route`` by the current configuration."""
        return self._routes().priority_of(route, customer)

    def startable_versions(self, service: str, route: Route, path: str) -> frozenset[str] | None:
        """Return the software versions on which streams may start; None if any may be used."""
        if self.origins is None:
            return None
        return self.origins.startable_versions(service, route, path)

    async def wait_startable(self, service: str, route: Route, path: str) -> None:
        """See ``StreamOrigins.wait_startable``."""
        if self.origins is not None:
            await self.origins.wait_startable(service, route, path)

    async def record_origin(self, key: str, origin: StreamOrigin, route: Route, path: str) -> bool:
        """Record the origin of a stream that starts; see ``StreamOrigins.record_start``."""
        if self.origins is None:
            return True
        return await self.origins.record_start(key, origin, route, path)

    async def origin_of(
        self, key: str | None, route: Route, path: str
    ) -> Result[FoundOrigin, Fault]:
        """Return the origin of a stream that a client resumes."""
        if self.origins is None:
            return Err(Fault(ResultCode.ORIGIN_UNKNOWN, "this node stores no origins of streams"))
        return await self.origins.origin_of(key, route, path)

    def prefill(self, service: str) -> PrefillModel:
        return self._prefill.setdefault(service, PrefillModel())

    def record_first_event(self, took_ms: float) -> None:
        """Update the mean with the time that an attempt took to its first event."""
        self.first_event_ms += _FIRST_EVENT_GAIN * (took_ms - self.first_event_ms)

    def new_identity(self) -> str:
        """Return a random identity that cannot be guessed."""
        return token_hex(_IDENTITY_BYTES)

    def is_connected(self, upstream: UpstreamRecord) -> bool:
        """Whether an idle connection to ``upstream`` is open."""
        return self.http.has_idle(Address(upstream.host, upstream.port))

    async def handle(
        self,
        request: Request,
        responder: Responder,
        route: Route,
        body: bytes,
        caller: Caller,
        confirm: Confirm | None = None,
    ) -> None:
        """Answer one call; raise only if the client has disconnected.

        ``confirm`` is called before the call is sent, to check that its customer's limit still
        admits it.
        """
        head = calls.call_head(request.header_fields)
        call = Call(self, request, responder, route, body, head, caller, confirm)
        with trio.CancelScope(deadline=call.deadline_ms / 1000) as scope:
            await call.run()
        if scope.cancelled_caught:
            await call.give_up(call.late_fault())
