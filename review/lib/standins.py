"""Stand-ins for the users' platform, workers and clients; standard library only.

All run on one asyncio loop, on loopback addresses.  They speak what the users' pages say:
``MetadataStore`` the platform's store, ``Worker`` a model worker that registers itself, and
``request`` a client that opens a new connection for each call.
"""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qs, urlsplit

# ``valueBytes`` of the settings: the largest value that the store takes.
VALUE_BYTES = 1048576
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}
REASONS[413] = "Content Too Large"


class Record:
    """What was sent, answered and run: one JSON line each, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def add(self, what, **fields):
        at_s = round(time.monotonic() - self._start_s, 3)
        self._file.write(json.dumps({"at_s": at_s, "what": what, **fields}) + "\n")
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a message's body by its length or chunks; bytes until the end without either."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2] if size else b""
            if not size:
                await reader.readline()
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


def answer_bytes(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += ["Content-Type: application/json", f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """An HTTP/1.1 server with persistent connections."""

    def __init__(self):
        self.writers = set()
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port, limit=8 << 20)

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.handle(method, target, headers, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The loop ends.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, reader, writer):
        raise NotImplementedError


class MetadataStore(Server):
    """The platform's store.  ``delay_s(name)`` is how long the answer to a call is held back.

    ``lose(name, request)`` says whether the answer of a write that was done is lost.
    """

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}
        self.revision = 1
        self.log = []
        self.leases = {}
        self.lease_keys = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.delay_s = lambda name: 0.004
        self.lose = lambda name, request: False
        self.on_txn = lambda request, status: None
        self.is_down = False

    def set_down(self, is_down):
        """While down, every connection is reset."""
        self.is_down = is_down
        for writer in list(self.writers) if is_down else ():
            writer.transport.abort()

    # The operator and the workers write here without a socket of their own.
    def put(self, key, value, lease=0, *, same_change=False):
        self.revision += not same_change
        created = self.items[key]["createRev"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createRev": created,
            "lease": lease,
        }
        self.items[key] = item
        if lease:
            self.lease_keys.setdefault(lease, set()).add(key)
        self._log(item)

    def remove(self, key, *, same_change=False):
        if key in self.items:
            del self.items[key]
            self.revision += not same_change
            self._log({"key": key, "revision": self.revision, "removed": True})

    def _log(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def value(self, key):
        return base64.b64decode(self.items[key]["value"]) if key in self.items else None

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now >= until:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in self.lease_keys.pop(lease, ()):
            if key in self.items and self.items[key]["lease"] == lease:
                self.remove(key)

    async def handle(self, method, target, headers, body, reader, writer):
        if self.is_down:
            writer.transport.abort()
            return False
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name, _, argument = parts.path.removeprefix("/api/").partition("/")
        if name == "kv-watch":
            status, answer = await self._watch(query)
        else:
            request = json.loads(body) if body else {}
            status, answer = self._call(name, argument, query, request)
            if name == "kv-txn":
                self.on_txn(request, status)
            if status == 200 and method == "POST" and self.lose(name, request):
                # The write is done; this connection returns nothing further.
                await reader.read()
                return False
            await asyncio.sleep(self.delay_s(name))
        writer.write(answer_bytes(status, json.dumps(answer).encode() if answer else b"{}"))
        await writer.drain()
        return True

    def _call(self, name, argument, query, request):
        match name:
            case "kv-key":
                item = self.items.get(query["key"])
                return (200, item) if item else (404, None)
            case "kv-range":
                prefix, after = query["prefix"], query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                items = [self.items[key] for key in keys[:500]]
                return 200, {"items": items, "truncated": len(keys) > 500, "asOf": self.revision}
            case "kv-txn":
                return self._transact(request)
            case "kv-lease":
                self.next_lease += 1
                ttl_s = request["ttlMs"] / 1000
                self.leases[self.next_lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"lease": self.next_lease, "ttlMs": request["ttlMs"]}
            case "kv-keep":
                lease = int(argument)
                if lease not in self.leases:
                    return 404, None
                ttl_s = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"ttlMs": int(ttl_s * 1000)}
            case "kv-lease-end":
                self._end_lease(int(argument))
                return 200, {}
        return 404, None

    def _transact(self, request):
        sizes = [len(base64.b64decode(write["value"])) for write in request.get("writes", [])]
        if max(sizes, default=0) > VALUE_BYTES:
            self.record.add("store refused a value", status=413, size_bytes=max(sizes))
            return 413, None
        current = []
        met = True
        for row in request.get("expectRev", []):
            item = self.items.get(row["key"])
            met &= (item["revision"] if item else 0) == row["revision"]
            if item:
                current.append(item)
        if not met:
            return 412, {"items": current}
        for write in request.get("writes", []):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, None
        # All changes of one call have one revision.
        self.revision += 1
        for write in request.get("writes", []):
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0), same_change=True)
        for key in request.get("remove", []):
            self.remove(key, same_change=True)
        return 200, {"revision": self.revision}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            changed = self.changed
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class Worker(Server):
    """A model worker.  ``plan(request)`` is an async generator that yields the events' data.

    ``framing`` is ``chunked`` or ``close`` (neither a length nor chunks).
    """

    def __init__(self, record, store, name, service, zone, slots=8):
        super().__init__()
        self.record, self.store, self.name = record, store, name
        self.service, self.zone, self.slots = service, zone, slots
        self.sequence = 0
        self.address = ""
        self.running = 0
        self.runs = 0
        self.finished = set()
        self.plan = None
        self.behave = lambda request: {}

    async def start(self, host, port):
        await super().start(host, port)
        self.address = f"{host}:{port}"

    async def heartbeat(self):
        while True:
            self.register("ready")
            await asyncio.sleep(1.2)

    def register(self, state):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }
        self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def handle(self, method, target, headers, body, reader, writer):
        path = urlsplit(target).path
        if path == "/health":
            writer.write(answer_bytes(200, b"{}", [("X-Instance-Id", self.name)]))
            await writer.drain()
            return True
        if path == "/api/report":
            report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
            report |= {"busy": False, "sequence": self.sequence, "queueDepth": 0}
            report |= {"inFlight": self.running, "kvUsed": 0, "kvTotal": 90000, "handles": 0}
            writer.write(answer_bytes(200, json.dumps(report).encode()))
            await writer.drain()
            return True
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, b"{}", [("X-Request-Id", request_id)]))
            await writer.drain()
            return True
        request = {"id": request_id, "path": path, "headers": headers, "body": body}
        first = int(headers.get("last-event-id", "0")) + 1
        behaviour = self.behave(request)
        self.record.add("run", worker=self.name, id=request_id, path=path, first=first, **behaviour)
        self.running += 1
        self.runs += 1
        try:
            return await self._run(request, first, behaviour, reader, writer)
        finally:
            self.running -= 1

    async def _run(self, request, first, behaviour, reader, writer):
        framing = behaviour.get("framing", "chunked")
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Request-Id: {request['id']}",
            f"X-Response-Seal: seal.{self.name}.{request['id']}",
            "X-Weight-Versions: 1",
            "Transfer-Encoding: chunked" if framing == "chunked" else "Connection: close",
        ]
        gone = asyncio.ensure_future(reader.read(1))
        # A reset by the caller counts as its leaving.
        gone.add_done_callback(lambda task: task.cancelled() or task.exception())
        try:
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            if behaviour.get("end_after_head"):
                await writer.drain()
                return False
            async for number, data in self.plan(request, first):
                event = f"id: {number}\ndata: {data}\n\n".encode()
                if framing == "chunked":
                    event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
                writer.write(event)
                await writer.drain()
                if gone.done():
                    self.record.add("dropped", worker=self.name, id=request["id"], event=number)
                    return False
            if framing == "chunked":
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.finished.add(request["id"])
            self.record.add("ran", worker=self.name, id=request["id"])
        finally:
            if not gone.done():
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await gone
        return framing == "chunked"


async def request(address, method, target, headers, body=b"", timeout_s=5.0):
    """Make one call on a new connection; return its status, headers and whole body.

    Status 0 is no whole answer.
    """
    host, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=8 << 20)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode("latin-1") + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            status = int(head[0].split(" ")[1])
            return status, head[1], await read_body(reader, head[1])
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


__all__ = ["MetadataStore", "Record", "Worker", "request"]
