"""Measure one real agent process in a large fleet: a section of bench.fleet.

A generator sends the messages of its peers; three programs of its VM follow its view, and stand-ins
serve the VM list and the key-value service.
"""

import itertools
import os
import random
import socket
import subprocess
import sys
import tempfile
from contextlib import contextmanager
from pathlib import Path

import trio

from bench.slopes import Slope
from fescuedock.address import Address
from fescuedock.agent.codec import open_codec
from fescuedock.agent.link import open_agent_link
from fescuedock.backing.vm_list import ROLE_SYSTEM, ROLE_UPSTREAM, ListedVm
from fescuedock.core.membership.table import MemberTable, bucket_of
from fescuedock.net.codec import BadMessageError
from fescuedock.net.udp import UdpSocket, open_udp
from fescuedock.schema.membership import (
    DatagramHead,
    Gossip,
    MemberState,
    Probe,
    ProbeAck,
    ProbeReport,
    ProbeRequest,
    SyncReply,
    SyncRequest,
    VmProfile,
    VmUpdate,
)
from fescuedock.schema.settings import AgentSettings, VmSettings
from fescuedock.schema.view import Program
from fescuedock.settings import Settings
from tests.builders.standins import running_standins

__all__ = ["measure_agent"]

_PEERS = 369
_UPSTREAMS = 690
_UPSTREAMS_SMALL = 20
_WARM_S = 4
_MEASURE_S = 5
_UPDATES_IN_SYNC = 8
_AGENT = "vm-000"


class _Peers:
    """All other VMs of the fleet, served by one socket on every address of 127.0.0.0/8."""

    def __init__(self, count: int, udp: UdpSocket, agent: Address, codec) -> None:
        self._udp = udp
        self._agent = agent
        self._codec = codec
        self._rng = random.Random(1)
        self._sequences = itertools.count(1)
        self._records = {f"peer-{i:03d}": self._record(i) for i in range(1, count + 1)}
        self._table = MemberTable()
        for record in self._records.values():
            self._table.apply(record, 0.0)
        self.received = 0
        self.received_bytes = 0
        self.sent = 0
        self.sent_bytes = 0

    def listed(self) -> list[ListedVm]:
        return [
            ListedVm(
                name,
                ROLE_SYSTEM,
                "region",
                item.profile.failure_domain,
                item.profile.host,
                item.profile.agent_port,
            )
            for name, item in self._records.items()
        ]

    async def answer_forever(self) -> None:
        while True:
            for data, source in await self._udp.receive():
                if source == self._agent:
                    self.received += 1
                    self.received_bytes += len(data)
                    self._answer(data)

    async def probe_forever(self, updates_per_s: float) -> None:
        """Send the messages that a VM receives each second: one probe, and gossip about changes."""
        while True:
            self._send(Probe, self._rng.choice(list(self._records)), self._rng.getrandbits(40), [])
            await trio.sleep(0.5)
            count = int(updates_per_s)
            if count:
                names = self._rng.sample(list(self._records), count)
                updates = [self._next_update(name) for name in names]
                # A VM receives each change from about three peers while it spreads.
                for _ in range(3):
                    self._send(Gossip, self._rng.choice(list(self._records)), updates[:7])
            await trio.sleep(0.5)

    def _answer(self, data: bytes) -> None:
        try:
            message = self._codec.decode(data)
        except BadMessageError:
            return
        for update in getattr(message, "updates", ()):
            self._table.apply(update, 0.0)
        name = message.head.receiver
        if name not in self._records:
            return
        match message:
            case Probe(nonce=nonce):
                self._send(ProbeAck, name, nonce, [self._records[name]])
            case ProbeRequest(nonce=nonce):
                self._send(ProbeReport, name, nonce, True, [])
            case SyncRequest(bucket_hashes=bucket_hashes):
                self._answer_sync(name, bucket_hashes)

    def _answer_sync(self, name: str, bucket_hashes: list[int]) -> None:
        own = self._table.bucket_hashes()
        chosen = [
            member.update()
            for member in self._table
            if own[bucket_of(member.vm_id)] != bucket_hashes[bucket_of(member.vm_id)]
        ]
        for start in range(0, max(1, len(chosen)), _UPDATES_IN_SYNC):
            has_more = start + _UPDATES_IN_SYNC < len(chosen)
            self._send(SyncReply, name, has_more, chosen[start : start + _UPDATES_IN_SYNC])

    def _next_update(self, name: str) -> VmUpdate:
        old = self._records[name]
        profile = VmProfile(*[getattr(old.profile, item) for item in VmProfile.__struct_fields__])
        profile.entry_load = (profile.entry_load + 1) % 8
        self._records[name] = VmUpdate(name, old.incarnation + 1, MemberState.ALIVE, [], profile)
        self._table.apply(self._records[name], 0.0)
        return self._records[name]

    def _send(self, kind, sender: str, *fields) -> None:
        head = DatagramHead(sender, _AGENT, 1, next(self._sequences), 0)
        data = self._codec.encode(kind(head, *fields))
        self.sent += 1
        self.sent_bytes += len(data)
        self._udp.send(data, self._agent)

    def _record(self, number: int) -> VmUpdate:
        host = f"127.1.{number // 250}.{number % 250 + 1}"
        profile = VmProfile(
            "region",
            f"domain-{number % 7}",
            host,
            self._udp.address.port,
            8080,
            8081,
            0,
            ["entry", "agent", "batch"],
            2,
            0,
            True,
        )
        return VmUpdate(f"peer-{number:03d}", 1, MemberState.ALIVE, [], profile)


def measure_agent() -> dict[str, Slope]:
    """Measure the process in a small idle fleet, and in a large one with changes each second."""
    slopes: dict[str, Slope] = {}
    print("VMs | upstreams | changes/s | CPU | RSS MB | datagrams/s in, out | bytes/s in, out")
    cases = ((9, _UPSTREAMS_SMALL, 0), (_PEERS + 1, _UPSTREAMS, 4))
    for vms, upstreams, changes in cases:
        row = trio.run(_measure, vms - 1, upstreams, changes)
        print(
            f"{vms} | {upstreams} | {changes} | {row['cpu']:.2%} | {row['rss_mb']:.0f} | "
            f"{row['in']:.1f}, {row['out']:.1f} | {row['in_bytes']:.0f}, {row['out_bytes']:.0f}",
            flush=True,
        )
        command = "python -m bench.fleet --record agent"
        method = (
            f"one agent process, {vms} VMs, {upstreams} upstreams, {changes} changes/s, "
            f"3 programs linked, over {_MEASURE_S} s"
        )
        name = f"agent_{vms}_{changes}"
        slopes[f"{name}_cpu"] = Slope(round(row["cpu"], 4), "share of a core", command, method)
        slopes[f"{name}_rss"] = Slope(round(row["rss_mb"], 1), "MB", command, method)
        total = row["in_bytes"] + row["out_bytes"]
        slopes[f"{name}_bytes"] = Slope(round(total), "UDP bytes/s in and out", command, method)
    return slopes


async def _measure(peer_count: int, upstreams: int, changes: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder, open_udp(Address("0.0.0.0", 0)) as udp:
        async with running_standins(engines=0, plain_services=0) as standins:
            settings = _settings(Path(folder), standins)
            agent = Address(settings.vm.host, settings.agent.port)
            peers = _Peers(peer_count, udp, agent, open_codec(settings.vm))
            for vm in (*peers.listed(), *_upstreams(upstreams)):
                standins.vm_list.add(vm)
            with _process(settings, Path(folder)) as process:
                try:
                    return await _measure_in_fleet(
                        settings, peers, process.pid, peer_count, changes
                    )
                except* trio.TooSlowError:
                    log = (Path(folder) / "log").read_text(encoding="utf-8")
                    raise RuntimeError(f"the agent ended with {process.poll()}: {log}") from None


async def _measure_in_fleet(
    settings: Settings, peers: _Peers, pid: int, peer_count: int, changes: int
) -> dict[str, float]:
    """Simulate the rest of the fleet and of the VM while the process is measured."""
    codec = open_codec(settings.vm)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(peers.answer_forever)
        nursery.start_soon(peers.probe_forever, changes)
        for number, program in enumerate((Program.ENTRY, Program.BATCH, Program.STORE)):
            nursery.start_soon(_follow, settings, codec, program, 8080 + number)
        await _wait_joined(settings, codec, peer_count)
        await trio.sleep(_WARM_S)
        row = await _usage(pid, peers)
        nursery.cancel_scope.cancel()
    return row


async def _usage(pid: int, peers: _Peers) -> dict[str, float]:
    before = _cpu_s(pid), peers.received, peers.received_bytes, peers.sent, peers.sent_bytes
    started_s = trio.current_time()
    await trio.sleep(_MEASURE_S)
    elapsed_s = trio.current_time() - started_s
    after = _cpu_s(pid), peers.received, peers.received_bytes, peers.sent, peers.sent_bytes
    names = ("cpu", "out", "out_bytes", "in", "in_bytes")
    rates = [(late - early) / elapsed_s for early, late in zip(before, after, strict=True)]
    return dict(zip(names, rates, strict=True)) | {"rss_mb": _rss_mb(pid)}


async def _follow(settings: Settings, codec, program: Program, port: int) -> None:
    async with open_agent_link(settings, codec, program, port, lambda: True):
        await trio.sleep_forever()


async def _wait_joined(settings: Settings, codec, peer_count: int) -> None:
    async with open_agent_link(settings, codec, Program.ENTRY, 8080, lambda: True) as (_, view):
        with trio.fail_after(60):
            while len(view.vms) < peer_count + 1:
                await view.wait_changed(view.version)


def _settings(folder: Path, standins) -> Settings:
    keys = folder / "keys"
    keys.write_text("k1 " + "5a" * 32 + "\n", encoding="ascii")
    port = _free_port("127.0.0.1")
    vm = VmSettings(_AGENT, "127.0.0.1", "region", "domain-0", key_file=str(keys))
    platform = standins.platform_settings()
    return Settings(vm=vm, platform=platform, agent=AgentSettings(port=port))


def _free_port(host: str) -> int:
    """Return a port that is free for both TCP and UDP."""
    while True:
        with open_udp(Address(host, 0)) as udp, socket.socket() as tcp:
            try:
                tcp.bind((host, udp.address.port))
            except OSError:
                continue
            return udp.address.port


def _upstreams(count: int) -> list[ListedVm]:
    return [
        ListedVm(
            f"worker-{i:04d}",
            ROLE_UPSTREAM,
            "region",
            f"domain-{i % 7}",
            "127.0.0.1",
            9,
            kind="engine",
            service="demo-llm",
        )
        for i in range(count)
    ]


@contextmanager
def _process(settings: Settings, folder: Path):
    """Run the agent in its own process, as in a deployment; yield the process."""
    file = folder / "vm.ini"
    sections = {
        "vm": settings.vm,
        "platform": settings.platform,
        "agent": settings.agent,
    }
    lines: list[str] = []
    for name, section in sections.items():
        lines.append(f"[{name}]")
        lines += [f"{item} = {getattr(section, item)}" for item in section.__struct_fields__]
    file.write_text("\n".join(lines) + "\n", encoding="utf-8")
    command = [sys.executable, "-c", "from fescuedock.agent.main import main; main()", str(file)]
    with open(folder / "log", "w", encoding="utf-8") as log:
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=log)
        try:
            yield process
        finally:
            process.kill()
            process.wait()


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _rss_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
