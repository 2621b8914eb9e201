"""Probes an upstream that was taken out of service by requesting its health page."""

from collections.abc import Awaitable, Callable

import trio

from fescuedock.address import Address
from fescuedock.net.http_client import (
    HttpClient,
    NotSentError,
    ResponseLostError,
    ResponseTooLargeError,
)
from fescuedock.node.configuration import NodeConfiguration
from fescuedock.platform.calls import HEALTH_ID_HEADER
from fescuedock.platform.records import registered_id
from fescuedock.schema.config import Configuration
from fescuedock.schema.permits import AttemptOutcome
from fescuedock.schema.view import UpstreamRecord

__all__ = ["health_probe"]

# The health page waits for a slot like any request.
_TIMEOUT_S = 1.0
_MAX_ANSWER_BYTES = 65536

Probe = Callable[[UpstreamRecord, Configuration], Awaitable[AttemptOutcome]]


def health_probe(http: HttpClient, configuration: NodeConfiguration) -> Probe:
    """Return a probe that requests the health page named in the service's configuration."""

    async def probe(upstream: UpstreamRecord, _configuration: Configuration) -> AttemptOutcome:
        terms = configuration.routes.services.get(upstream.service)
        path = terms.health_path if terms is not None else "/health"
        with trio.move_on_after(_TIMEOUT_S):
            return await _request_health(http, upstream, path)
        return AttemptOutcome.RESPONSE_TIMEOUT

    return probe


async def _request_health(http: HttpClient, upstream: UpstreamRecord, path: str) -> AttemptOutcome:
    address = Address(upstream.host, upstream.port)
    try:
        async with http.request(address, "GET", path) as answer:
            await answer.read(_MAX_ANSWER_BYTES)
            named = answer.headers.get(HEALTH_ID_HEADER, "")
            is_same = named in ("", registered_id(upstream.upstream_id))
            healthy = answer.status == 200 and is_same
            return AttemptOutcome.COMPLETED if healthy else AttemptOutcome.SERVER_ERROR
    except NotSentError:
        return AttemptOutcome.CONNECT_REFUSED
    except (ResponseLostError, ResponseTooLargeError):
        return AttemptOutcome.TRUNCATED
