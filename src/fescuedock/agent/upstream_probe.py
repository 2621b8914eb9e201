"""Probes an upstream that was taken out of use; only its owner does so."""

import random

import trio

from fescuedock.backing.engine import EngineClient, EngineError
from fescuedock.net.http_client import HttpClient, NotSentError, ResponseLostError
from fescuedock.schema.config import Configuration
from fescuedock.schema.permits import AttemptOutcome
from fescuedock.schema.view import UpstreamKind, UpstreamRecord

__all__ = ["UpstreamProbe"]

_TIMEOUT_S = 5
_PATH = "/v1/completions"
_SERVER_ERROR_STATUS = 500


class UpstreamProbe:
    """Probes with a real completion of one token, which proves more than an open port."""

    def __init__(self, http: HttpClient, rng: random.Random) -> None:
        self._engines = EngineClient(http)
        self._rng = rng

    async def run(self, upstream: UpstreamRecord, configuration: Configuration) -> AttemptOutcome:
        """Return the outcome of a probe; a plain service is only probed by connecting to it."""
        with trio.move_on_after(_TIMEOUT_S):
            if upstream.kind is UpstreamKind.PLAIN:
                return await _connect(upstream)
            return await self._complete(upstream, _model_of(upstream, configuration))
        return AttemptOutcome.RESPONSE_TIMEOUT

    async def _complete(self, upstream: UpstreamRecord, model: str) -> AttemptOutcome:
        body = {"model": model, "prompt": "probe", "max_tokens": 1}
        attempt_id = f"probe-{self._rng.getrandbits(64):016x}"
        try:
            await self._engines.call(upstream, _PATH, body, attempt_id)
        except NotSentError:
            return AttemptOutcome.CONNECT_REFUSED
        except ResponseLostError:
            return AttemptOutcome.TRUNCATED
        except EngineError as error:
            return _outcome_of_status(error.status)
        return AttemptOutcome.COMPLETED


def _outcome_of_status(status: int) -> AttemptOutcome:
    # An engine that rejects the probe, for instance for an unknown model, is running.
    failed = status >= _SERVER_ERROR_STATUS
    return AttemptOutcome.SERVER_ERROR if failed else AttemptOutcome.COMPLETED


def _model_of(upstream: UpstreamRecord, configuration: Configuration) -> str:
    service = configuration.services.get(upstream.service)
    return next(iter(service.models), "") if service else ""


async def _connect(upstream: UpstreamRecord) -> AttemptOutcome:
    try:
        stream = await trio.open_tcp_stream(upstream.host, upstream.port)
    except OSError:
        return AttemptOutcome.CONNECT_REFUSED
    await stream.aclose()
    return AttemptOutcome.COMPLETED
