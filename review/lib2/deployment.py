"""A small deployment on loopback addresses for the scripts of this review.

It has stand-ins for the platform's metadata store and for workers, written after PROTOCOL.md, and
starts the programs of the deploy file as processes with its commands and settings templates.  It
uses the standard library only.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, quote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("sala-chipre", "sala-palermo", "sala-villamaria")
REGION = "caldas"
SERVICE = "admision-llm"
HOST = "nony24.example"
# Values of the site emsp-clinica.
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "recoverS": 12,
    "finishS": 18,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
    "quotaOver": 0.1,
}
VALUE_BYTES = 1048576
HEARTBEAT_S = 1.2
SLOTS = 8


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began_s

    def add(self, text: str) -> None:
        line = f"{self.now():8.3f} s  {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


# --- HTTP --------------------------------------------------------------------------------------


class Request:
    """A request that a stand-in received."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {name: values[-1] for name, values in parse_qs(parts.query).items()}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return a complete answer."""
    fields = {"Content-Type": "application/json", "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (fields | (headers or {})).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Reply:
    """What a client got: status 0 for no answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, complete: bool) -> None:
        self.status, self.headers, self.body, self.complete = status, headers, body, complete

    def json(self) -> dict:
        return json.loads(self.body)


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.5,
) -> Reply:
    """Make one call on a new connection."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": HOST, "Content-Length": str(len(body))} | (headers or {})
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            return await read_reply(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return Reply(0, {}, b"", False)
    finally:
        if writer is not None:
            writer.close()


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {}
    for line in filter(None, head[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body, complete = b"", True
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ValueError, OSError):
        complete = False
    return Reply(status, headers, body, complete)


# --- the platform's metadata store -----------------------------------------------------------


class Store:
    """The metadata store.  ``mode`` is ``up``, or how it is down: ``silent`` or ``busy``."""

    def __init__(self, record: Record) -> None:
        self.mode = "up"
        self.items: dict[str, tuple[bytes, int, int, int]] = {}
        self.revision = 1
        # Revision, key, and the item or None for a removal.
        self.log: list[tuple[int, str, tuple[bytes, int, int, int] | None]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()
        self.address = ""
        self._record = record
        self._next_lease = 100

    async def start(self, host: str) -> None:
        server = await asyncio.start_server(self._serve, host, 0, limit=64 * 1024 * 1024)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"
        asyncio.get_running_loop().create_task(self._expire_forever())

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        self._write(key, value, lease)
        self._signal()

    def remove(self, key: str) -> None:
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._signal()

    def get(self, key: str) -> bytes | None:
        item = self.items.get(key)
        return None if item is None else item[0]

    def _write(self, key: str, value: bytes, lease: int) -> None:
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.log.append((self.revision, key, self.items[key]))

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.log.append((self.revision, key, None))

    def _signal(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (due_s, _) in list(self.leases.items()):
                if self.mode != "up":
                    # Leases pause while the store is down.
                    self.leases[lease] = (due_s + 0.05, self.leases[lease][1])
                elif due_s <= now_s:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if self.mode == "silent":
                    # The connection returns nothing any more.
                    await reader.read()
                    break
                await asyncio.sleep(0.004)
                if self.mode == "busy":
                    writer.write(answer(503))
                    continue
                data = await self._answer(request)
                if self.mode == "silent":
                    await reader.read()
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> bytes:
        name, _, argument = request.path.removeprefix("/api/").partition("/")
        query = request.query
        match request.method, name:
            case "GET", "kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return answer(404)
                return answer(200, json.dumps(self._item(query["key"], item)).encode())
            case "GET", "kv-range":
                keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
                keys = [key for key in keys if key > query.get("after", "")]
                found, size = [], 0
                for key in keys[:500]:
                    size += len(self.items[key][0])
                    if found and size > 1_000_000:
                        break
                    found.append(self._item(key, self.items[key]))
                body = {"items": found, "truncated": len(found) < len(keys), "asOf": self.revision}
                return answer(200, json.dumps(body).encode())
            case "GET", "kv-watch":
                return await self._watch(
                    query["prefix"], int(query["after"]), int(query["waitMs"]) / 1000
                )
            case "POST", "kv-txn":
                return self._transact(json.loads(request.body))
            case "POST", "kv-lease":
                ttl_ms = json.loads(request.body)["ttlMs"]
                self._next_lease += 1
                self.leases[self._next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
                return answer(
                    200, json.dumps({"lease": self._next_lease, "ttlMs": ttl_ms}).encode()
                )
            case "POST", "kv-keep":
                lease = int(argument)
                if lease not in self.leases:
                    return answer(404)
                ttl_ms = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
                return answer(200, json.dumps({"lease": lease, "ttlMs": ttl_ms}).encode())
            case "DELETE", "kv-lease-end":
                if int(argument) not in self.leases:
                    return answer(404)
                self._end_lease(int(argument))
                return answer(200, b"{}")
        return answer(404)

    async def _watch(self, prefix: str, after: int, wait_s: float) -> bytes:
        due_s = time.monotonic() + wait_s
        while True:
            events = [
                (
                    self._item(key, item)
                    if item is not None
                    else {"key": key, "revision": revision, "removed": True}
                )
                for revision, key, item in self.log
                if revision > after and key.startswith(prefix)
            ]
            left_s = due_s - time.monotonic()
            if events or left_s <= 0:
                body = {"events": events, "asOf": self.revision}
                return answer(200, json.dumps(body).encode())
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, request: dict) -> bytes:
        expected = request.get("expectRev", [])
        current = [(row["key"], self.items.get(row["key"])) for row in expected]
        for row, (_, item) in zip(expected, current, strict=True):
            if row["revision"] != (item[1] if item else 0):
                items = [self._item(key, item) for key, item in current if item]
                return answer(412, json.dumps({"items": items}).encode())
        writes = request.get("writes", [])
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return answer(404)
        self.revision += 1
        for row in writes:
            self._write(row["key"], base64.b64decode(row["value"]), row.get("lease") or 0)
        for key in request.get("remove", []):
            self._remove(key)
        self._signal()
        return answer(200, json.dumps({"revision": self.revision}).encode())

    def _item(self, key: str, item: tuple[bytes, int, int, int]) -> dict:
        value, revision, created, lease = item
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "createRev": created,
            "lease": lease,
        }


# --- workers ---------------------------------------------------------------------------------


class Worker:
    """A worker that writes ``events`` events for a request, ``pause_s`` apart, as a stream.

    ``runs`` lists the time, the request id and the ``Last-Event-Id`` of each run that began.
    """

    def __init__(self, record: Record, name: str, events: int = 20, pause_s: float = 0.05) -> None:
        self.record, self.name, self.events, self.pause_s = record, name, events, pause_s
        self.runs: list[tuple[float, str, str]] = []
        # Time, request id, duration in seconds and whether it was whole, of each run that ended.
        self.ended: list[tuple[float, str, float, bool]] = []
        self.running = 0
        self.address = ""
        # Called with each request before it runs; returns an answer that takes its place.
        self.intercept: Callable[[Request], Awaitable[bytes | None]] | None = None

    async def start(self, host: str) -> None:
        server = await asyncio.start_server(self.serve, host, 0, limit=8 * 1024 * 1024)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                await self.handle(request, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if request.path == "/health":
            writer.write(answer(200, b"{}", {"X-Instance-Id": self.name}))
            return
        if request.path == "/api/report":
            writer.write(answer(200, json.dumps(self.report()).encode()))
            return
        request_id = request.headers.get("x-request-id", "")
        if request.headers.get("x-expect-instance", self.name) != self.name:
            writer.write(answer(421, b"", {"X-Request-Id": request_id, "X-Not-Executed": "1"}))
            return
        replaced = None if self.intercept is None else await self.intercept(request)
        if replaced is not None:
            writer.write(replaced)
            await writer.drain()
            return
        if self.running >= SLOTS:
            writer.write(answer(503, b"", {"X-Request-Id": request_id, "X-Not-Executed": "1"}))
            return
        self.running += 1
        last = request.headers.get("last-event-id", "-1")
        self.runs.append((self.record.now(), request_id, last))
        self.record.add(f"worker {self.name} runs {request_id} after event {last}")
        began_s, is_whole = self.record.now(), False
        try:
            await self.run(request, request_id, int(last), writer)
            is_whole = True
        finally:
            self.running -= 1
            now_s = self.record.now()
            self.ended.append((now_s, request_id, now_s - began_s, is_whole))

    async def run(
        self, request: Request, request_id: str, last: int, writer: asyncio.StreamWriter
    ) -> None:
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {request_id}\r\nX-Response-Seal: seal.{request_id}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(last + 1, self.events):
            await asyncio.sleep(self.pause_s)
            event = self.event_bytes(request_id, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def event_bytes(self, request_id: str, number: int) -> bytes:
        return f"id: {number}\ndata: {event_text(request_id, number)}\n\n".encode()

    def report(self) -> dict:
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queueDepth": 0,
            "inFlight": self.running,
            "kvUsed": 0,
            "kvTotal": 134354,
            "handles": 0,
        }


def event_text(request_id: str, number: int) -> str:
    return f"{request_id} piece {number}"


def whole_text(request_id: str, events: int) -> str:
    return "\n".join(event_text(request_id, number) for number in range(events))


# --- the programs of the deploy file ----------------------------------------------------------


class Program:
    """One process of a role.  ``starts`` counts its starts, ``own_ends`` those it ended itself."""

    def __init__(self, name: str, run: str, settings: Path, folder: Path) -> None:
        self.name, self.run, self.settings = name, run, settings
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.own_ends = 0
        self.signalled = False
        self.wanted = True
        self.address: dict[str, str] = {}

    async def start(self) -> None:
        self.starts += 1
        self.signalled = False
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["FESCUEDOCK_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.run.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.signalled = True
            self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None


class Deployment:
    """The platform, its workers and the programs; use ``run_script``."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self.store = Store(record)
        self.workers: list[Worker] = []
        self.programs: dict[str, Program] = {}
        self.config_version = 0
        self._beats: list[asyncio.Task] = []
        self._watching: list[asyncio.Task] = []
        # Different for each run, so that runs side by side don't meet.
        self._net = f"127.{os.getpid() // 250 % 200 + 20}.{os.getpid() % 250 + 1}"
        self._next_host = 1
        # The same on all machines, as the seeds name the control port of each.
        names = ("front", "ready", "control", "directory", "internal")
        self._ports = dict(zip(names, free_ports(len(names)), strict=True))

    def host(self) -> str:
        self._next_host += 1
        return f"{self._net}.{self._next_host}"

    async def start_store(self) -> None:
        await self.store.start(self.host())

    def configure(self, routes: list[dict] | None = None) -> None:
        """Write a configuration as the operator does."""
        self.config_version += 1
        common = {"host": HOST, "service": SERVICE, "priority": 0, "sessionAffinity": True}
        default = [
            {"name": "r-1", "prefix": "/check/", "kind": "stream", "timeoutMs": 5000}
            | {"targetLatencyMs": 300, "gapTargetMs": 300, "maxAttempts": 2, "resumable": True},
            {"name": "r-2", "prefix": "/rights/", "kind": "stream", "timeoutMs": 5000}
            | {"targetLatencyMs": 300, "gapTargetMs": 300, "maxAttempts": 1, "resumable": False},
            {"name": "r-3", "prefix": "/letters/", "kind": "batch", "timeoutMs": 15000}
            | {"targetLatencyMs": 400, "maxAttempts": 3, "dueMs": 18000, "retentionS": 60.0},
        ]
        document = {
            "version": self.config_version,
            "routes": [common | route for route in routes or default],
            "services": [
                {"name": SERVICE, "healthPath": "/health", "maxConnections": 370, "protocol": "h1"}
                | {"tls": False, "engine": {"slots": SLOTS, "models": [{"name": "m"}]}}
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
            | {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        }
        self.store.put("op/config", json.dumps(document).encode())

    async def add_worker(self, worker: Worker, zone: str) -> None:
        await worker.start(self.host())
        self.workers.append(worker)
        self._beats.append(asyncio.create_task(self._beat(worker, zone)))

    async def _beat(self, worker: Worker, zone: str) -> None:
        sequence = 0
        while True:
            sequence += 1
            if self.store.mode == "up":
                entry = {
                    "service": SERVICE,
                    "address": worker.address,
                    "zone": zone,
                    "version": "1",
                    "slots": SLOTS,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "sequence": sequence,
                }
                self.store.put(f"servers/{worker.name}", json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def start_programs(self, fronts: int = 4, stores: int = 3) -> None:
        """Start the roles of the deploy file, and wait until each node is ready."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        front_hosts = [self.host() for _ in range(fronts)]
        seeds = [f"{host}:{self._ports['control']}" for host in front_hosts[:3]]
        machines = [("node", "front", i, host) for i, host in enumerate(front_hosts)]
        machines += [("spool", "store", i, self.host()) for i in range(stores)]
        for role, kind, number, host in machines:
            zone = ZONES[number % len(ZONES)]
            name = f"{kind}-{zone}-{number // len(ZONES) + 1}"
            data = self.folder / "disks" / name
            data.mkdir(parents=True)
            fields = self._settings(name, kind, host, zone, seeds, data)
            text = (ROOT / deploy[role]["template"]).read_text()
            path = self.folder / f"{name}.ini"
            path.write_text(render(text, fields))
            program = Program(name, deploy[role]["run"], path, self.folder)
            program.run = program.run.replace("python3", sys.executable, 1)
            program.address = fields.get("listen") or {}
            self.programs[name] = program
        for program in self.programs.values():
            await program.start()
            self._watching.append(asyncio.create_task(self._watch_program(program)))
        await self.wait_ready()

    def _settings(
        self, name: str, kind: str, host: str, zone: str, seeds: list[str], data: Path
    ) -> dict:
        ports = self._ports
        listen = {key: f"{host}:{port}" for key, port in ports.items() if key != "internal"}
        return {
            "nodeName": name,
            "role": kind,
            "machineClass": kind,
            "ip": host,
            "zone": zone,
            "region": REGION,
            "listen": listen if kind == "front" else {},
            "internalPorts": [ports["internal"], ports["internal"] + 15],
            "seeds": seeds,
            "bootstrap": True,
            "faultCounted": kind == "store",
            "dataDir": str(data) if kind == "store" else None,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": self.store.address, "valueBytes": VALUE_BYTES},
        }

    async def _watch_program(self, program: Program) -> None:
        """Start a process again after a short delay, whatever ended it."""
        while True:
            code = await program.process.wait()
            if not program.signalled:
                program.own_ends += 1
            self.record.add(
                f"process {program.name} ended with {code}"
                f"{'' if program.signalled else ' by itself'}"
            )
            await asyncio.sleep(0.5)
            if not program.wanted:
                return
            await program.start()
            self.record.add(f"process {program.name} was started again")

    @property
    def fronts(self) -> list[Program]:
        return [item for item in self.programs.values() if "front" in item.address]

    async def is_ready(self, program: Program) -> bool:
        reply = await call(program.address["ready"], "GET", "/api/ready", timeout_s=1.0)
        return reply.status == 200

    async def wait_ready(self, timeout_s: float = 25.0) -> None:
        due_s = time.monotonic() + timeout_s
        while time.monotonic() < due_s:
            ready = [await self.is_ready(program) for program in self.fronts]
            if all(ready):
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the nodes are not ready")

    async def close(self) -> None:
        for task in self._watching + self._beats:
            task.cancel()
        for program in self.programs.values():
            program.wanted = False
            if program.is_running:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
                await program.process.wait()


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens at 127.0.0.1 or at all addresses."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(12000, 30000, 16)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class CannotRunError(Exception):
    """The case could not be run."""


def render(text: str, fields: dict) -> str:
    """Fill in the placeholders and sections that the settings templates use."""

    def value_of(path: str) -> object:
        value: object = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def shown(value: object) -> str:
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(found: re.Match) -> str:
        value = value_of(found[1])
        return "" if value in (None, False) else found[2].replace("{{.}}", shown(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: shown(value_of(found[1])), text)


def job_body(items: list[dict]) -> bytes:
    return json.dumps({"items": items}).encode()


def item(item_id: str, headers: dict[str, str] | None = None) -> dict:
    fields = {"X-Model": "m", "X-Token-Count": "350,250"}
    fields["X-Prompt-Prefix"] = f"9c2e41:100,{item_id}:250"
    return {
        "id": item_id,
        "path": f"/letters/3/{item_id}",
        "headers": fields | (headers or {}),
        "body": base64.b64encode(f"letter {item_id}".encode()).decode(),
        "tokens": 600,
    }


async def submit(
    deployment: Deployment, front: Program, job_id: str, items: list[dict], timeout_s: float = 4.0
) -> Reply:
    headers = {"X-Request-Id": job_id, "Content-Type": "application/json"}
    headers["X-Deadline-Ms"] = str(int(timeout_s * 1000))
    reply = await call(
        front.address["front"], "POST", f"/letters/{job_id}", headers, job_body(items), timeout_s
    )
    deployment.record.add(f"client submits job {job_id} at {front.name}: {reply.status}")
    return reply


async def read_job(front: Program, job_id: str, after: int = 0) -> Reply:
    return await call(front.address["front"], "GET", f"/api/lots/{quote(job_id)}?after={after}")


async def end_job(
    deployment: Deployment, front: Program, job_id: str, timeout_s: float = 4.0
) -> Reply:
    target = f"/api/lots/{quote(job_id)}"
    reply = await call(front.address["front"], "DELETE", target, timeout_s=timeout_s)
    deployment.record.add(f"client ends job {job_id} at {front.name}: {reply.status}")
    return reply


def run_script(
    folder: Path, play: Callable[[Deployment, bool], Awaitable[bool]], limit_s: float = 110.0
) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    ``play`` gets the deployment and whether the disruption is played, and returns whether the rule
    was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        record = Record(folder / "record.txt")
        temporary = Path(tempfile.mkdtemp(prefix="review-"))
        deployment = Deployment(record, temporary)
        # Ended from outside, the script still ends its processes.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                broken = await play(deployment, trouble)
        except (Exception, asyncio.CancelledError) as error:
            # Also a fault of the script itself, which Python would end with 1.
            record.add(f"the case could not run: {error!r}")
            return 2
        finally:
            await deployment.close()
            if os.environ.get("KEEP_LOGS"):
                record.add(f"logs stay in {temporary}")
            else:
                shutil.rmtree(temporary, ignore_errors=True)
        record.add("the rule was broken" if broken else "the rule held")
        return int(broken)

    return asyncio.run(main())
