"""Starts the project's programs with the commands of the deploy file, on loopback addresses."""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import tomllib
from pathlib import Path

from standins import MetadataStore, Record, Worker, request

ROOT = Path(__file__).resolve().parents[2]
HOST, SERVICE = "nony24.example", "huvo11a"
ZONES = ("sala-chipre", "sala-palermo", "sala-villamaria")
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
STREAM = {
    "name": "r-stream",
    "host": HOST,
    "prefix": "/lohu930/",
    "kind": "stream",
    "timeoutMs": 5000,
    "targetLatencyMs": 300,
    "priority": 0,
    "service": SERVICE,
    "maxAttempts": 2,
    "sessionAffinity": True,
    "resumable": True,
    "gapTargetMs": 300,
}
BATCH = {
    "name": "r-batch",
    "host": HOST,
    "prefix": "/pule252/",
    "kind": "batch",
    "timeoutMs": 15000,
    "targetLatencyMs": 400,
    "priority": 2,
    "service": SERVICE,
    "maxAttempts": 3,
    "sessionAffinity": True,
    "resumable": True,
    "gapTargetMs": 300,
    "dueMs": 18000,
    "retentionS": 60,
}


def configuration(slots, version=1, routes=(STREAM, BATCH)):
    engine = {"slots": slots, "kvCapacityTokens": 134354, "models": [{"name": "m"}]}
    service = {"name": SERVICE, "healthPath": "/health", "maxConnections": 370, "engine": engine}
    document = {"version": version, "routes": list(routes), "services": [service]}
    return json.dumps(document | {"limits": LIMITS}).encode()


def _loopback():
    return f"127.{random.randrange(16, 250)}.{random.randrange(250)}"


def _free_port(hosts, taken):
    while True:
        port = random.randrange(20000, 32000)
        if port in taken:
            continue
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        stack.enter_context(socket.socket(socket.AF_INET, kind)).bind((host, port))
            except OSError:
                continue
        taken.add(port)
        return port


class Node:
    """One process: its settings file, its log, and its process while it runs."""

    def __init__(self, fleet, role, name, host, zone):
        self.fleet, self.role, self.name, self.host, self.zone = fleet, role, name, host, zone
        self.process = None
        self.starts = 0
        self.log_path = fleet.folder / f"{name}.log"
        self.ini = fleet.folder / f"{name}.ini"
        self.ini.write_text(self._settings(), encoding="utf-8")

    @property
    def front(self):
        return f"{self.host}:{self.fleet.ports['front']}"

    def _settings(self):
        ports, store = self.fleet.ports, self.fleet.store_address
        vm = f"[vm]\nvm_id = {self.name}\nhost = {self.host}\nregion = caldas\n"
        vm += f"failure_domain = {self.zone}\nlog_file = -\n"
        agent = f"[agent]\nport = {ports['agent']}\n"
        if self.role == "spool":
            data = self.fleet.folder / f"{self.name}-data"
            data.mkdir(exist_ok=True)
            spool = f"[spool]\ndata_dir = {data}\nstore_address = {store}\n"
            return f"{vm}\n{spool}store_value_bytes = 1048576\n\n{agent}"
        seeds = ",".join(f"{host}:{ports['control']}" for host in self.fleet.node_hosts[:3])
        node = "[node]\n"
        for name in ("front", "ready", "directory", "control"):
            node += f"{name}_address = {self.host}:{ports[name]}\n"
        node += f"store_address = {store}\nstore_value_bytes = 1048576\nseeds = {seeds}\n"
        node += "stop_timeout_s = 8\nend_bound_ms = 3000\n"
        node += f"metrics_port = {ports['metrics']}\nquota_over_share = 0.1\nspool_losses = 1\n"
        agent += "probe_interval_ms = 300\nsuspicion_ms = 1000\npermit_valid_ms = 1500\n"
        permits = "[permits]\nmax_limit = 64\nended_batch_ms = 2\nadjust_ms = 200\n"
        return f"{vm}\n{node}\n{agent}\n{permits}"

    async def start(self):
        command = self.fleet.deploy["roles"][self.role]["run"].split()
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"FESCUEDOCK_SETTINGS": str(self.ini), "PYTHONPATH": str(ROOT / "target/deps")}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
            )
        self.starts += 1
        self.fleet.record.add("process started", name=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.process.returncode is None:
            self.fleet.record.add("signal", name=self.name, signal=signal.Signals(number).name)
            self.process.send_signal(number)

    async def ended(self, timeout_s):
        """Wait for the end of the process; SIGKILL after ``timeout_s``, as the platform does."""
        try:
            await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.fleet.record.add("process ended", name=self.name, code=self.process.returncode)

    async def is_ready(self):
        address = f"{self.host}:{self.fleet.ports['ready']}"
        status, _, _ = await request(address, "GET", "/api/ready", {"Host": address}, timeout_s=1)
        return status == 200

    async def wait_ready(self, timeout_s=20):
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def log_events(self, kind):
        """Return the log's events of one kind."""
        found = []
        for line in self.log_path.read_text(encoding="utf-8", errors="replace").splitlines():
            if kind in line:
                with contextlib.suppress(ValueError):
                    found.append(json.loads(line))
        return found


class WorkerProcess:
    """A worker in a process of its own; this side registers it while the process runs."""

    def __init__(self, fleet, number, host, config):
        self.fleet, self.number, self.host, self.config = fleet, number, host, config
        self.process = None
        self.starts = 0
        self.name = ""

    async def start(self):
        """Start it as a new incarnation with a new id, and wait until it serves."""
        self.starts += 1
        self.name = f"i-{self.number:04x}{self.starts:04x}"
        address = f"{self.host}:{self.fleet.ports['worker']}"
        program = str(Path(__file__).with_name("worker_process.py"))
        self.process = await asyncio.create_subprocess_exec(
            "python3", program, address, self.name, json.dumps(self.config),
            stdout=asyncio.subprocess.PIPE, stdin=asyncio.subprocess.DEVNULL,
        )
        await self._record_line()
        self.fleet.tasks.append(asyncio.ensure_future(self._follow(self.process)))
        self.fleet.tasks.append(asyncio.ensure_future(self._heartbeat(self.process)))

    async def _record_line(self):
        line = await self.process.stdout.readline()
        if line:
            fields = json.loads(line)
            self.fleet.record.add(fields.pop("what"), **fields)
            self.fleet.on_worker_line(fields)
        return bool(line)

    async def _follow(self, process):
        while process is self.process and await self._record_line():
            pass

    async def _heartbeat(self, process):
        name, zone = self.name, ZONES[self.number % 3]
        worker = Worker(self.fleet.record, self.fleet.store, name, SERVICE, zone)
        worker.address = f"{self.host}:{self.fleet.ports['worker']}"
        while process.returncode is None:
            worker.register("ready")
            await asyncio.sleep(1.2)
        # A worker that crashes sends nothing; its entry lapses after three silent intervals.
        await asyncio.sleep(2 * 1.2)
        self.fleet.store.remove(f"servers/{name}")

    async def kill(self):
        self.fleet.record.add("worker killed", worker=self.name, pid=self.process.pid)
        self.process.kill()
        await self.process.wait()


class Fleet:
    """A small deployment: nodes, spools, workers and the store, in a temporary folder."""

    def __init__(
        self, folder, record_path, nodes=4, spools=3, workers=3, slots=8, worker_configs=None
    ):
        """With ``worker_configs`` each worker is a process of its own."""
        self.folder = Path(folder)
        self.slots = slots
        self.record = Record(record_path)
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        net = _loopback()
        self.node_hosts = [f"{net}.{10 + number}" for number in range(nodes)]
        spool_hosts = [f"{net}.{50 + number}" for number in range(spools)]
        worker_hosts = [f"{net}.{100 + number}" for number in range(workers)]
        hosts = [*self.node_hosts, *spool_hosts, *worker_hosts, f"{net}.7"]
        taken = set()
        names = ("front", "ready", "directory", "control", "agent", "metrics", "store", "worker")
        self.ports = {name: _free_port(hosts, taken) for name in names}
        self.store_address = f"{net}.7:{self.ports['store']}"
        self.store = MetadataStore(self.record)
        self.nodes = [
            Node(self, "node", f"front-{number + 1}", host, ZONES[number % 3])
            for number, host in enumerate(self.node_hosts)
        ]
        self.spools = [
            Node(self, "spool", f"store-{number + 1}", host, ZONES[number % 3])
            for number, host in enumerate(spool_hosts)
        ]
        self.workers = [
            Worker(self.record, self.store, f"i-{number:08x}", SERVICE, ZONES[number % 3], slots)
            for number in range(1, workers + 1)
        ]
        self._worker_hosts = worker_hosts
        self.worker_processes = []
        self.on_worker_line = lambda fields: None
        if worker_configs is not None:
            self.workers = []
            self.worker_processes = [
                WorkerProcess(self, number, host, worker_configs[number - 1])
                for number, host in enumerate(worker_hosts, 1)
            ]
        self.tasks = []

    async def start(self):
        host, _, port = self.store_address.partition(":")
        await self.store.start(host, int(port))
        self.tasks.append(asyncio.ensure_future(self.store.expire_leases()))
        self.store.put("op/config", configuration(self.slots))
        for worker, worker_host in zip(self.workers, self._worker_hosts, strict=False):
            await worker.start(worker_host, self.ports["worker"])
            self.tasks.append(asyncio.ensure_future(worker.heartbeat()))
        for process in [*self.worker_processes, *self.spools, *self.nodes]:
            await process.start()
        for node in self.nodes:
            await node.wait_ready()

    async def stop(self):
        for process in [*self.nodes, *self.spools, *self.worker_processes]:
            if process.process is not None and process.process.returncode is None:
                process.process.kill()
                await process.process.wait()
        for task in self.tasks:
            task.cancel()

    def workers_busy(self):
        return sum(worker.running for worker in self.workers)

    def runs_begun(self):
        return sum(worker.runs for worker in self.workers)

    def runs_completed(self):
        """Return the ids of the requests that some worker finished."""
        return {name for worker in self.workers for name in worker.finished}

    async def call(self, node, method, target, headers=None, body=b"", timeout_s=5.0, note=""):
        """Make one client call and record what was sent and answered."""
        headers = {"Host": HOST, **(headers or {})}
        self.record.add("sent", to=node.name, method=method, target=target, note=note)
        status, fields, answer = await request(
            node.front, method, target, headers, body, timeout_s=timeout_s
        )
        shown = answer.decode("utf-8", "replace")
        self.record.add(
            "answered", by=node.name, target=target, status=status, body=re.sub(r"\s+", " ", shown)[:400]
        )
        return status, fields, answer
