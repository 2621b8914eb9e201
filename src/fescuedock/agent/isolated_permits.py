"""Requests permits for isolated runs of batch items, at the upstream that all nodes choose."""

from collections.abc import Collection
from secrets import token_hex

import msgspec
from result import Err, Ok, Result

from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import Grant, PermitClient
from fescuedock.clock import now_ms
from fescuedock.core.route_learning import SilentOwners
from fescuedock.core.routing import Choice, RoutingPolicy, plan_isolated_requests
from fescuedock.faults import Fault
from fescuedock.schema.permits import PermitAsk
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamRecord

__all__ = ["IsolatedPermits"]

_NO_REPLY_CODES = (ResultCode.PEER_UNREACHABLE, ResultCode.PEER_UNKNOWN)


class IsolatedPermits:
    """Requests isolated runs as online calls do: passes over upstreams that take no work.

    A request may be answered ``reply_margin_ms`` later than the time it may stay queued.
    """

    __slots__ = ("_permits", "_policy", "_reply_margin_ms", "_silent_owners", "_view")

    def __init__(self, view: FleetView, permits: PermitClient, reply_margin_ms: float) -> None:
        self._view = view
        self._permits = permits
        self._reply_margin_ms = reply_margin_ms
        self._policy = RoutingPolicy()
        self._silent_owners = SilentOwners(self._policy)

    async def request(
        self, template: PermitAsk, parts: tuple[str, ...] = (), avoid: Collection[str] = ()
    ) -> Result[tuple[UpstreamRecord, Grant], Fault]:
        """Request a run of ``template.service``; queue for ``template.wait_ms`` at most.

        The upstream and the identity of the attempt are set here.  Upstreams in ``avoid`` are used
        only if there is no other.
        """
        choices = self._choices(template.service)
        requests = plan_isolated_requests(
            choices, template.service, avoid, template.wait_ms, self._policy
        )
        result: Result[Grant, Fault] = Err(
            Fault(ResultCode.NO_CAPACITY, f"no upstream of {template.service!r} takes work")
        )
        for request in requests:
            ask = msgspec.structs.replace(
                template,
                upstream_id=request.upstream_id,
                attempt_id=token_hex(16),
                wait_ms=int(request.wait_ms),
            )
            result = await self._permits.request(
                ask, request.wait_ms + self._reply_margin_ms, parts
            )
            if self._record_reply(request.upstream_id, result):
                break
        return result.and_then(self._with_upstream)

    def _choices(self, service: str) -> list[Choice]:
        """Return the upstreams of a service that do not leave, in any order."""
        policies = self._view.configuration.upstreams
        names = [item.upstream_id for item in self._view.upstreams_of(service) if not item.leaving]
        return [
            Choice(
                name,
                0.0,
                accepting=self._is_accepting(name),
                owner_silent=self._is_owner_silent(name),
            )
            for name in names
            if not (name in policies and policies[name].drain)
        ]

    def _is_accepting(self, upstream_id: str) -> bool:
        timed = self._permits.loads.get(upstream_id)
        is_fresh = timed is not None and now_ms() - timed.at_ms <= self._policy.stale_ms
        return timed.load.accepting if is_fresh else True

    def _is_owner_silent(self, upstream_id: str) -> bool:
        owner = self._view.owner_of(upstream_id)
        return owner is None or self._silent_owners.is_silent(owner.vm_id, now_ms())

    def _record_reply(self, upstream_id: str, result: Result[Grant, Fault]) -> bool:
        """Record whether the owner answered a request, and return it."""
        answered = isinstance(result, Ok) or result.err_value.code not in _NO_REPLY_CODES
        owner = self._view.owner_of(upstream_id)
        if owner is not None and answered:
            self._silent_owners.record_answer(owner.vm_id)
        elif owner is not None:
            self._silent_owners.record_silence(owner.vm_id, now_ms())
        return answered

    def _with_upstream(self, grant: Grant) -> Result[tuple[UpstreamRecord, Grant], Fault]:
        """Return the upstream of a grant with it, or return the permit if the upstream has gone."""
        upstream = self._view.upstreams.get(grant.upstream_id)
        if upstream is not None:
            return Ok((upstream, grant))
        self._permits.return_unused(grant)
        return Err(Fault(ResultCode.NOT_OWNER, f"{grant.upstream_id!r} has gone"))
