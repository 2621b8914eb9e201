"""Detects upstreams that ended under work, and shares and stores these crash reports.

Programs report runs that were broken off.  Connection attempts show whether the upstream has ended;
if so, a report goes to the other agents by message and to the key-value service, where it outlives
all agents.
"""

import random
from collections.abc import Callable, Iterable
from secrets import token_hex
from typing import TYPE_CHECKING

import msgspec
import trio
from result import Err, Ok

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.clock import UnixClock, now_ms
from fescuedock.core.crash_log import CrashFact, CrashLog, facts_of, message_of, receivers_of
from fescuedock.core.quarantine import QuarantinePolicy, traits_of
from fescuedock.core.rendezvous import choose_name
from fescuedock.errors import run_contained
from fescuedock.kv import KvEntry, KvStore, decode_value
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.net.channel_pool import ChannelPool
from fescuedock.net.http_client import ConnectResult, HttpClient, PeerQuery
from fescuedock.pauses import ExponentialBackoff
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

_REPORT_ID_BYTES = 12
_SAME_END_WINDOW_MS = QuarantinePolicy().same_crash_ms
# A crashing process may still accept connections after its existing ones were cut.
_SECOND_CONNECT_DELAY_S = 0.05
# Runs broken off by the same crash are reported within milliseconds of each other.
_GATHER_PAUSE_S = 0.01
# Mean pause between two writes of this agent.
_WRITE_PAUSE_S = 0.5
_FIRST_PAUSE_MS = 100.0
_MAX_PAUSE_MS = 2000.0
# Interval at which expired reports are removed.
_FORGET_INTERVAL_S = 600.0
# Agents receive the reports of others by message; these reads serve agents that missed some.  With
# 370 agents they make 6 reads per second.
_READ_INTERVAL_S = 60.0
# Longest wait of a request: a program does not wait longer for the reply.
_MAX_WAIT_MS = 30000
# A starting agent asks another one after a pause, in which it hears of others, and tries again.
_NEIGHBOUR_PAUSE_S = 1.0
_NEIGHBOUR_TIMEOUT_MS = 1000
_MAX_NEIGHBOUR_TRIES = 5


class CrashService:
    """Keeps ``view.quarantine`` current, and checks the upstreams of this VM's broken runs.

    Reports are stored below ``prefix`` in the key-value service; the reader of that prefix passes
    its entries to ``apply_entries``.  ``process_query`` returns the query that tells which process
    is at the address of an upstream, None for an upstream that cannot be asked.
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
        process_query: Callable[[str], PeerQuery | None] = lambda upstream_id: None,
    ) -> None:
        self._view = view
        self._http = http
        self._pool = pool
        self._kv = kv
        self._prefix = prefix
        self._rng = rng
        self._unix_clock = unix_clock
        self._process_query = process_query
        self._log = CrashLog(view.quarantine, boot=rng.getrandbits(53))
        # Set when a fact was applied, and when there are facts to send or write.
        self._changed = trio.Event()
        self._new_facts = trio.Event()
        # Broken runs by upstream, while it is checked whether the upstream has ended.
        self._broken: dict[str, BrokenRuns] = {}
        # When upstreams of this VM's broken runs were detected as ended.
        self._ended_ms: dict[str, float] = {}
        # Processes found at upstreams in place of those that their entries name, by upstream.
        self._found_peers: dict[str, str] = {}
        # Facts of this agent not sent yet, facts of others to relay, and facts not written yet.
        self._unsent: list[CrashFact] = []
        self._to_relay: list[CrashFact] = []
        self._to_write: list[CrashFact] = []
        # Keys read from the key-value service, with the identities of their facts.
        self._stored: dict[str, list[str]] = {}
        self._nursery: trio.Nursery | None = None

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Handlers by message type, to be merged with those of the agent's other services."""
        return {
            BrokenRun: self._on_broken,
            WholeRun: self._on_completed,
            CrashNews: self._handle_crashes,
            CrashesRequest: self._on_request,
        }

    async def run(self) -> None:
        """Check upstreams, and send, write and expire reports; runs until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for upstream_id in self._broken:
                nursery.start_soon(self._check_contained, upstream_id)
            nursery.start_soon(self._send_forever)
            nursery.start_soon(self._write_forever)
            nursery.start_soon(self._ask_neighbour)
            while True:
                await trio.sleep(_FORGET_INTERVAL_S)
                self._view.quarantine.forget(now_ms())
                self._ended_ms.clear()
                for upstream_id in self._found_peers.keys() - self._view.upstreams.keys():
                    del self._found_peers[upstream_id]
                await self._remove_expired()

    async def read_forever(self) -> None:
        """Read the stored reports periodically, where nothing else reads their keys."""
        while True:
            was_read = await self._read_all()
            pause_s = _READ_INTERVAL_S if was_read else _MAX_PAUSE_MS / 1000
            await trio.sleep(pause_s * self._rng.uniform(0.7, 1.3))

    async def _read_all(self) -> bool:
        start_after = ""
        while True:
            read = await self._kv.get_range(self._prefix, start_after=start_after)
            if isinstance(read, Err):
                return False
            page = read.ok_value
            self.apply_entries(page.entries)
            if not page.more or not page.entries:
                return True
            start_after = page.entries[-1].key

    def apply_entries(self, entries: Iterable[KvEntry]) -> None:
        """Apply stored reports; entries may be passed repeatedly."""
        for entry in entries:
            if not entry.key.startswith(self._prefix) or entry.key in self._stored:
                continue
            decoded = decode_value(entry.key, entry.value, CrashNews)
            if isinstance(decoded, Err):
                # Written by a newer version, which also removes it.
                self._stored[entry.key] = []
                reason = decoded.err_value.message
                log_event("crash_news_unreadable", key=entry.key, reason=reason)
                continue
            facts = facts_of(decoded.ok_value)
            self._stored[entry.key] = [fact.report_id for fact in facts]
            for fact in facts:
                self._apply_fact(fact)

    async def _ask_neighbour(self) -> None:
        """Ask another agent once how old the reports are, which the stored ones do not tell."""
        for _ in range(_MAX_NEIGHBOUR_TRIES):
            await trio.sleep(_NEIGHBOUR_PAUSE_S)
            others = [
                vm for vm in self._view.live_vms() if vm.vm_id != self._view.vm_id and vm.agent_port
            ]
            if not others:
                continue
            chosen = self._rng.choice(others)
            client = await self._pool.client(Address(chosen.host, chosen.agent_port))
            reply = await client.call(CrashesRequest(), _NEIGHBOUR_TIMEOUT_MS)
            match reply:
                case Ok(CrashesReply(news=news)):
                    for fact in facts_of(news):
                        self._apply_fact(fact)
                    return
                case Err(fault):
                    log_event(
                        "crash_reports_not_sent",
                        routine=True,
                        vm=chosen.vm_id,
                        code=fault.code.name,
                    )

    # --- programs --------------------------------------------------------------------------------

    async def _on_broken(self, message: BrokenRun, _peer: ServerPeer) -> None:
        if message.looks_whole and message.given_up:
            # The permit of an isolated run was returned; the run itself was reported before.
            if message.upstream_id in self._broken:
                self._broken[message.upstream_id].record_returned(message.work_id)
            return
        upstream = self._view.upstreams.get(message.upstream_id)
        is_watched = bool(self._broken.get(message.upstream_id))
        known = is_watched or self._has_just_ended(message.upstream_id)
        if not known and (upstream is None or upstream.leaving):
            # A leaving upstream has ended as planned, together with its runs.
            reason = "the upstream is unknown" if upstream is None else "the upstream is leaving"
            log_event(
                "broken_run_ignored",
                routine=True,
                upstream_id=message.upstream_id,
                work_id=message.work_id,
                reason=reason,
            )
            return
        broken_runs = self._broken.get(message.upstream_id)
        if broken_runs is None:
            # Imported at the first broken run to keep the start-up short.
            from fescuedock.core.broken_runs import BrokenRuns

            broken_runs = self._broken[message.upstream_id] = BrokenRuns()
            if self._nursery is not None:
                self._nursery.start_soon(self._check_contained, message.upstream_id)
        broken_runs.add(message, now_ms())

    async def _on_completed(self, message: WholeRun, _peer: ServerPeer) -> None:
        self._void_reports(message.work_id)

    def _void_reports(self, trait: str) -> None:
        """Void the crash reports against a trait of a run that completed."""
        reports = self._view.quarantine.reports_against(trait)
        if reports:
            self._publish(WorkCleared(_new_id(), trait, reports, self._unix_clock() * 1000))

    async def _on_request(self, message: CrashesRequest, _peer: ServerPeer) -> CrashesReply:
        seen = self._log.known_count(message.agent_boot, message.seen)
        with trio.move_on_after(min(message.wait_ms, _MAX_WAIT_MS) / 1000):
            while self._log.length <= seen:
                await self._changed.wait()
        return self._log.reply_after(seen, now_ms())

    # --- detection -------------------------------------------------------------------------------

    async def _check_contained(self, upstream_id: str) -> None:
        """Check an upstream; after an unexpected exception its broken runs are not reported."""
        checked = await run_contained(
            "upstream", self._check_upstream, upstream_id, upstream_id=upstream_id
        )
        if not checked:
            self._broken.pop(upstream_id, None)

    async def _check_upstream(self, upstream_id: str) -> None:
        """Report the runs that an upstream broke off, if it has ended."""
        broken_runs = self._broken[upstream_id]
        address: Address | None = None
        while len(broken_runs) or broken_runs.has_undecided:
            if self._has_just_ended(upstream_id):
                await self._report_end(upstream_id, refused=False)
                return
            upstream = self._view.upstreams.get(upstream_id)
            if upstream is not None:
                address = Address(upstream.host, upstream.port)
            is_relisted = upstream is None and self._is_listed(address)
            # The list alone does not show an end: the process may have been found before its entry
            # was, or the former process may have written the entry late.
            can_ask = is_relisted and self._process_query(upstream_id) is not None
            if upstream is None and not can_ask and (is_relisted or len(broken_runs)):
                await self._report_end(upstream_id, refused=False, replaced=is_relisted)
                return
            if upstream is not None and upstream.leaving:
                break
            started_ms = now_ms()
            if can_ask or broken_runs.needs_probe(started_ms):
                known_peer = self._found_peers.get(upstream_id)
                acceptance = await self._probe(upstream_id, address)
                if acceptance in (ConnectResult.REFUSED, ConnectResult.OTHER_PEER) or (
                    upstream is None and acceptance is not ConnectResult.EXPECTED_PEER
                ):
                    is_replaced = is_relisted or acceptance is ConnectResult.OTHER_PEER
                    await self._report_end(
                        upstream_id,
                        refused=upstream is not None or known_peer is not None,
                        replaced=is_replaced and known_peer is None,
                    )
                    return
                if acceptance is not ConnectResult.UNKNOWN:
                    identified = acceptance is ConnectResult.EXPECTED_PEER
                    broken_runs.record_up(started_ms, identified=identified)
            settled_ms = now_ms()
            for run in broken_runs.drain_complete(settled_ms):
                self._record_completed_run(run, settled_ms)
            await trio.sleep(broken_runs.pause_ms(now_ms()) / 1000)
        del self._broken[upstream_id]
        log_event(
            "upstream_not_ended", routine=True, upstream_id=upstream_id, runs=len(broken_runs)
        )

    def _record_completed_run(self, run: BrokenRun, settled_ms: float) -> None:
        """Record that a run that looked complete is complete, as its upstream keeps running."""
        self._view.sound_parts.record(run.parts, settled_ms)
        for trait in (run.work_id, *run.parts):
            self._void_reports(trait)

    def _withdraw_completed_run(self, run: BrokenRun, settled_ms: float) -> BrokenRun:
        """Withdraw the proof by a run that was not complete; return it without sound parts."""
        sound_parts = self._view.sound_parts
        if run.looks_whole:
            sound_parts.withdraw(run.parts, settled_ms)
        return msgspec.structs.replace(run, parts=sound_parts.unknown_among(run.parts, now_ms()))

    async def _report_end(self, upstream_id: str, *, refused: bool, replaced: bool = False) -> None:
        """Report the runs at an upstream when it ended.

        If its process is found to be ``replaced``, that may have happened some time ago, and other
        agents may have found the end then.
        """
        if not self._has_just_ended(upstream_id):
            self._ended_ms[upstream_id] = now_ms()
        if not self._broken[upstream_id].has_isolated:
            # Nothing runs concurrently with an isolated run, and its retry may be imminent.
            await trio.sleep(_GATHER_PAUSE_S)
        broken_runs = self._broken.pop(upstream_id)
        broken = broken_runs.drain_ended(
            refused=refused, other_peer=upstream_id in self._found_peers
        )
        if replaced:
            broken += [
                self._withdraw_completed_run(run, settled_ms)
                for settled_ms, run in broken_runs.drain_replaced()
            ]
        runs = [
            CrashedRun(item.work_id, item.alone, item.begun, item.given_up, item.parts, item.owed)
            for item in broken
            if item.work_id
        ]
        if not runs and self._view.has_just_ended(upstream_id):
            return
        number = self._view.quarantine.crash_number(upstream_id, now_ms(), found_late=replaced)
        self._publish(
            CrashReport(
                _new_id(), upstream_id, self._unix_clock() * 1000, runs, crash_number=number
            )
        )

    def _has_just_ended(self, upstream_id: str) -> bool:
        ended_ms = self._ended_ms.get(upstream_id, float("-inf"))
        return now_ms() - ended_ms <= _SAME_END_WINDOW_MS

    def _is_listed(self, address: Address | None) -> bool:
        """Whether any upstream is listed at an address."""
        upstreams = self._view.upstreams.values()
        return any(Address(item.host, item.port) == address for item in upstreams)

    async def _probe(self, upstream_id: str, address: Address) -> ConnectResult:
        """Return whether an upstream accepts connections, and a little later still is the same.

        Another process that is found counts as the expected one in later probes.
        """
        acceptance = await self._http.try_connect(address)
        if acceptance is not ConnectResult.ACCEPTED:
            return acceptance
        await trio.sleep(_SECOND_CONNECT_DELAY_S)
        query = self._process_query(upstream_id)
        if query is None:
            return await self._http.try_connect(address)
        peer: str | None = None

        def read_peer(status: int, body: bytes) -> str | None:
            nonlocal peer
            peer = query.read_peer(status, body)
            return peer

        expected = self._found_peers.get(upstream_id, query.expected)
        asked = msgspec.structs.replace(query, read_peer=read_peer, expected=expected)
        acceptance = await self._http.try_connect(address, asked)
        if acceptance is ConnectResult.OTHER_PEER and peer is not None:
            self._found_peers[upstream_id] = peer
        return acceptance

    # --- sharing ---------------------------------------------------------------------------------

    def _publish(self, fact: CrashFact) -> None:
        """Apply a fact detected here, and queue it for sending and storage."""
        self._apply_fact(fact)
        self._unsent.append(fact)
        if not isinstance(fact, CrashReport) or fact.runs:
            # That an upstream ended without runs matters only for seconds, so it is not stored.
            self._to_write.append(fact)
        self._wake_sender()

    def _wake_sender(self) -> None:
        self._new_facts.set()
        self._new_facts = trio.Event()

    async def _handle_crashes(self, message: CrashNews, _peer: ServerPeer) -> None:
        facts = [fact for fact in facts_of(message) if self._apply_fact(fact)]
        if message.relay and facts:
            self._to_relay += facts
            self._wake_sender()

    def _apply_fact(self, fact: CrashFact) -> bool:
        if not self._log.record(fact, now_ms()):
            return False
        self._view.notify_quarantine_changed()
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
        verdict = self._view.quarantine.verdict(trait, now_ms())
        log_event(
            "work_suspected",
            routine=verdict.crashes < 2,
            work_id=trait,
            crashes=verdict.crashes,
            standing=verdict.restriction.name,
        )

    async def _send_forever(self) -> None:
        while True:
            while not self._unsent and not self._to_relay:
                await self._new_facts.wait()
            found, self._unsent = self._unsent, []
            relayed, self._to_relay = self._to_relay, []
            vms = self._view.live_vms()
            if found:
                targets = receivers_of(self._view.vm_id, found[0].report_id, vms)
                await self._push(targets.direct, self._message(found))
                await self._push(targets.relays, self._message(found, relay=True))
            if relayed:
                own = self._view.vms.get(self._view.vm_id)
                same_domain = [vm for vm in vms if own and vm.failure_domain == own.failure_domain]
                await self._push(same_domain, self._message(relayed))

    async def _push(self, vms: Iterable[VmRecord], message: CrashNews) -> None:
        for vm in vms:
            if vm.vm_id != self._view.vm_id and vm.agent_port:
                client = await self._pool.client(Address(vm.host, vm.agent_port))
                client.push(message)

    async def _write_forever(self) -> None:
        """Write the facts detected here; those of the same pause are written together.

        When a failure domain is lost, each node with work there detects many ended upstreams.
        """
        while True:
            while not self._to_write:
                await self._new_facts.wait()
            facts, self._to_write = self._to_write, []
            await self._write(facts)
            await trio.sleep(_WRITE_PAUSE_S * self._rng.uniform(0.5, 1.5))

    async def _write(self, facts: list[CrashFact]) -> None:
        key = f"{self._prefix}{_new_id()}"
        value = msgspec.msgpack.encode(self._message(facts))
        pauses = ExponentialBackoff(_FIRST_PAUSE_MS, _MAX_PAUSE_MS)
        while True:
            written = await self._kv.put_if(key, value, 0)
            # A conflict means that an earlier write was applied and only its answer was lost.
            if not isinstance(written, Err) or written.err_value.code is ResultCode.KV_CONFLICT:
                return
            if written.err_value.code is ResultCode.KV_VALUE_TOO_LARGE:
                log_event("crash_news_too_large", facts=len(facts), size_bytes=len(value))
                half = len(facts) // 2
                if half:
                    await self._write(facts[:half])
                    await self._write(facts[half:])
                return
            await pauses.wait()

    async def _remove_expired(self) -> None:
        """Remove expired reports from the key-value service; all agents choose one to do it."""
        vm_ids = [vm.vm_id for vm in self._view.live_vms()]
        for key, names in list(self._stored.items()):
            if not names or any(map(self._view.quarantine.knows, names)):
                continue
            # The key stays known, so that its facts are not applied again.
            self._stored[key] = []
            if choose_name(key, vm_ids) == self._view.vm_id:
                await self._remove(key)

    async def _remove(self, key: str) -> None:
        """Remove a key.

        Keys are written only once; if the removal fails, the next read finds the key again.
        """
        read = await self._kv.get(key)
        entry = None if isinstance(read, Err) else read.ok_value
        if entry is not None:
            await self._kv.delete_if(key, entry.mod_revision)

    def _message(self, facts: Iterable[CrashFact], *, relay: bool = False) -> CrashNews:
        return message_of(facts, self._view.quarantine, now_ms(), relay=relay)


def _new_id() -> str:
    return token_hex(_REPORT_ID_BYTES)
