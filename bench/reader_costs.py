"""Measure the cost of one response event at the connection of a caller that reads.

    python -m bench.reader_costs

Methods: the handler writes the event to the socket directly, and a task starts only when the kernel
does not accept all bytes (as the node does, with ``put_part`` and with ``send_part``); or one task
per call writes the buffer that the handler fills.  Prints CPU time of this process as minimum and
median of interleaved rounds; the handler yields once per event, as when it reads its upstream.
"""

import os
import statistics
import sys
import time
from collections.abc import Awaitable, Callable

import h11
import trio

from fescuedock.net.http_connection import HttpConnection, HttpLimits

ROUNDS = 15
CALLS = 100
EVENTS = 20
EVENT = b"x" * 200
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
HEADERS = [("transfer-encoding", "chunked")]
NS_PER_US = 1000
WriteMethod = Callable[[HttpConnection], Awaitable[None]]


async def by_put(connection: HttpConnection) -> None:
    for _ in range(EVENTS):
        if not connection.put_part(EVENT):
            await connection.wait_room()
        await trio.lowlevel.checkpoint()


async def by_send(connection: HttpConnection) -> None:
    for _ in range(EVENTS):
        await connection.send_part(EVENT)
        await trio.lowlevel.checkpoint()


async def by_writer_task(connection: HttpConnection) -> None:
    unsent = bytearray()
    has_more = trio.Event()

    async def write() -> None:
        nonlocal has_more, unsent
        while True:
            await has_more.wait()
            has_more = trio.Event()
            data, unsent = unsent, bytearray()
            await connection.send_part(data)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(write)
        for _ in range(EVENTS):
            unsent += EVENT
            has_more.set()
            await trio.lowlevel.checkpoint()
        while unsent:
            await trio.lowlevel.checkpoint()
        nursery.cancel_scope.cancel()


async def measure_event_us(method: WriteMethod) -> float:
    """Return the CPU time of an event in microseconds."""
    near, far = trio.socket.socketpair()
    with near, far:
        connection = HttpConnection(trio.SocketStream(near), HttpLimits)
        used_ns = 0
        for _ in range(CALLS):
            await far.send(REQUEST)
            head = await connection.next_head()
            connection.begin_body(head)
            await connection.send_events(h11.Response(status_code=200, headers=HEADERS))
            started_ns = time.process_time_ns()
            await method(connection)
            used_ns += time.process_time_ns() - started_ns
            await connection.send_events(h11.EndOfMessage())
            os.read(far.fileno(), 65536)
            await connection.prepare_next()
    return used_ns / NS_PER_US / CALLS / EVENTS


def main() -> None:
    """Print the cost of each method."""
    methods: list[WriteMethod] = [by_send, by_writer_task]
    if hasattr(HttpConnection, "put_part"):
        methods.insert(0, by_put)
    costs_by_method: dict[str, list[float]] = {}
    for _ in range(ROUNDS):
        for method in methods:
            costs_by_method.setdefault(method.__name__, []).append(
                trio.run(measure_event_us, method)
            )
    for name, costs in costs_by_method.items():
        minimum, median = min(costs), statistics.median(costs)
        sys.stdout.write(f"{name:16} least {minimum:6.2f} us, median {median:6.2f} us an event\n")


if __name__ == "__main__":
    main()
