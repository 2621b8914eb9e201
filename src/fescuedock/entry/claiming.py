"""Creates and updates the claims of calls with an ``Idempotency-Key``, and deletes expired ones."""

import random
from collections import OrderedDict

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.backing.kv_writes import put_resolved
from fescuedock.core.claims import (
    Claim,
    Dispatch,
    PutRecord,
    ReadRecord,
    Refuse,
    Replay,
    claim_key,
    is_expired,
    request_hash,
)
from fescuedock.core.rendezvous import choose_name
from fescuedock.entry.context import EntryContext
from fescuedock.entry.service_call import ServiceCall
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.schema.claims import ClaimRecord, RecordedAnswer
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import Program

__all__ = ["ClaimManager", "sweep_claims", "sweep_claims_forever"]

_TOKEN_BITS = 128
_PUT_ATTEMPTS = 3
# The caller waits while its answer is recorded, but not during an outage.
_RECORD_TIMEOUT_S = 0.5
_MAX_UNSENT = 1024
_RETRY_AFTER_MS = 1000
_SWEEPER_KEY = "claims"
_PAGE_SIZE = 200
# Limits deletions to a small part of the write capacity of the key-value service.
_DELETE_PAUSE_S = 0.02


class ClaimManager:
    """Creates and updates the claims of one entry."""

    __slots__ = ("_context", "_rng", "_unsent")

    def __init__(self, context: EntryContext, rng: random.Random) -> None:
        self._context = context
        self._rng = rng
        # Tokens of claims that may be stored although nothing was sent under them.
        self._unsent: OrderedDict[str, None] = OrderedDict()

    async def claim_call(self, call: ServiceCall) -> Result[Claim | RecordedAnswer, Fault]:
        """Return a claim under which ``call`` may be sent once, or its recorded answer.

        The fault is ``CLAIM_UNAVAILABLE``, ``ALREADY_CLAIMED`` or ``KEY_REUSED`` if the call must
        not be sent.
        """
        prefix = self._context.settings.platform.key_prefix
        claim = Claim(
            key=claim_key(prefix, call.member, call.service, call.idempotency_key),
            token=f"{self._rng.getrandbits(_TOKEN_BITS):032x}",
            request_hash=request_hash(call.method, call.target, call.body),
            created_at_s=self._context.unix_clock(),
            unsent_tokens=self._unsent.keys(),
        )
        is_granted = False
        try:
            with trio.move_on_at(call.deadline_ms / 1000):
                made = await self._run_steps(claim)
                is_granted = isinstance(made, Ok) and made.ok_value is claim
                return made
        finally:
            # Not earlier: until the reply to its write arrives, this claim may still be granted,
            # and a resend that takes it over would send the call a second time.
            if not is_granted:
                self._record_unsent(claim.token)
        message = "the call's claim could not be made within the deadline"
        return Err(Fault(ResultCode.CLAIM_UNAVAILABLE, message, _RETRY_AFTER_MS))

    async def record_answer(self, claim: Claim, answer: RecordedAnswer | None) -> None:
        """Record the answer for resends; without it they learn only that the call may have run."""
        await self._put_once(claim.record_answer(answer))

    async def release(self, claim: Claim) -> None:
        """Record that nothing was sent, so that a resend can run the call."""
        await self._put_once(claim.record_not_sent())

    async def _run_steps(self, claim: Claim) -> Result[Claim | RecordedAnswer, Fault]:
        step = claim.start()
        while True:
            match step:
                case PutRecord():
                    step = claim.on_write(await self._put(claim, step))
                case ReadRecord(key):
                    step = claim.on_read(await self._context.kv.get(key))
                case Dispatch():
                    return Ok(claim)
                case Replay(answer):
                    return Ok(answer)
                case Refuse(fault):
                    return Err(fault)

    async def _put(self, claim: Claim, step: PutRecord) -> Result[int, Fault]:
        return await put_resolved(
            self._context.kv,
            step.key,
            msgspec.json.encode(step.record),
            step.expected_revision,
            lambda value: msgspec.json.decode(value, type=ClaimRecord).token == claim.token,
            attempts=_PUT_ATTEMPTS,
        )

    async def _put_once(self, step: PutRecord) -> None:
        """Write without resolving a lost reply: the stored record is true in either case."""
        value = msgspec.json.encode(step.record)
        with trio.move_on_after(_RECORD_TIMEOUT_S):
            written = await self._context.kv.put_if(step.key, value, step.expected_revision)
            if isinstance(written, Ok):
                return
        log_event("claim_not_updated", key=step.key, state=step.record.state.value)

    def _record_unsent(self, token: str) -> None:
        self._unsent[token] = None
        if len(self._unsent) > _MAX_UNSENT:
            self._unsent.popitem(last=False)


async def sweep_claims_forever(context: EntryContext) -> None:
    """Delete expired claims periodically while this entry is the one chosen by the fleet."""
    while True:
        await trio.sleep(context.settings.entry.claim_sweep_interval_ms / 1000)
        entries = [vm.vm_id for vm in context.view.live_vms(Program.ENTRY)]
        if choose_name(_SWEEPER_KEY, entries) == context.settings.vm.vm_id:
            await sweep_claims(context)


async def sweep_claims(context: EntryContext) -> int:
    """Delete the claims that are older than the retention; return how many were deleted.

    Two concurrent sweeps are safe: each deletes only the revision that it read.
    """
    prefix = f"{context.settings.platform.key_prefix}claims/"
    retention_s = context.settings.entry.claim_retention_s
    start_after = ""
    deleted = 0
    while True:
        page = await context.kv.get_range(prefix, start_after=start_after, limit=_PAGE_SIZE)
        if isinstance(page, Err):
            log_event("claim_sweep_broken_off", reason=str(page.err_value))
            return deleted
        for entry in page.ok_value.entries:
            start_after = entry.key
            if is_expired(entry, retention_s, context.unix_clock()):
                deleted += (await context.kv.delete_if(entry.key, entry.mod_revision)).is_ok()
                await trio.sleep(_DELETE_PAUSE_S)
        if not page.ok_value.more:
            return deleted
