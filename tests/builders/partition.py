"""Nodes as processes, with a loopback proxy for each ordered pair, and cuts between groups."""

import os
import socket
import sys
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import trio

from fescuedock.address import Address
from fescuedock.net.http_client import NotSentError
from fescuedock.platform.standin.metadata_store import MetadataStoreService
from tests.builders.net import LOOPBACK
from tests.builders.node import NodeFleet, config_document
from tests.builders.ports import free_ports

__all__ = ["Network", "ProcessFleet", "running_processes"]

ROOT = Path(__file__).resolve().parent.parent.parent
_RECEIVE_BYTES = 65536


@dataclass(slots=True)
class Network:
    """The links between nodes; those in different ``groups`` carry nothing.

    ``receivers`` are further members, numbered after the nodes, that open no connections.
    Connections that a cut has silenced end when it does, as bytes of them are lost.
    """

    prefix: str
    port: int
    size: int
    groups: Mapping[int, int] = field(default_factory=dict)
    receivers: int = 0
    _silenced: set[trio.CancelScope] = field(default_factory=set)

    def host(self, node: int) -> str:
        return f"{self.prefix}.0.{node + 1}"

    def proxy_host(self, node: int, other: int) -> str:
        return f"{self.prefix}.{node + 1}.{other + 1}"

    def is_cut(self, node: int, other: int) -> bool:
        return self.groups.get(node, 0) != self.groups.get(other, 0)

    def cut(self, groups: Mapping[int, int]) -> None:
        """Leave only links within groups; nodes that are not named are in group 0."""
        self.groups = groups
        for scope in self._silenced:
            scope.cancel()

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Forward between all pairs until cancelled."""
        async with trio.open_nursery() as nursery:
            for node in range(self.size):
                for other in range(self.size + self.receivers):
                    if node != other:
                        await nursery.start(self._serve, node, other)
                        nursery.start_soon(self._datagrams, node, other)
            task_status.started()

    async def _serve(self, node: int, other: int, *, task_status: trio.TaskStatus) -> None:
        async def forward(near: trio.SocketStream) -> None:
            await self._forward(near, node, other)

        host = self.proxy_host(node, other)
        await trio.serve_tcp(forward, self.port, host=host, task_status=task_status)

    async def _forward(self, near: trio.SocketStream, node: int, other: int) -> None:
        async with near:
            try:
                far = await trio.open_tcp_stream(self.host(other), self.port)
            except OSError:
                return
            async with far, trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, near, far, node, other, scope)
                nursery.start_soon(self._pump, far, near, node, other, scope)
            self._silenced.discard(scope)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        node: int,
        other: int,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(_RECEIVE_BYTES):
                if self.is_cut(node, other):
                    self._silenced.add(scope)
                elif scope not in self._silenced:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # An end that was reset ends the other one as well.
            scope.cancel()
        if not self.is_cut(node, other):
            scope.cancel()

    async def _datagrams(self, node: int, other: int) -> None:
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as proxy:
            await proxy.bind((self.proxy_host(node, other), self.port))
            while True:
                data, (host, _) = await proxy.recvfrom(_RECEIVE_BYTES)
                if self.is_cut(node, other):
                    continue
                # Answers go to where a datagram came from, which is this proxy.
                target = node if host == self.host(other) else other
                try:
                    await proxy.sendto(data, (self.host(target), self.port))
                except OSError:
                    # Its process is not there just now.
                    continue


@dataclass(slots=True)
class ProcessFleet(NodeFleet):
    """A fleet whose nodes are processes; ``fronts`` by node."""

    network: Network | None = None
    folder: Path = Path()
    fronts: list[Address] = field(default_factory=list)
    directories: list[Address] = field(default_factory=list)
    processes: list[trio.Process] = field(default_factory=list)

    async def open_process(self, number: int) -> trio.Process:
        """Start a node from its settings file; its log continues in the same file."""
        file = self.folder / f"node-{number}.ini"
        command = [sys.executable, "-m", "tests.builders.partitioned_node"]
        async with await trio.open_file(file.with_suffix(".log"), "ab") as log:
            return await trio.lowlevel.open_process(
                [*command, str(file), str(number + 1)],
                cwd=ROOT,
                stdout=log.wrapped,
                stderr=log.wrapped,
            )

    async def restart(self, number: int, *, planned: bool) -> None:
        """Stop a node, or kill it, and start it again."""
        process = self.processes[number]
        if planned:
            process.terminate()
        else:
            process.kill()
        await process.wait()
        self.processes[number] = await self.open_process(number)

    async def wait_known(self, number: int) -> None:
        """Wait until a node is ready and knows all others."""
        while True:
            try:
                answer = await self.call(self.directories[number], "GET", "/api/resolve?name=x")
            except (OSError, NotSentError):
                answer = None
            known = answer.json()["addresses"] if answer and answer.status == 200 else ()
            if len(known) == len(self.processes):
                return
            await trio.sleep(0.05)


_SETTINGS = """\
[vm]
vm_id = node-{number}
host = {host}
region = caldas
failure_domain = sala-{domain}
log_file = -

[node]
front_address = {host}:{ports[0]}
ready_address = {host}:{ports[1]}
directory_address = {host}:{ports[2]}
store_address = {store}
seeds = {seeds}
stop_timeout_s = 3
{extra}

[agent]
port = {port}
probe_interval_ms = 300
suspicion_ms = 1000
permit_valid_ms = 1500

[permits]
ended_batch_ms = 2
"""


@asynccontextmanager
async def running_processes(
    folder: Path, nodes: int, upstreams: int, extra: str = ""
) -> AsyncIterator[ProcessFleet]:
    """Run ``nodes`` processes that know each other; logs are in ``folder``."""
    prefix = f"127.{20 + os.getpid() % 200}"
    network = Network(prefix, free_ports(1)[0], nodes)
    store = MetadataStoreService()
    async with trio.open_nursery() as nursery:
        await nursery.start(store.run, LOOPBACK)
        await nursery.start(network.run)
        fleet = ProcessFleet(store, [], nursery, network=network, folder=folder)
        fleet.configure(config_document())
        for number in range(upstreams):
            await fleet.start_upstream(f"i-{number}")
        try:
            for number in range(nodes):
                host, ports = network.host(number), free_ports(3, network.host(number))
                text = _SETTINGS.format(
                    number=number,
                    host=host,
                    domain=number % 3,
                    ports=ports,
                    store=store.address,
                    seeds=",".join(f"{network.host(seed)}:{network.port}" for seed in range(2)),
                    port=network.port,
                    extra=extra,
                )
                file = trio.Path(folder / f"node-{number}.ini")
                await file.write_text(text, encoding="utf-8")
                fleet.fronts.append(Address(host, ports[0]))
                fleet.directories.append(Address(host, ports[2]))
                fleet.processes.append(await fleet.open_process(number))
            for number in range(nodes):
                await fleet.wait_known(number)
            yield fleet
        finally:
            for process in fleet.processes:
                if process.returncode is None:
                    process.kill()
            with trio.CancelScope(shield=True):
                for process in fleet.processes:
                    await process.wait()
                await fleet.http.close()
        nursery.cancel_scope.cancel()
