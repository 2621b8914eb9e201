"""Runs a batch item at an upstream, resuming after the last event of its earlier runs."""

from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

import msgspec
import trio

from fescuedock.agent.permit_client import Grant
from fescuedock.clock import now_ms
from fescuedock.core.forwarding.event_stream import EventSplitter, SplitEvent
from fescuedock.core.forwarding.progress import AttemptEnd
from fescuedock.core.stored_jobs.job import ItemEnd, ItemRun, RunOutput
from fescuedock.log import log_event
from fescuedock.net.http_client import (
    HttpClient,
    NotSentError,
    ResponseLostError,
    SendCheck,
    UnsendableRequestError,
    WithdrawnError,
)
from fescuedock.node.attempt import AttemptRecord, UpstreamAnswer, drain, send_attempt
from fescuedock.platform import calls
from fescuedock.schema.permits import WorkClass
from fescuedock.schema.stored_jobs import StoredJobRecord
from fescuedock.schema.view import UpstreamRecord

if TYPE_CHECKING:
    from fescuedock.node.answer_ends import AnswerEnds

__all__ = ["StartState", "run_item"]

_IMPOSSIBLE_STATUS = 422
_FAILED_STATUS = 500
_ENDS_WITH_EVENTS = (ItemEnd.COMPLETED, ItemEnd.INTERRUPTED)
# Time without an event after which a run is interrupted and continued at another upstream: several
# times the longest step of an engine.
_STALL_TIMEOUT_MS = 1500.0
# Pause between two reads of an item's events.  The client of a job sees only complete results, and
# an engine writes an event about every 30 ms, each of which would wake the process if read at once.
_READ_INTERVAL_MS = 100.0


class StartState(msgspec.Struct, frozen=True):
    """What the node knew when it started a run; logged with the run.

    ``revision`` is that of the job's record, ``age_ms`` the age of the replica that holds it, and
    ``waited_ms`` the time since the item last ran, or since its job was accepted.
    """

    revision: int
    age_ms: float
    waited_ms: float = 0.0


async def run_item(
    http: HttpClient,
    ends: "Callable[[], AnswerEnds]",
    job: StoredJobRecord,
    item: ItemRun,
    upstream: UpstreamRecord,
    grant: Grant,
    stopped: trio.Event,
    start: StartState,
    check: SendCheck,
    is_replaced: Callable[[], bool],
) -> ItemEnd:
    """Run an item until it is complete, the run fails, ``grant`` is revoked or ``stopped`` is set.

    ``item`` retains the events received before an interruption.  ``check`` says whether the run
    may still start at the moment its request is written.  If the process at the upstream did not
    identify itself and ``is_replaced`` says that it is now listed as another one, the events of the
    run are discarded, as their software version is not known.
    """
    record = AttemptRecord(grant, WorkClass.BATCH, now_ms())
    output = item.begin_output(upstream.software_version)
    end = ItemEnd.INTERRUPTED
    attempt_end: AttemptEnd | None = AttemptEnd.REVOKED
    reason = ""
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when, grant.revoked, nursery.cancel_scope)
            nursery.start_soon(_cancel_when, stopped, nursery.cancel_scope)
            if grant.revoked.is_set() or stopped.is_set():
                # The watching tasks would run only after the request has been written.
                nursery.cancel_scope.cancel()
            end, attempt_end, reason = await _send(http, ends, job, output, upstream, record, check)
            nursery.cancel_scope.cancel()
    finally:
        record.finish(attempt_end)
    item.was_refused = end is ItemEnd.INTERRUPTED and attempt_end is AttemptEnd.REJECTED
    if end in _ENDS_WITH_EVENTS and record.answered and record.process is None and is_replaced():
        output.discard()
        end, reason = ItemEnd.INTERRUPTED, "the upstream was listed anew"
    log_event(
        "item_run",
        routine=end is ItemEnd.COMPLETED,
        job_id=job.job_id,
        item_id=item.item.item_id,
        work_id=item.work_id,
        parts=item.parts,
        upstream_id=upstream.upstream_id,
        process=record.process,
        software_version=upstream.software_version,
        end=end.value,
        attempt_end="whole" if attempt_end is None else attempt_end.value,
        reason=reason,
        answered=record.answered,
        unframed=record.unframed,
        end_idle_ms=round(record.end_idle_ms, 1),
        from_event=output.resume_after,
        last_event=item.last_event,
        interruptions=item.interruptions,
        barren_runs=item.runs_without_output,
        waited_ms=round(start.waited_ms),
        revision=start.revision,
        records_age_ms=start.age_ms,
        took_ms=round(now_ms() - record.started_ms, 1),
    )
    return end


async def _cancel_when(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


async def _send(
    http: HttpClient,
    ends: "Callable[[], AnswerEnds]",
    job: StoredJobRecord,
    output: RunOutput,
    upstream: UpstreamRecord,
    record: AttemptRecord,
    check: SendCheck,
) -> tuple[ItemEnd, AttemptEnd | None, str]:
    item = output.item.item
    headers = calls.item_headers(
        item.headers,
        item_id=item.item_id,
        upstream_id=upstream.upstream_id,
        last_event=output.resume_after,
        customer=job.customer,
    )
    headers.insert(0, ("host", job.host))
    try:
        with trio.CancelScope() as stall:
            stall.deadline = trio.current_time() + _STALL_TIMEOUT_MS / 1000
            async with send_attempt(
                http,
                upstream,
                item.item_id,
                "POST",
                item.path,
                headers,
                item.body,
                check,
                identifies=True,
            ) as answer:
                return await _read_answer(ends, upstream, answer, output, record, stall)
        return ItemEnd.INTERRUPTED, AttemptEnd.STALLED, f"no event for {_STALL_TIMEOUT_MS:g} ms"
    except (UnsendableRequestError, WithdrawnError) as error:
        return ItemEnd.INTERRUPTED, AttemptEnd.WITHDRAWN, str(error)
    except NotSentError as error:
        return ItemEnd.INTERRUPTED, AttemptEnd.NOT_SENT, str(error)
    except ResponseLostError as error:
        return ItemEnd.INTERRUPTED, AttemptEnd.LOST, str(error)


async def _read_answer(
    ends: "Callable[[], AnswerEnds]",
    upstream: UpstreamRecord,
    answer: UpstreamAnswer,
    output: RunOutput,
    record: AttemptRecord,
    stall: trio.CancelScope,
) -> tuple[ItemEnd, AttemptEnd | None, str]:
    head = answer.head
    record.record_answer(answer)
    if not head.is_success:
        await drain(answer)
        return _failure(head.status, not_run=head.not_run)
    if head.is_forged:
        return ItemEnd.INTERRUPTED, AttemptEnd.LOST, "the answer lacks the upstream's seal"
    splitter = EventSplitter()
    response = answer.response
    progress_count = 0
    try:
        while data := await response.read_some():
            record.record_data()
            if not _apply_events(splitter.feed(data), output, record):
                return ItemEnd.INTERRUPTED, AttemptEnd.LOST, "an event cannot follow"
            if splitter.is_overlong:
                return ItemEnd.INTERRUPTED, AttemptEnd.LOST, "too many bytes without an event"
            if output.item.is_overlong:
                output.item.restart()
                return ItemEnd.INTERRUPTED, AttemptEnd.LOST, "the output is too long"
            if splitter.progress_count > progress_count:
                progress_count = splitter.progress_count
                stall.deadline = trio.current_time() + _STALL_TIMEOUT_MS / 1000
            if not response.ended:
                await trio.sleep(_READ_INTERVAL_MS / 1000)
    except trio.Cancelled:
        # Events received since the last read need not be run again.
        with suppress(ResponseLostError):
            _apply_events(splitter.feed(response.read_ready()), output, record)
        raise
    record.record_answer_end()
    if splitter.has_partial_event:
        return ItemEnd.INTERRUPTED, AttemptEnd.LOST, "the last event is incomplete"
    if response.unframed and output.item.last_event < 0:
        # Without framing an answer without events looks like one that was cut off.
        return ItemEnd.INTERRUPTED, AttemptEnd.LOST, "no event before the end of the connection"
    if not output.is_complete:
        return ItemEnd.INTERRUPTED, AttemptEnd.LOST, "no event was received"
    if not record.unframed:
        return ItemEnd.COMPLETED, None, ""
    stall.deadline = float("inf")
    verdict = await ends().judge(upstream, record, output.item.item.item_id)
    if not verdict.is_complete:
        # Another run shows whether anything was missing, and an item may run several times.
        return ItemEnd.INTERRUPTED, AttemptEnd.LOST, "the upstream ended with the answer"
    return ItemEnd.COMPLETED, None, ""


def _apply_events(events: list[SplitEvent], output: RunOutput, record: AttemptRecord) -> bool:
    """Append received events to an item; False when one cannot follow."""
    if events:
        record.record_events(len(events))
    return output.add_events(events)


def _failure(status: int, *, not_run: bool) -> tuple[ItemEnd, AttemptEnd, str]:
    reason = f"status {status}"
    if not_run:
        return ItemEnd.INTERRUPTED, AttemptEnd.REJECTED, reason
    if status == _IMPOSSIBLE_STATUS:
        return ItemEnd.IMPOSSIBLE, AttemptEnd.REJECTED, reason
    if status == _FAILED_STATUS:
        return ItemEnd.FAILED, AttemptEnd.FAILED, reason
    return ItemEnd.INTERRUPTED, AttemptEnd.FAILED, reason
