"""The check that a request to an upstream must pass immediately before it is written."""

from collections.abc import Callable

from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import Grant
from fescuedock.clock import now_ms
from fescuedock.core.send_gate import PermitStatus, SendRefusal, refusal_of
from fescuedock.net.http_client import SendCheck
from fescuedock.schema.view import UpstreamRecord

__all__ = ["send_check"]


def send_check(
    view: FleetView,
    upstream: UpstreamRecord,
    grant: Grant,
    *,
    deadline_ms: float = float("inf"),
    key_is_valid: Callable[[], bool] = lambda: True,
) -> SendCheck:
    """Return the check of a request to ``upstream`` under ``grant``, by the view at its call.

    ``key_is_valid`` returns whether the API key of the request's caller is still in force.
    """

    def check() -> SendRefusal | None:
        refusal = refusal_of(
            upstream,
            view.upstreams.get(upstream.upstream_id),
            PermitStatus(grant.revoked.is_set(), grant.sendable_until_ms, grant.isolated),
            deadline_ms=deadline_ms,
            now_ms=now_ms(),
            verdict=view.verdict_on(grant.work_id, grant.parts, owed=grant.is_owed),
            key_is_valid=key_is_valid(),
        )
        if refusal is None:
            # The request is written next, without any other step in between.
            grant.record_sent()
        return refusal

    return check
