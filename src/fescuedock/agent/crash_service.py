"""The agent's part in what is known of upstreams that ended: found out, shared, and kept.

Programs tell of runs that were broken off.  Whether the upstream has ended is found out by asking
it for a connection; what is found goes to the other agents by message and to the key-value service,
where it outlives them all.
"""

import math
import random
from collections.abc import Iterable
from secrets import token_hex
from typing import TYPE_CHECKING

import msgspec
import trio
from result import Err

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.clock import UnixClock, now_ms
from fescuedock.core.crash_log import CrashFact, CrashLog, audience_of, facts_of, news_of
from fescuedock.core.quarantine import QuarantinePolicy, traits_of
from fescuedock.core.rendezvous import choose_name
from fescuedock.kv import KvEntry, KvStore
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.net.channel_pool import ChannelPool
from fescuedock.net.http_client import ConnectResult, HttpClient
from fescuedock.pauses import GrowingPauses
from fescuedock.schema.crashes import (
    BrokenRun,
    CrashedRun,
    CrashesReply,
    CrashesRequest,
    CrashNews,
    CrashReport,
    WholeRun,
    WorkCleared,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import VmRecord

if TYPE_CHECKING:
    from fescuedock.core.broken_runs import BrokenRuns

__all__ = ["CrashService"]

_REPORT_BYTES = 12
_SAME_END_MS = QuarantinePolicy().same_end_ms
# A dying process may still take connections while those that it had are cut already.
_SECOND_LOOK_S = 0.05
# Runs that were broken off by one end come in within milliseconds of each other.
_GATHER_S = 0.01
# Between two writes of one node.
_WRITE_PAUSE_S = 0.5
_FIRST_PAUSE_MS = 100.0
_MOST_PAUSE_MS = 2000.0
# Between two looks at what is too old.
_FORGET_S = 600.0
# Agents hear of what others find by message; this is for those that were away.  370 of them make 6
# reads a second of it.
_READ_S = 60.0
# Waiting longer than this would hold an answer that a program does not wait for any more.
_MOST_WAIT_MS = 30000


class CrashService:
    """Keeps ``view.quarantine`` current, and finds out about the upstreams of this VM's programs.

    ``prefix`` is where reports lie in the key-value service; whoever follows it hands what lies
    there to ``take_entries``.
    """

    def __init__(
        self,
        view: FleetView,
        http: HttpClient,
        pool: ChannelPool,
        kv: KvStore,
        prefix: str,
        rng: random.Random,
        unix_clock: UnixClock,
    ) -> None:
        self._view = view
        self._http = http
        self._pool = pool
        self._kv = kv
        self._prefix = prefix
        self._rng = rng
        # Unix time at trio's time 0; the clock itself gives whole seconds.
        self._unix_base_ms = unix_clock() * 1000.0 - now_ms()
        self._log = CrashLog(view.quarantine, boot=rng.getrandbits(53))
        # Set when something was learned, or found out here.
        self._changed = trio.Event()
        self._found = trio.Event()
        # Runs that were broken off, by upstream, while it is being found out whether that ended.
        self._broken: dict[str, BrokenRuns] = {}
        # When upstreams of this VM's broken runs were found to have ended.
        self._ended_ms: dict[str, float] = {}
        # What others are still to be told, by whether they pass it on; and what is to be written.
        self._untold: list[CrashFact] = []
        self._unrelayed: list[CrashFact] = []
        self._unwritten: list[CrashFact] = []
        # What was read from the key-value service, with the time of the newest fact in it.
        self._stored: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Handlers by message type, to be merged with those of the agent's other services."""
        return {
            BrokenRun: self._on_broken,
            WholeRun: self._on_whole,
            CrashNews: self._on_news,
            CrashesRequest: self._on_request,
        }

    async def run(self) -> None:
        """Find out, share and keep until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for upstream_id in self._broken:
                nursery.start_soon(self._find_out, upstream_id)
            nursery.start_soon(self._tell_forever)
            nursery.start_soon(self._write_forever)
            while True:
                await trio.sleep(_FORGET_S)
                self._view.quarantine.forget(self._now_ms())
                self._ended_ms.clear()
                await self._remove_forgotten()

    async def read_forever(self) -> None:
        """Read what lies in the key-value service now and then, where nothing follows its keys."""
        while True:
            was_read = await self._read_all()
            pause_s = _READ_S if was_read else _MOST_PAUSE_MS / 1000
            await trio.sleep(pause_s * self._rng.uniform(0.7, 1.3))

    async def _read_all(self) -> bool:
        start_after = ""
        while True:
            read = await self._kv.get_range(self._prefix, start_after=start_after)
            if isinstance(read, Err):
                return False
            page = read.ok_value
            self.take_entries(page.entries)
            if not page.more or not page.entries:
                return True
            start_after = page.entries[-1].key

    def take_entries(self, entries: Iterable[KvEntry]) -> None:
        """Take in what lies in the key-value service, each entry as often as it may come."""
        for entry in entries:
            if not entry.key.startswith(self._prefix) or entry.key in self._stored:
                continue
            try:
                news = msgspec.msgpack.decode(entry.value, type=CrashNews)
            except msgspec.MsgspecError as error:
                # Of a newer version, which will remove it.
                self._stored[entry.key] = math.inf
                log_event("crash_news_unreadable", key=entry.key, reason=str(error))
                continue
            facts = facts_of(news)
            self._stored[entry.key] = max((fact.at_ms for fact in facts), default=-math.inf)
            for fact in facts:
                if not self._view.quarantine.is_forgotten(fact.at_ms, self._now_ms()):
                    self._learn(fact)

    # --- programs --------------------------------------------------------------------------------

    async def _on_broken(self, message: BrokenRun, _peer: ServerPeer) -> None:
        if message.looks_whole and message.given_up:
            # The permit of a run alone was returned; the run itself was told of before.
            if message.upstream_id in self._broken:
                self._broken[message.upstream_id].note_returned(message.work_id)
            return
        upstream = self._view.upstreams.get(message.upstream_id)
        known = self._has_just_ended(message.upstream_id) or message.upstream_id in self._broken
        if not known and (upstream is None or upstream.leaving):
            # One that was to leave has ended as planned, with what ran there.
            why = "the upstream is unknown" if upstream is None else "the upstream is leaving"
            log_event(
                "broken_run_ignored",
                routine=True,
                upstream_id=message.upstream_id,
                work_id=message.work_id,
                reason=why,
            )
            return
        waiting = self._broken.get(message.upstream_id)
        if waiting is None:
            # Imported when a run was broken off, which a start need not wait for.
            from fescuedock.core.broken_runs import BrokenRuns

            waiting = self._broken[message.upstream_id] = BrokenRuns()
            if self._nursery is not None:
                self._nursery.start_soon(self._find_out, message.upstream_id)
        waiting.add(message, now_ms())

    async def _on_whole(self, message: WholeRun, _peer: ServerPeer) -> None:
        self._clear(message.work_id)

    def _clear(self, trait: str) -> None:
        """Take back what is known against a trait of a run that became whole."""
        reports = self._view.quarantine.reports_against(trait)
        if reports:
            self._tell(WorkCleared(_new_id(), trait, reports, int(self._now_ms())))

    async def _on_request(self, message: CrashesRequest, _peer: ServerPeer) -> CrashesReply:
        seen = self._log.seen_of(message.agent_boot, message.seen)
        with trio.move_on_after(min(message.wait_ms, _MOST_WAIT_MS) / 1000):
            while self._log.length <= seen:
                await self._changed.wait()
        return self._log.reply_after(seen)

    # --- finding out -----------------------------------------------------------------------------

    async def _find_out(self, upstream_id: str) -> None:
        """Report the runs that an upstream broke off, if it has ended."""
        waiting = self._broken[upstream_id]
        while len(waiting):
            if self._has_just_ended(upstream_id):
                await self._report_end(upstream_id, refused=False)
                return
            upstream = self._view.upstreams.get(upstream_id)
            if upstream is None:
                await self._report_end(upstream_id, refused=False)
                return
            if upstream.leaving:
                break
            began_ms = now_ms()
            if waiting.wants_look(began_ms):
                acceptance = await self._try_twice(Address(upstream.host, upstream.port))
                if acceptance is ConnectResult.REFUSED:
                    await self._report_end(upstream_id, refused=True)
                    return
                if acceptance is ConnectResult.ACCEPTED:
                    waiting.note_up(began_ms)
            for run in waiting.take_whole(now_ms()):
                self._note_whole(run)
            await trio.sleep(waiting.pause_ms(now_ms()) / 1000)
        del self._broken[upstream_id]
        log_event("upstream_not_ended", routine=True, upstream_id=upstream_id, runs=len(waiting))

    def _note_whole(self, run: BrokenRun) -> None:
        """Note that a run that looks whole is, as its upstream goes on."""
        self._view.sound_parts.note(run.parts, now_ms())
        for trait in (run.work_id, *run.parts):
            self._clear(trait)

    async def _report_end(self, upstream_id: str, *, refused: bool) -> None:
        """Report what ran at an upstream when it ended."""
        if not self._has_just_ended(upstream_id):
            self._ended_ms[upstream_id] = now_ms()
        if not self._broken[upstream_id].has_alone:
            # Beside a run alone there is nothing to wait for, and its next try may be on its way.
            await trio.sleep(_GATHER_S)
        broken = self._broken.pop(upstream_id).take_ended(refused=refused)
        runs = [
            CrashedRun(item.work_id, item.alone, item.begun, item.given_up, item.parts)
            for item in broken
            if item.work_id
        ]
        if not runs and self._view.has_just_ended(upstream_id):
            return
        self._tell(CrashReport(_new_id(), upstream_id, int(self._now_ms()), runs))

    def _has_just_ended(self, upstream_id: str) -> bool:
        ended_ms = self._ended_ms.get(upstream_id, float("-inf"))
        return now_ms() - ended_ms <= _SAME_END_MS

    async def _try_twice(self, address: Address) -> ConnectResult:
        """Find out whether a server still takes connections, and goes on doing so."""
        acceptance = await self._http.try_connect(address)
        if acceptance is ConnectResult.ACCEPTED:
            await trio.sleep(_SECOND_LOOK_S)
            acceptance = await self._http.try_connect(address)
        return acceptance

    # --- sharing ---------------------------------------------------------------------------------

    def _tell(self, fact: CrashFact) -> None:
        """Learn a fact that was found here, and see to it that all others do."""
        self._learn(fact)
        self._untold.append(fact)
        if not isinstance(fact, CrashReport) or fact.runs:
            # That an upstream ended under nothing is of use for a moment only.
            self._unwritten.append(fact)
        self._wake_tellers()

    def _wake_tellers(self) -> None:
        self._found.set()
        self._found = trio.Event()

    async def _on_news(self, message: CrashNews, _peer: ServerPeer) -> None:
        facts = [fact for fact in facts_of(message) if self._learn(fact)]
        if message.relay and facts:
            self._unrelayed += facts
            self._wake_tellers()

    def _learn(self, fact: CrashFact) -> bool:
        if not self._log.note(fact):
            return False
        self._view.note_quarantine()
        self._changed.set()
        self._changed = trio.Event()
        match fact:
            case CrashReport():
                log_event(
                    "upstream_ended",
                    upstream_id=fact.upstream_id,
                    report_id=fact.report_id,
                    works=[run.work_id for run in fact.runs],
                    alone=any(run.alone for run in fact.runs),
                )
                for trait in sorted({trait for run in fact.runs for trait in traits_of(run)}):
                    self._log_verdict(trait)
            case WorkCleared():
                log_event("work_cleared", work_id=fact.work_id, reports=len(fact.void_report_ids))
        return True

    def _log_verdict(self, trait: str) -> None:
        verdict = self._view.quarantine.verdict(trait, self._now_ms())
        log_event(
            "work_suspected",
            routine=verdict.crashes < 2,
            work_id=trait,
            crashes=verdict.crashes,
            standing=verdict.standing.name,
        )

    async def _tell_forever(self) -> None:
        while True:
            while not self._untold and not self._unrelayed:
                await self._found.wait()
            found, self._untold = self._untold, []
            relayed, self._unrelayed = self._unrelayed, []
            vms = self._view.live_vms()
            if found:
                audience = audience_of(self._view.vm_id, found[0].report_id, vms)
                await self._push(audience.direct, news_of(found))
                await self._push(audience.relays, news_of(found, relay=True))
            if relayed:
                own = self._view.vms.get(self._view.vm_id)
                near = [vm for vm in vms if own and vm.failure_domain == own.failure_domain]
                await self._push(near, news_of(relayed))

    async def _push(self, vms: Iterable[VmRecord], news: CrashNews) -> None:
        for vm in vms:
            if vm.vm_id != self._view.vm_id and vm.agent_port:
                client = await self._pool.client(Address(vm.host, vm.agent_port))
                client.push(news)

    async def _write_forever(self) -> None:
        """Write what was found here, together what comes within a pause, until it is all there.

        When a failure domain goes, each node that had work there finds many upstreams ended.
        """
        while True:
            while not self._unwritten:
                await self._found.wait()
            facts, self._unwritten = self._unwritten, []
            await self._write(facts)
            await trio.sleep(_WRITE_PAUSE_S * self._rng.uniform(0.5, 1.5))

    async def _write(self, facts: list[CrashFact]) -> None:
        key = f"{self._prefix}{_new_id()}"
        value = msgspec.msgpack.encode(news_of(facts))
        pauses = GrowingPauses(_FIRST_PAUSE_MS, _MOST_PAUSE_MS)
        while True:
            written = await self._kv.put_if(key, value, 0)
            # A conflict is the answer to a write of our own whose answer was lost.
            if not isinstance(written, Err) or written.err_value.code is ResultCode.KV_CONFLICT:
                return
            await pauses.wait()

    async def _remove_forgotten(self) -> None:
        """Remove what has been forgotten from the key-value service; one agent does it."""
        vm_ids = [vm.vm_id for vm in self._view.live_vms()]
        for key, at_ms in list(self._stored.items()):
            if not self._view.quarantine.is_forgotten(at_ms, self._now_ms()):
                continue
            del self._stored[key]
            if choose_name(key, vm_ids) == self._view.vm_id:
                await self._remove(key)

    async def _remove(self, key: str) -> None:
        """Remove a key, which nobody writes twice; one that stays is met again at the next read."""
        read = await self._kv.get(key)
        entry = None if isinstance(read, Err) else read.ok_value
        if entry is not None:
            await self._kv.delete_if(key, entry.mod_revision)

    def _now_ms(self) -> float:
        return self._unix_base_ms + now_ms()


def _new_id() -> str:
    return token_hex(_REPORT_BYTES)
