"""Asks for the process of an upstream after an answer that ended with its connection.

Imported with the first answer that has neither a length nor chunks, to keep the start-up short.
"""

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.clock import now_ms
from fescuedock.core.forwarding.answer_ends import (
    AnswerEnd,
    EndVerdict,
    InterruptedAnswers,
    verdict_on,
)
from fescuedock.log import log_event
from fescuedock.net.http_client import ConnectResult, HttpClient
from fescuedock.node.attempt import AttemptRecord
from fescuedock.platform import calls
from fescuedock.schema.permits import WorkClass
from fescuedock.schema.view import UpstreamRecord

__all__ = ["AnswerEnds"]

_RUNNING = (ConnectResult.ACCEPTED, ConnectResult.EXPECTED_PEER)
# Less than a process takes to restart.
_IDENTIFY_TIMEOUT_S = 0.02


class AnswerEnds:
    """Judges the ends of answers at one node."""

    __slots__ = ("_http", "_interrupted", "_view")

    def __init__(self, http: HttpClient, view: FleetView) -> None:
        self._http = http
        self._view = view
        self._interrupted = InterruptedAnswers()

    async def identify(self, upstream: UpstreamRecord, record: AttemptRecord) -> None:
        """Record which process sends an unframed answer, to recognise it after the end.

        The entry of an upstream that has just restarted names its former process.
        """
        query = calls.process_query(upstream.upstream_id)
        if query is None or record.process is not None:
            return

        def read_peer(status: int, body: bytes) -> str | None:
            record.record_process(query.read_peer(status, body))
            return record.process

        asked = msgspec.structs.replace(query, read_peer=read_peer)
        with trio.move_on_after(_IDENTIFY_TIMEOUT_S):
            await self._http.find_peer(Address(upstream.host, upstream.port), asked)

    async def judge(
        self, upstream: UpstreamRecord, record: AttemptRecord, request_id: str
    ) -> EndVerdict:
        """Return whether an unframed answer, whose body has just ended, is complete."""
        end = AnswerEnd(record.end_idle_ms, record.mean_pause_ms())
        # Items are read at intervals, so the time of their end is not known.
        if record.work_class is WorkClass.ONLINE and not end.is_prompt:
            self._interrupted.record(upstream.upstream_id, now_ms())
        query = calls.presence_query(upstream.upstream_id, record.process)
        found = await self._http.find_peer(Address(upstream.host, upstream.port), query)
        leaving = found is not ConnectResult.OTHER_PEER and self._is_leaving(upstream)
        others_interrupted = self._interrupted.has_recent(upstream.upstream_id, now_ms())
        verdict = verdict_on(
            end,
            is_running=found in _RUNNING,
            leaving=leaving,
            others_interrupted=others_interrupted,
        )
        if verdict is not EndVerdict.COMPLETE:
            log_event(
                "answer_end_doubtful",
                request_id=request_id,
                upstream_id=upstream.upstream_id,
                found=found.name,
                leaving=leaving,
                others_interrupted=others_interrupted,
                idle_ms=round(end.idle_ms, 1),
                pause_ms=round(end.pause_ms, 1),
                verdict=verdict.value,
            )
        return verdict

    def _is_leaving(self, upstream: UpstreamRecord) -> bool:
        """Whether an upstream is being shut down, not listed anew after a restart."""
        address = (upstream.host, upstream.port)
        return all(
            item.leaving
            for item in self._view.upstreams.values()
            if (item.host, item.port) == address
        )
