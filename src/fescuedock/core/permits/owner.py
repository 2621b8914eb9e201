"""All upstreams that one agent owns: their queues and their health."""

from collections.abc import Iterator, Mapping

import msgspec

from fescuedock.core.health import HealthTracker
from fescuedock.core.permits.actions import Action, Refused
from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.schema.permits import (
    AttemptOutcome,
    LoadSnapshot,
    PermitAsk,
    PermitRenew,
    PermitRenewReply,
    PermitsEnded,
    WorkClass,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import PermitSettings

__all__ = ["OwnedUpstream", "PermitOwner", "Renewal"]


class OwnedUpstream(msgspec.Struct, frozen=True):
    """One owned upstream according to the fleet view and the configuration."""

    service: str
    terms: UpstreamTerms


class Renewal(msgspec.Struct, frozen=True):
    """The reply to a renewal and the actions that it causes."""

    reply: PermitRenewReply
    actions: list[Action]


class PermitOwner:
    """Queues of all owned upstreams.

    All state is soft: a new owner starts without any and rebuilds it from the holders' renewals.
    """

    def __init__(self, settings: PermitSettings, valid_ms: int) -> None:
        self._settings = settings
        self._valid_ms = valid_ms
        self._queues: dict[str, UpstreamQueue] = {}
        self._services: dict[str, str] = {}
        self._health: dict[str, HealthTracker] = {}

    @property
    def owns_any(self) -> bool:
        """Whether this agent owns any upstream, so that ``tick`` must run."""
        return bool(self._queues)

    def owned(self) -> Iterator[str]:
        return iter(tuple(self._queues))

    def set_validity(self, valid_ms: int) -> None:
        """Grant and renew permits for ``valid_ms`` from now on."""
        self._valid_ms = valid_ms
        for queue in self._queues.values():
            queue.valid_ms = valid_ms

    def set_upstreams(
        self,
        owned: Mapping[str, OwnedUpstream],
        fleet_counts: Mapping[str, int],
        now_ms: float,
    ) -> list[Action]:
        """Set the owned upstreams; ``fleet_counts`` is the number per service over all owners."""
        actions: list[Action] = []
        for upstream_id in set(self._queues) - set(owned):
            actions += self._queues.pop(upstream_id).refuse_all(ResultCode.NOT_OWNER)
        for upstream_id, upstream in owned.items():
            queue = self._queues.get(upstream_id)
            if queue is None:
                self._queues[upstream_id] = self._new_queue(upstream_id, upstream.terms, now_ms)
            else:
                actions += queue.set_terms(upstream.terms, now_ms)
        self._services = {upstream_id: item.service for upstream_id, item in owned.items()}
        for service, count in fleet_counts.items():
            own_ids = [
                name for name, its_service in self._services.items() if its_service == service
            ]
            self._tracker(service).set_upstreams(own_ids, count)
        return actions

    def submit(self, request: PermitAsk, now_ms: float) -> list[Action]:
        """Handle a permit request; ``NOT_OWNER`` refuses one for an upstream not owned here."""
        queue = self._queues.get(request.upstream_id)
        if queue is None:
            return [Refused(request, ResultCode.NOT_OWNER, 0)]
        return queue.submit(request, now_ms)

    def start_trial(self, upstream_id: str, now_ms: float) -> bool:
        """Whether an upstream that is out may be probed now, within its health policy."""
        if upstream_id not in self._queues:
            return False
        return self._health_of(upstream_id).start_trial(upstream_id, now_ms)

    def renew(self, message: PermitRenew, now_ms: float) -> Renewal:
        """Extend the holder's permits; those of upstreams not owned here are left unchanged."""
        revoked: list[str] = []
        touched: dict[str, UpstreamQueue] = {}
        for permit in message.permits:
            queue = self._queues.get(permit.upstream_id)
            if queue is None:
                continue
            touched[permit.upstream_id] = queue
            if not queue.renew(message.holder_id, permit, now_ms):
                revoked.append(permit.permit_id)
        actions: list[Action] = []
        for queue in touched.values():
            actions += queue.trim(now_ms)
        loads = [queue.load(now_ms) for queue in touched.values()]
        return Renewal(PermitRenewReply(self._valid_ms, revoked, loads), actions)

    def end(self, message: PermitsEnded, now_ms: float) -> list[Action]:
        """Record ended attempts and their outcomes as evidence on upstream health."""
        actions: list[Action] = []
        for ended in message.ended:
            queue = self._queues.get(ended.upstream_id)
            if queue is None:
                continue
            actions += self.observe(ended.upstream_id, ended.outcome, now_ms)
            actions += queue.end(ended, now_ms)
        return actions

    def observe(self, upstream_id: str, outcome: AttemptOutcome, now_ms: float) -> list[Action]:
        """Record an attempt's outcome as evidence on an upstream's health."""
        queue = self._queues.get(upstream_id)
        if queue is None:
            return []
        tracker = self._health_of(upstream_id)
        tracker.observe(upstream_id, outcome, now_ms)
        healthy = tracker.accepting(upstream_id)
        return [] if healthy == queue.healthy else queue.set_healthy(healthy, now_ms)

    def observe_load(self, upstream_id: str, running: int, waiting: int, now_ms: float) -> None:
        """Record an engine's own load report."""
        queue = self._queues.get(upstream_id)
        if queue is not None:
            queue.observe_load(running, waiting, now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Run the periodic work of all queues."""
        actions: list[Action] = []
        for queue in self._queues.values():
            actions += queue.tick(now_ms)
        return actions

    def has_waiting(self, work_class: WorkClass) -> bool:
        """Whether any request of ``work_class`` is queued, so that ``tick`` must run soon."""
        return any(queue.has_waiting(work_class) for queue in self._queues.values())

    def load(self, upstream_id: str, now_ms: float) -> LoadSnapshot:
        """Return the current load; for an upstream not owned here, one that accepts no work."""
        queue = self._queues.get(upstream_id)
        if queue is None:
            return LoadSnapshot(upstream_id, 0, 0, 0, 0, 0.0, False)
        return queue.load(now_ms)

    def _new_queue(self, upstream_id: str, terms: UpstreamTerms, now_ms: float) -> UpstreamQueue:
        return UpstreamQueue(
            upstream_id, self._settings, terms, self._valid_ms, self._valid_ms, now_ms
        )

    def _health_of(self, upstream_id: str) -> HealthTracker:
        return self._tracker(self._services[upstream_id])

    def _tracker(self, service: str) -> HealthTracker:
        return self._health.setdefault(service, HealthTracker())
