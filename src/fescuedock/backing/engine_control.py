"""Client of the model engines' control interface: load, cache events, orders, KV cache transfer."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.backing.engine_wire import CacheEvents, EngineLoad, EngineOrder, KvBlocks
from fescuedock.faults import Fault
from fescuedock.net.http_client import (
    ClientResponse,
    HttpClient,
    NotSentError,
    ResponseLostError,
    ResponseTooLargeError,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamRecord

__all__ = ["EngineControl"]

RUNNING_METRIC = "vllm:num_requests_running"
WAITING_METRIC = "vllm:num_requests_waiting"
KV_USE_METRIC = "vllm:kv_cache_usage_perc"
_MAX_ANSWER_BYTES = 256 * 1024 * 1024
_TIMEOUT_MS = 2000
_BAD_REQUEST = 400
_CONFLICT = 409
_SERVER_ERROR = 500


class _ListedModel(msgspec.Struct):
    id: str


class _ModelList(msgspec.Struct):
    data: list[_ListedModel]


class EngineControl:
    """Calls to upstreams over one HTTP client.

    Errors: ``PEER_UNREACHABLE`` when nothing was sent, ``PEER_UNKNOWN`` when the answer was lost,
    ``UPSTREAM_REJECTED`` for a status of 4xx (nothing was done), ``UPSTREAM_ERROR`` for any other
    unsuccessful status.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def load(self, upstream: UpstreamRecord) -> Result[EngineLoad, Fault]:
        """Return the engine's load report."""
        result = await self._call(upstream, "GET", "/metrics")
        return result.map(_parse_load)

    async def models(self, upstream: UpstreamRecord) -> Result[frozenset[str], Fault]:
        """Return the names of the models and adapters that the engine serves."""
        result = await self._call(upstream, "GET", "/v1/models")
        return result.and_then(lambda body: _decode(body, _ModelList)).map(
            lambda listed: frozenset(item.id for item in listed.data)
        )

    async def cache_events(
        self, upstream: UpstreamRecord, after_seq: int
    ) -> Result[CacheEvents, Fault]:
        """Return the prefix cache's events with numbers above ``after_seq``."""
        result = await self._call(upstream, "GET", f"/v1/cache/events?after={after_seq}")
        return result.and_then(lambda body: _decode(body, CacheEvents))

    async def order(
        self, upstream: UpstreamRecord, order: EngineOrder, timeout_ms: float
    ) -> Result[None, Fault]:
        """Send an order and wait until it is executed.

        Return ``SUPERSEDED_ORDER`` when the engine has seen a higher fencing number.  After
        ``PEER_UNKNOWN`` the order may still be executed.
        """
        body = msgspec.json.encode(order)
        result = await self._call(upstream, "POST", "/v1/orders", body, timeout_ms)
        return result.map(lambda _: None)

    async def export_kv(
        self, upstream: UpstreamRecord, hashes: tuple[str, ...]
    ) -> Result[KvBlocks, Fault]:
        """Return those of the blocks that the engine has cached."""
        body = msgspec.json.encode(KvBlocks(hashes))
        result = await self._call(upstream, "POST", "/v1/kv/export", body)
        return result.and_then(lambda answer: _decode(answer, KvBlocks))

    async def import_kv(self, upstream: UpstreamRecord, blocks: KvBlocks) -> Result[None, Fault]:
        """Add exported blocks to an engine's cache."""
        body = msgspec.json.encode(blocks)
        result = await self._call(upstream, "POST", "/v1/kv/import", body)
        return result.map(lambda _: None)

    async def _call(
        self,
        upstream: UpstreamRecord,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_ms: float = _TIMEOUT_MS,
    ) -> Result[bytes, Fault]:
        name = upstream.upstream_id
        try:
            async with self._open(upstream, method, path, body, timeout_ms) as response:
                answer = await response.read(_MAX_ANSWER_BYTES)
        except NotSentError as error:
            return Err(Fault(ResultCode.PEER_UNREACHABLE, f"{name}: {error}"))
        except (ResponseLostError, ResponseTooLargeError) as error:
            return Err(Fault(ResultCode.PEER_UNKNOWN, f"{name}: {error}"))
        if response.status == 200:
            return Ok(answer)
        text = answer[:200].decode("utf-8", "replace")
        return Err(Fault(_result_code(response.status), f"{name}: HTTP {response.status}: {text}"))

    @asynccontextmanager
    async def _open(
        self, upstream: UpstreamRecord, method: str, path: str, body: bytes, timeout_ms: float
    ) -> AsyncIterator[ClientResponse]:
        address = Address(upstream.host, upstream.port)
        headers = [("content-type", "application/json")]
        async with self._http.request(
            address, method, path, headers, body, answer_timeout_ms=timeout_ms
        ) as response:
            yield response


def _result_code(status: int) -> ResultCode:
    if status == _CONFLICT:
        return ResultCode.SUPERSEDED_ORDER
    if _BAD_REQUEST <= status < _SERVER_ERROR:
        return ResultCode.UPSTREAM_REJECTED
    return ResultCode.UPSTREAM_ERROR


def _parse_load(body: bytes) -> EngineLoad:
    # Imported on first use, since it would add 45 ms to the start of programs that read no load.
    from prometheus_client.parser import text_string_to_metric_families

    values = {
        sample.name: sample.value
        for family in text_string_to_metric_families(body.decode())
        for sample in family.samples
    }
    return EngineLoad(
        running=int(values.get(RUNNING_METRIC, 0)),
        waiting=int(values.get(WAITING_METRIC, 0)),
        kv_cache_use=values.get(KV_USE_METRIC, 0.0),
    )


def _decode(body: bytes, kind: type) -> Result:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except msgspec.MsgspecError as error:
        return Err(Fault(ResultCode.UPSTREAM_ERROR, f"invalid answer: {error}"))
