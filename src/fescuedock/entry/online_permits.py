"""Finds an upstream for one attempt of an online call and gets the permit for it."""

import random
from collections.abc import Collection, Iterable, Sequence
from itertools import groupby, pairwise
from typing import Protocol

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import Grant, PermitClient, TimedLoad
from fescuedock.clock import now_ms
from fescuedock.core.admission import Admission
from fescuedock.core.placement import should_move
from fescuedock.core.quarantine import Restriction, Verdict
from fescuedock.core.route_learning import DomainLatency, PrefillModel, RequestTimeout, SilentOwners
from fescuedock.core.routing import (
    Candidate,
    Choice,
    Demand,
    PlannedRequest,
    RoutingPolicy,
    choose_upstreams,
    plan_isolated_requests,
    plan_requests,
)
from fescuedock.core.work_identity import is_part
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.schema.permits import PermitAsk, WorkClass
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamRecord

__all__ = ["OnlineCall", "PermitSearch", "find_permit"]

_RETRY_AFTER_MS = 1000
_NO_REPLY_CODES = (ResultCode.PEER_UNREACHABLE, ResultCode.PEER_UNKNOWN)
# Replies that say nothing about the free capacity of an upstream.
_NO_LOAD_INFO_CODES = (*_NO_REPLY_CODES, ResultCode.NOT_OWNER)
# Pause before choosing again when a node turned out not to own an upstream: views are replaced
# every 100 ms.  Requests for a leaving upstream are refused with this code; when it counted as no
# reply, the answering node and all its upstreams were skipped for a second.
_NOT_OWNER_PAUSE_S = 0.02
# Time within which nodes learn from each other that an upstream ended.
_CRASH_REPORT_WAIT_S = 0.1
_VERDICT_CHANGED = Fault(
    ResultCode.NO_CAPACITY, "more became known about the work", _RETRY_AFTER_MS
)


class OnlineCall(Protocol):
    """The call that needs a permit: an online request to a model, or a call to a plain service."""

    @property
    def request_id(self) -> str: ...

    @property
    def work_id(self) -> str:
        """The identity of the work, the same for each attempt and resend."""

    @property
    def parts(self) -> tuple[str, ...]:
        """Identities of the prompt parts that other calls may share."""

    @property
    def service(self) -> str: ...

    @property
    def member(self) -> str: ...

    @property
    def demand(self) -> Demand: ...

    @property
    def software_versions(self) -> Collection[str] | None:
        """Versions of upstreams that the next attempt may go to; None for any."""

    @property
    def max_tokens(self) -> int: ...

    @property
    def repeatable(self) -> bool:
        """Whether the call may be sent again after it may have run."""

    def left_ms(self) -> float: ...

    def urgency(self) -> tuple[int, int]:
        """Return ``PermitAsk.priority`` and ``PermitAsk.waited_ms``."""

    def start_left_ms(self) -> float:
        """Return the time left in which a start, on time or late, is still useful to the caller."""

    def target_left_ms(self) -> int:
        """Return ``PermitAsk.target_ms``."""


class PermitSearch(Protocol):
    """The state that searches for permits share, and what they learn from call to call."""

    routing: RoutingPolicy
    rng: random.Random
    admission: Admission
    latency: DomainLatency
    reply_timeout: RequestTimeout
    silent_owners: SilentOwners

    @property
    def view(self) -> FleetView: ...

    @property
    def permits(self) -> PermitClient: ...

    def prefill(self, service: str) -> PrefillModel: ...

    def new_identity(self) -> str:
        """Return an unguessable identity."""

    def is_connected(self, upstream: UpstreamRecord) -> bool:
        """Whether there is an idle connection to ``upstream``."""


async def find_permit(
    state: PermitSearch, call: OnlineCall, avoid: Collection[str] = ()
) -> Result[Grant, Fault]:
    """Return a permit on the best upstream that accepts the attempt.

    The permit's identity is unguessable and also identifies the attempt.  Upstreams in ``avoid``
    are used only if there is no other.  If all owners refuse, the refusal is returned at once;
    while an owner queues the call, the choice of upstreams is repeated from time to time.

    The fault is ``WORK_HARMFUL`` if upstreams crashed while they ran the work; suspected work waits
    for an upstream on which it runs in isolation.
    """
    while True:
        verdict = state.view.verdict_on(call.work_id, call.parts)
        if verdict.restriction is Restriction.REFUSED:
            return Err(_harmful_fault(verdict))
        if verdict.restriction is Restriction.UNSETTLED:
            with trio.move_on_after(verdict.retry_after_ms / 1000):
                await state.view.wait_quarantine_changed()
            continue
        if verdict.restriction is Restriction.ALONE:
            answer = await _request_isolated(state, call, avoid)
            if not answer.retry:
                return answer.result
            continue
        choices = _choose(state, call, avoid)
        if not choices:
            return Err(
                Fault(ResultCode.NO_UPSTREAM, _no_upstream_message(state, call), _RETRY_AFTER_MS)
            )
        in_time = _check_deadline(state, call, choices)
        if isinstance(in_time, Err):
            return in_time
        answer = await _request_all(state, call, choices)
        if not answer.retry:
            return answer.result


def _no_upstream_message(state: PermitSearch, call: OnlineCall) -> str:
    message = f"no live upstream serves {call.service!r}"
    if any(_is_usable(state, item) for item in state.view.upstreams_of(call.service)):
        versions = " or ".join(sorted(call.software_versions))
        message += (
            f" at software version {versions}" if versions else ", and no stream may start yet"
        )
    return message


def _harmful_fault(verdict: Verdict) -> Fault:
    subject = "requests with a part of its prompt" if is_part(verdict.trait) else "this request"
    message = f"{verdict.crashes} upstreams ended while they ran {subject} ({verdict.trait})"
    return Fault(ResultCode.WORK_HARMFUL, message, int(verdict.retry_after_ms))


async def _request_isolated(
    state: PermitSearch, call: OnlineCall, avoid: Collection[str]
) -> "_SearchResult":
    """Wait for an upstream on which nothing else runs; ``retry`` if the verdict changed.

    All nodes choose the same upstream for a service, so that suspected work occupies only one.
    """
    if avoid and await _wait_for_verdict_change(state, call):
        return _SearchResult(Err(_VERDICT_CHANGED), retry=True)
    choices = _choose(state, call, avoid)
    run_ms = state.admission.times(call.service).run_ms(call.max_tokens, now_ms())
    wait_ms = _slack_ms(call, run_ms)
    requests = plan_isolated_requests(choices, call.service, avoid, wait_ms, state.routing)
    if not requests or wait_ms <= 0:
        why = "no upstream is free for an isolated run" if requests else "no upstream is available"
        return _SearchResult(Err(Fault(ResultCode.NO_CAPACITY, why, _RETRY_AFTER_MS)))
    started_ms = now_ms()
    for request in requests:
        granted = await _request_until_verdict_change(state, call, request, run_ms)
        if granted is None:
            return _SearchResult(Err(_VERDICT_CHANGED), retry=True)
        if isinstance(granted, Ok) or granted.err_value.code not in _NO_REPLY_CODES:
            break
    timed_out = _has_waited(started_ms, wait_ms)
    if isinstance(granted, Err) and not timed_out:
        # Its owner is silent or keeps work away from it; the next choice takes that into account.
        await trio.sleep(_NOT_OWNER_PAUSE_S)
        return _SearchResult(granted, retry=True)
    return _SearchResult(granted)


async def _wait_for_verdict_change(state: PermitSearch, call: OnlineCall) -> bool:
    """Wait briefly for reports about suspected work; return whether its verdict changed.

    The upstream that failed the call may just have crashed under another attempt of the same work.
    """
    with trio.move_on_after(_CRASH_REPORT_WAIT_S):
        while state.view.verdict_on(call.work_id, call.parts).restriction is Restriction.ALONE:
            await state.view.wait_quarantine_changed()
        return True
    return False


async def _request_until_verdict_change(
    state: PermitSearch, call: OnlineCall, request: PlannedRequest, run_ms: float
) -> Result[Grant, Fault] | None:
    """Request an isolated run; return None once the verdict no longer demands isolation."""
    granted: Result[Grant, Fault] | None = None
    try:
        async with trio.open_nursery() as nursery:

            async def request_isolated() -> None:
                nonlocal granted
                granted = await _request_permit(state, call, request, run_ms, isolated=True)
                nursery.cancel_scope.cancel()

            nursery.start_soon(request_isolated)
            while state.view.verdict_on(call.work_id, call.parts).restriction is Restriction.ALONE:
                await state.view.wait_quarantine_changed()
            nursery.cancel_scope.cancel()
    except BaseException:
        # The call was cancelled just after a grant arrived: return it, as no one else can use it.
        if isinstance(granted, Ok):
            state.permits.return_unused(granted.ok_value)
        raise
    return granted


def _choose(state: PermitSearch, call: OnlineCall, avoid: Collection[str]) -> list[Choice]:
    own = state.view.vms.get(state.view.vm_id)
    domain = own.failure_domain if own is not None else ""
    at_ms = now_ms()
    loads = state.permits.loads
    versions = call.software_versions
    candidates = [
        _candidate(
            state, item, loads.get(item.upstream_id), domain, item.upstream_id in avoid, at_ms
        )
        for item in state.view.upstreams_of(call.service)
        if _is_usable(state, item) and (versions is None or item.software_version in versions)
    ]
    token_ms = state.prefill(call.service).token_ms
    rank = state.routing.rank
    if rank is None:
        return choose_upstreams(candidates, call.demand, token_ms, state.routing, state.rng)
    return rank(candidates, _demand_now(call), token_ms, state.routing, state.rng)


def _demand_now(call: OnlineCall) -> Demand:
    """Return the call's demand with its remaining times."""
    demand = call.demand
    return Demand(
        demand.prompt_tokens,
        demand.prefix_tokens,
        demand.prefix_hash,
        call.target_left_ms(),
        call.left_ms(),
        demand.pause_ms,
    )


def _is_usable(state: PermitSearch, upstream: UpstreamRecord) -> bool:
    policy = state.view.configuration.upstreams.get(upstream.upstream_id)
    return not upstream.leaving and not (policy is not None and policy.drain)


def _became_unusable(state: PermitSearch, upstream_id: str) -> bool:
    """Whether a chosen upstream has started to leave or disappeared since it was chosen."""
    upstream = state.view.upstreams.get(upstream_id)
    return upstream is None or not _is_usable(state, upstream)


def _candidate(
    state: PermitSearch,
    upstream: UpstreamRecord,
    timed: TimedLoad | None,
    domain: str,
    avoided: bool,
    at_ms: float,
) -> Candidate:
    """Return the candidate for an upstream at ``at_ms``; called for each upstream and call."""
    owner = state.view.owner_of(upstream.upstream_id)
    load = speed = None
    speed_age_ms = 0.0
    if timed is not None:
        age_ms = at_ms - timed.at_ms
        latest = timed.load
        if age_ms <= state.routing.stale_ms:
            load = latest
        if latest.start_ms and latest.event_ms:
            speed = latest
            speed_age_ms = age_ms + latest.speed_age_ms
    return Candidate(
        upstream.upstream_id,
        state.latency.one_way_ms(upstream.failure_domain),
        load,
        owner is None or state.silent_owners.is_silent(owner.vm_id, at_ms),
        avoided,
        state.is_connected(upstream),
        speed,
        speed_age_ms,
        not domain or upstream.failure_domain == domain,
    )


def _check_deadline(
    state: PermitSearch, call: OnlineCall, choices: list[Choice]
) -> Result[None, Fault]:
    """Refuse a call that the predicted wait in the full queue would complete too late.

    A call that can still be on time overtakes the late ones in the owners' queues, so the length of
    the full queue does not apply to it: its own wait for a slot decides.  With the check, calls
    with a short deadline were refused after 0.1 ms although slots kept coming free: 0 of 87 were
    served, against 775 of 1,296 others.  How long a customer's late call waits depends on the
    customer's share, which only the owners know.
    """
    target_left_ms = call.target_left_ms()
    if target_left_ms > 0:
        return Ok(None)
    by_share = bool(call.member) and target_left_ms < 0
    first_token_ms = 0.0 if by_share else min(item.queue_ms for item in choices)
    start_left_ms = call.start_left_ms()
    if first_token_ms > start_left_ms:
        message = f"starts in about {first_token_ms:.0f} ms, useful within {start_left_ms:.0f} ms"
        return Err(Fault(ResultCode.DEADLINE_CANNOT_BE_MET, message, int(first_token_ms)))
    run_ms = state.admission.times(call.service).run_ms(call.max_tokens, now_ms())
    return state.admission.check_deadline(call.left_ms(), first_token_ms, run_ms)


class _SearchResult(msgspec.Struct, frozen=True):
    """The result of a round of permit requests; ``retry`` says that another round may succeed."""

    result: Result[Grant, Fault]
    retry: bool = False


async def _request_all(
    state: PermitSearch, call: OnlineCall, choices: list[Choice]
) -> _SearchResult:
    """Request permits in the planned order; return a grant, or the most informative refusal.

    An owner that does not reply, or one whose queue timed out, ends the round.
    """
    run_ms = state.admission.times(call.service).run_ms(call.max_tokens, now_ms())
    plan = plan_requests(choices, _slack_ms(call, run_ms), state.routing)
    refusal: Fault | None = None
    for queues, requests in groupby(plan, key=lambda request: request.may_queue):
        if queues:
            answer = await _queue_at_several(state, call, list(requests), run_ms)
        else:
            answer = await _request_in_order(state, call, list(requests), choices, run_ms)
        if isinstance(answer.result, Ok) or answer.retry:
            return answer
        refusal = _more_informative(refusal, answer.result.err_value)
    if call.member:
        granted = await _request_with_room(state, call, choices, plan, run_ms)
        if granted is not None:
            return granted
    return _SearchResult(Err(_refusal(refusal)))


async def _request_with_room(
    state: PermitSearch,
    call: OnlineCall,
    choices: list[Choice],
    plan: list[PlannedRequest],
    run_ms: float,
) -> _SearchResult | None:
    """Try the other upstreams that may have free slots; return None if none of them grants.

    Owners of full upstreams refuse a customer above its share at once, which says nothing about the
    others.  Each reply reports the load, so a node makes at most one futile request to an upstream
    per ``stale_ms``.
    """
    requested = {request.upstream_id for request in plan}
    others = [
        PlannedRequest(item.upstream_id)
        for item in choices
        if item.has_room
        and item.accepting
        and not item.owner_silent
        and item.upstream_id not in requested
    ]
    if not others:
        return None
    answer = await _request_in_order(state, call, others, choices, run_ms)
    return answer if isinstance(answer.result, Ok) else None


def _slack_ms(call: OnlineCall, run_ms: float) -> float:
    return min(call.left_ms() - run_ms, call.start_left_ms())


async def _request_in_order(
    state: PermitSearch,
    call: OnlineCall,
    requests: Sequence[PlannedRequest],
    choices: Sequence[Choice],
    run_ms: float,
) -> _SearchResult:
    """Request slots that are believed to be free, one after the other, until one is granted."""
    refusal: Fault | None = None
    for number, request in enumerate(requests, start=1):
        granted = await _request_permit(state, call, request, run_ms)
        if isinstance(granted, Ok):
            return _SearchResult(
                await _move_to_faster(state, call, granted, requests[number - 1 :], choices, run_ms)
            )
        if granted.err_value.code in _NO_REPLY_CODES:
            return _SearchResult(granted, retry=True)
        refusal = _more_informative(refusal, granted.err_value)
    return _SearchResult(Err(refusal))


def _should_move(
    state: PermitSearch,
    call: OnlineCall,
    request: PlannedRequest,
    other: PlannedRequest,
    choices: Sequence[Choice],
) -> bool:
    if state.routing.rank is None or request.local or other.local:
        return False
    timed = state.permits.loads.get(request.upstream_id)
    choice = next(item for item in choices if item.upstream_id == other.upstream_id)
    placing = state.routing.placement
    return timed is not None and should_move(timed.load, choice, call.demand.prompt_tokens, placing)


async def _move_to_faster(
    state: PermitSearch,
    call: OnlineCall,
    granted: Ok[Grant],
    requests: Sequence[PlannedRequest],
    choices: Sequence[Choice],
    run_ms: float,
) -> Ok[Grant]:
    """Return ``granted``, for the first of ``requests``, or a permit on a much faster upstream.

    A permit is held until its replacement is granted.
    """
    for request, other in pairwise(requests):
        if not _should_move(state, call, request, other, choices):
            return granted
        try:
            moved = await _request_permit(state, call, other, run_ms)
        except BaseException:
            state.permits.return_unused(granted.ok_value)
            raise
        if isinstance(moved, Err):
            return granted
        state.permits.return_unused(granted.ok_value)
        log_event(
            "permit_moved",
            routine=True,
            request_id=call.request_id,
            from_upstream_id=request.upstream_id,
            to_upstream_id=other.upstream_id,
        )
        granted = moved
    return granted


async def _queue_at_several(
    state: PermitSearch, call: OnlineCall, requests: Sequence[PlannedRequest], run_ms: float
) -> _SearchResult:
    """Wait in several queues at once; use the first grant and withdraw the other requests.

    A slot that becomes free anywhere then goes to the call that needs it soonest.  When calls
    waited in one queue at a time, they missed their target while other upstreams served late calls.
    """
    refusals: list[_SearchResult] = []
    grants: list[Grant] = []

    async def queue_at(request: PlannedRequest) -> None:
        started_ms = now_ms()
        granted = await _request_permit(state, call, request, run_ms, queues=len(requests))
        if isinstance(granted, Err):
            timed_out = _has_waited(started_ms, request.wait_ms)
            code = granted.err_value.code
            if code is ResultCode.NOT_OWNER:
                await trio.sleep(_NOT_OWNER_PAUSE_S)
            retry = code is ResultCode.NOT_OWNER or (timed_out and code not in _NO_REPLY_CODES)
            # A leaving upstream's refusal says nothing about upstreams added since the choice.
            retry = retry or _became_unusable(state, request.upstream_id)
            refusals.append(_SearchResult(granted, retry=retry))
            return
        grants.append(granted.ok_value)
        nursery.cancel_scope.cancel()

    try:
        async with trio.open_nursery() as nursery:
            for request in requests:
                nursery.start_soon(queue_at, request)
    except BaseException:
        # The call was cancelled just after a grant arrived: return it, as no one else can use it.
        for grant in grants:
            state.permits.return_unused(grant)
        raise
    for grant in grants[1:]:
        state.permits.return_unused(grant)
    if grants:
        return _SearchResult(Ok(grants[0]))
    return _merge_refusals(refusals)


def _has_waited(started_ms: float, wait_ms: float) -> bool:
    """Whether an owner has kept a request for ``wait_ms``, in whole milliseconds as it counts.

    Shorter waits do not count, as the request would be repeated at once and without end.
    """
    return round(now_ms() - started_ms) >= int(wait_ms) >= 1


def _merge_refusals(refusals: Iterable[_SearchResult]) -> _SearchResult:
    """Combine several refusals into one result; ``retry`` if any of them allows it."""
    best: Fault | None = None
    retry = False
    for refusal in refusals:
        best = _more_informative(best, refusal.result.err_value)
        retry = retry or refusal.retry
    return _SearchResult(Err(best), retry)


def _refusal(fault: Fault | None) -> Fault:
    """Return the fault for the caller: nothing was sent, and a resend may succeed."""
    if fault is None or fault.code in _NO_LOAD_INFO_CODES:
        why = "no time is left to wait" if fault is None else "no owner replies"
        return Fault(ResultCode.NO_CAPACITY, f"no capacity: {why}", _RETRY_AFTER_MS)
    return msgspec.structs.replace(fault, retry_after_ms=fault.retry_after_ms or _RETRY_AFTER_MS)


async def _request_permit(
    state: PermitSearch,
    call: OnlineCall,
    request: PlannedRequest,
    run_ms: float,
    queues: int = 1,
    *,
    isolated: bool = False,
) -> Result[Grant, Fault]:
    priority, waited_ms = call.urgency()
    message = PermitAsk(
        upstream_id=request.upstream_id,
        attempt_id=state.new_identity(),
        holder_id=state.permits.holder_id,
        service=call.service,
        member=call.member,
        work_class=WorkClass.ONLINE,
        slack_ms=int(_slack_ms(call, run_ms)),
        prompt_tokens=call.demand.prompt_tokens,
        max_tokens=call.max_tokens,
        prefix_hash=call.demand.prefix_hash,
        wait_ms=int(request.wait_ms),
        target_ms=call.target_left_ms(),
        queues=queues,
        work_id=call.work_id,
        alone=isolated,
        priority=priority,
        waited_ms=waited_ms,
    )
    if request.local:
        return state.permits.request_local(message, call.parts)
    started_ms = now_ms()
    state.reply_timeout.in_flight += 1
    try:
        timeout_ms = request.wait_ms + state.reply_timeout.timeout_ms
        granted = await state.permits.request(message, timeout_ms, call.parts)
    finally:
        state.reply_timeout.in_flight -= 1
    _record_reply(state, request, granted, now_ms() - started_ms)
    return granted


def _record_reply(
    state: PermitSearch,
    request: PlannedRequest,
    granted: Result[Grant, Fault],
    round_trip_ms: float,
) -> None:
    owner = state.view.owner_of(request.upstream_id)
    if owner is None:
        return
    if isinstance(granted, Err) and granted.err_value.code in _NO_REPLY_CODES:
        state.silent_owners.record_silence(owner.vm_id, now_ms())
        return
    state.silent_owners.record_answer(owner.vm_id)
    if not request.wait_ms:
        state.latency.observe(owner.failure_domain, round_trip_ms)


def _more_informative(first: Fault | None, second: Fault) -> Fault:
    """Return the better refusal: an owner's over a missing reply, else the earlier retry."""
    if first is None or first.code in _NO_LOAD_INFO_CODES:
        return second
    if second.code in _NO_LOAD_INFO_CODES or not second.retry_after_ms:
        return first
    return second if second.retry_after_ms < (first.retry_after_ms or 10**9) else first
