"""Measure the processor time of the transports: ``python -m bench.transport [--record]``.

Client and server run on one loop, so each figure is the cost of both ends together; the median of
several rounds is printed, since the machine is noisy.
"""

import statistics
import sys
import time
from collections.abc import Awaitable, Callable

import trio

from bench.slopes import Slope, record_slopes
from fescuedock.address import Address
from fescuedock.net.channel import ChannelClient, serve_channel
from fescuedock.net.codec import Codec, Key
from fescuedock.net.http_client import HttpClient, open_http_client
from fescuedock.net.http_server import HttpServer, Request, Responder
from fescuedock.schema import permits, view

ROUNDS = 7
CALLS = 400
EVENTS = 2000
LOOPBACK = Address("127.0.0.1", 0)
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}\n\n'
METHOD = f"median of {ROUNDS} rounds, processor time of both ends on one loop"


async def main() -> None:
    """Measure every transport and print a line for each."""
    codec = Codec([permits, view], [Key("bench", bytes(16))])
    async with trio.open_nursery() as nursery, open_http_client() as http:
        server = HttpServer(_answer)
        web = await nursery.start(server.serve, LOOPBACK)
        peer = await nursery.start(serve_channel, LOOPBACK, codec, _acknowledge)
        async with ChannelClient.open(peer, codec) as channel:
            measured = {
                "http_request_us": await _median_us(lambda: _requests(http, web), CALLS),
                "http_event_us": await _median_us(lambda: _events(http, web), EVENTS),
                "channel_call_us": await _median_us(lambda: _calls(channel), CALLS),
            }
        nursery.cancel_scope.cancel()
    measured["codec_round_trip_us"] = _codec_us(codec)
    for name, value in measured.items():
        print(f"{name:24} {value:8.1f}")
    if "--record" in sys.argv:
        command = "python -m bench.transport --record"
        record_slopes({k: Slope(round(v, 2), "us", command, METHOD) for k, v in measured.items()})


async def _answer(request: Request, responder: Responder) -> None:
    await request.read(1024)
    if request.path != "/events":
        await responder.send(200, b"{}")
        return
    async with responder.stream(200, [("content-type", "text/event-stream")]) as body:
        for _ in range(EVENTS):
            await body.write(EVENT)
            # Yields between events, which arrive separately from an engine.
            await trio.lowlevel.checkpoint()


async def _acknowledge(_message: object, _peer: object) -> view.Acknowledgement:
    return view.Acknowledgement()


async def _requests(http: HttpClient, address: Address) -> None:
    for _ in range(CALLS):
        async with http.request(address, "POST", "/", (), b"{}") as response:
            await response.read()


async def _events(http: HttpClient, address: Address) -> None:
    async with http.request(address, "GET", "/events") as response:
        await response.read()


async def _calls(channel: ChannelClient) -> None:
    for _ in range(CALLS):
        (await channel.call(view.LeaveRequest(), 10_000)).unwrap()


async def _median_us(work: Callable[[], Awaitable[None]], units: int) -> float:
    await work()
    rounds = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        await work()
        rounds.append((time.process_time() - started_s) * 1e6 / units)
    return statistics.median(rounds)


def _codec_us(codec: Codec) -> float:
    load = permits.LoadSnapshot("w1", 3, 4, 0, 8, 120.0, True)
    message = permits.PermitReply(code=0, permit_id="p" * 32, valid_ms=2000, load=load)
    rounds = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for _ in range(CALLS):
            codec.decode(codec.encode(message, b"12345678"), b"12345678")
        rounds.append((time.process_time() - started_s) * 1e6 / CALLS)
    return statistics.median(rounds)


if __name__ == "__main__":
    trio.run(main)
