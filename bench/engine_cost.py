"""Measure the CPU time of the clients: per streamed token of an engine, and per key-value call.

    python -m bench.engine_cost [--record]

Each figure is CPU time of this process, as minimum and median of interleaved rounds; on a busy
machine compare the minimum.  Both ends run in this process, so the cost of the server end is
measured separately (``raw`` rows: a plain socket read of the same bytes) and subtracted.
"""

import base64
import statistics
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from bench.slopes import Slope, record_slopes
from fescuedock.address import Address
from fescuedock.backing.engine import EngineClient
from fescuedock.backing.etcd import EtcdKv
from fescuedock.net.http_client import HttpClient
from fescuedock.schema.settings import PlatformSettings
from fescuedock.schema.view import UpstreamKind, UpstreamRecord
from fescuedock.standin.engine_requests import ResponseBuilder, read_request
from fescuedock.standin.token_text import token_texts

ROUNDS = 15
TOKENS = 2000
KV_CALLS = 300
LOOPBACK = Address("127.0.0.1", 0)
PATH = "/v1/chat/completions"
BODY = b'{"model":"demo-model","messages":[{"role":"user","content":"hello"}],"max_tokens":2000}'
TOKEN_RAW, TOKEN_CLIENT = "token, raw socket", "token, EngineClient"
KV_RAW, KV_CLIENT = "key-value get, raw socket", "key-value get, EtcdKv"
_KV_BODY = b'{"header":{"revision":2},"kvs":[{"key":"a2V5","value":"%b","mod_revision":2}]}'
KV_BODY = _KV_BODY % base64.b64encode(b"x" * 1000)
KV_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(KV_BODY), KV_BODY)
KV_REQUEST = (
    b"POST /v3/kv/range HTTP/1.1\r\nhost: h\r\ncontent-length: 14\r\n\r\n" + b'{"key":"a2V5"}'
)
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"


@dataclass(slots=True)
class ReadPacer:
    """Delays each token of the server until the client has read the previous one."""

    has_read: trio.Event

    def signal_read(self) -> None:
        self.has_read.set()

    async def wait(self) -> None:
        await self.has_read.wait()
        self.has_read = trio.Event()


def token_events() -> list[bytes]:
    """Return the events of an answer of ``TOKENS`` tokens in the stand-in engine's format."""
    shape = ResponseBuilder(read_request(PATH, BODY, "attempt"), created_s=1)
    return [shape.token_event(text) for text in token_texts("hello", 0, TOKENS)]


def http_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def serve_canned(stream: trio.SocketStream, events: list[bytes], pacer: ReadPacer) -> None:
    """Answer any request with ``events``, one chunk each, at the client's pace."""
    await stream.receive_some(65536)
    await stream.send_all(HEAD)
    for event in events:
        await stream.send_all(http_chunk(event))
        await pacer.wait()
    await stream.send_all(http_chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")


async def read_raw(address: Address, pacer: ReadPacer) -> int:
    """Read the answer with a plain socket and count the reads that contained tokens."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    await stream.send_all(b"POST / HTTP/1.1\r\n\r\n")
    count = 0
    while count < TOKENS:
        data = await stream.receive_some(65536)
        if b"data: {" in data:
            count += 1
            pacer.signal_read()
    await stream.aclose()
    return count


async def read_with_client(address: Address, pacer: ReadPacer) -> int:
    """Read the answer with ``EngineClient``."""
    upstream = UpstreamRecord("u", "r", "d", address.host, address.port, UpstreamKind.ENGINE, "s")
    client = EngineClient(HttpClient())
    count = 0
    async with client.stream(upstream, PATH, {}, "attempt") as events:
        async for event in events:
            if event.text:
                count += 1
                pacer.signal_read()
    return count


Reader = Callable[[Address, ReadPacer], Awaitable[int]]


async def token_cost_us(reader: Reader) -> float:
    """Return CPU microseconds per token, both ends together, with ``reader``."""
    events = token_events()
    pacer = ReadPacer(trio.Event())
    listeners = await trio.open_tcp_listeners(0, host=LOOPBACK.host)
    address = Address(LOOPBACK.host, listeners[0].socket.getsockname()[1])

    async def serve(stream: trio.SocketStream) -> None:
        await serve_canned(stream, events, pacer)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        started_s = time.process_time()
        count = await reader(address, pacer)
        used_s = time.process_time() - started_s
        nursery.cancel_scope.cancel()
    return used_s / count * 1e6


async def serve_kv_canned(stream: trio.SocketStream) -> None:
    """Answer every read, which holds one complete request, with the same entry."""
    while await stream.receive_some(65536):
        await stream.send_all(KV_ANSWER)


async def call_raw(address: Address) -> None:
    """Exchange the bytes of the calls with a plain socket."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    for _ in range(KV_CALLS):
        await stream.send_all(KV_REQUEST)
        await stream.receive_some(65536)
    await stream.aclose()


async def call_with_client(address: Address) -> None:
    """Read an entry with ``EtcdKv``."""
    http = HttpClient()
    settings = PlatformSettings(kv_addresses=str(address), vm_list_address="127.0.0.1:1")
    kv = EtcdKv(http, settings)
    for _ in range(KV_CALLS):
        (await kv.get("key")).unwrap()
    await http.close()


async def kv_cost_us(caller: Callable[[Address], Awaitable[None]]) -> float:
    """Return CPU microseconds per call, both ends together, with ``caller``."""
    listeners = await trio.open_tcp_listeners(0, host=LOOPBACK.host)
    address = Address(LOOPBACK.host, listeners[0].socket.getsockname()[1])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve_kv_canned, listeners)
        started_s = time.process_time()
        await caller(address)
        used_s = time.process_time() - started_s
        nursery.cancel_scope.cancel()
    return used_s / KV_CALLS * 1e6


async def main() -> None:
    costs: dict[str, list[float]] = {}
    for _ in range(ROUNDS):
        costs.setdefault(TOKEN_RAW, []).append(await token_cost_us(read_raw))
        costs.setdefault(TOKEN_CLIENT, []).append(await token_cost_us(read_with_client))
        costs.setdefault(KV_RAW, []).append(await kv_cost_us(call_raw))
        costs.setdefault(KV_CLIENT, []).append(await kv_cost_us(call_with_client))
    print("CPU of both ends, us              least  median")
    for name, values in costs.items():
        print(f"{name:30} {min(values):8.1f} {statistics.median(values):7.1f}")
    for client, raw in ((TOKEN_CLIENT, TOKEN_RAW), (KV_CLIENT, KV_RAW)):
        # Adjacent rounds run under about the same load of the machine, so compare in pairs.
        pairs = zip(costs[client], costs[raw], strict=True)
        difference_us = statistics.median(client_us - raw_us for client_us, raw_us in pairs)
        print(f"{client + ' over raw':38} {difference_us:7.1f}")
    if "--record" in sys.argv:
        _record(statistics.median(costs[TOKEN_CLIENT]), statistics.median(costs[KV_CLIENT]))


def _record(token_us: float, kv_call_us: float) -> None:
    command = "python -m bench.engine_cost --record"
    method = "median CPU of both ends, the server end being canned bytes"
    record_slopes(
        {
            "engine_event_us": Slope(round(token_us, 1), "us", command, f"a token; {method}"),
            "kv_read_us": Slope(round(kv_call_us, 1), "us", command, f"a read of 1 kB; {method}"),
        }
    )


if __name__ == "__main__":
    trio.run(main)
