"""Reads answers of servers that cannot be asked which process they are."""

from collections.abc import Callable

import trio

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.forwarding.answer_ends import AnswerEnd, EndVerdict, verdict_on
from fescuedock.net.http_client import (
    ClientResponse,
    ConnectResult,
    HttpClient,
    ResponseLostError,
    ResponseTooLargeError,
)

__all__ = ["ConfirmedBody"]

# A process that is killed may still accept connections after its open ones were closed.
_SECOND_CONNECT_DELAY_S = 0.02


class ConfirmedBody:
    """Iterates over an answer's body; raises ``ResponseLostError`` if it may be truncated.

    A body with neither a length nor chunks is complete if its server accepts connections after the
    end.  One that ``is_leaving`` may exit with its last answer.
    """

    __slots__ = ("_address", "_http", "_is_leaving", "_received_ms", "_response")

    def __init__(
        self,
        http: HttpClient,
        address: Address,
        response: ClientResponse,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._http = http
        self._address = address
        self._response = response
        self._is_leaving = is_leaving
        self._received_ms = now_ms()

    def __aiter__(self) -> "ConfirmedBody":
        return self

    async def __anext__(self) -> bytes:
        data = await self._response.read_some()
        if data:
            self._received_ms = now_ms()
            return data
        if self._response.unframed:
            await self._confirm()
        raise StopAsyncIteration

    async def read(self, limit_bytes: int) -> bytes:
        """Return the complete body; raise ``ResponseTooLargeError`` over ``limit_bytes``."""
        parts: list[bytes] = []
        size_bytes = 0
        async for part in self:
            size_bytes += len(part)
            if size_bytes > limit_bytes:
                raise ResponseTooLargeError(f"answer over {limit_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    async def _confirm(self) -> None:
        end = AnswerEnd(now_ms() - self._received_ms, -1.0)
        verdict = verdict_on(
            end,
            is_running=await self._is_running(),
            leaving=self._is_leaving(),
            others_interrupted=False,
        )
        if verdict is EndVerdict.BROKEN_OFF:
            message = f"the server at {self._address} ended with its answer"
            raise ResponseLostError(message, head_received=True)

    async def _is_running(self) -> bool:
        for delay_s in (0.0, _SECOND_CONNECT_DELAY_S):
            await trio.sleep(delay_s)
            if await self._http.try_connect(self._address) is not ConnectResult.ACCEPTED:
                return False
        return True
