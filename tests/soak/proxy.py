"""A loopback proxy that delays, resets or silences, in one or both directions, its connections."""

import errno
import socket
import struct
from dataclasses import dataclass, field

import trio

from fescuedock.address import Address

__all__ = ["FaultProxy"]

_CHUNK_BYTES = 65536
_COPIES_CLOSED_WITHIN_S = 5.0
_RETRY_PAUSE_S = 0.005
# A linger time of 0 s: closing the socket sends a reset instead of an orderly end.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True, eq=False)
class _Link:
    """One connection through the proxy, with its faults."""

    client: trio.SocketStream
    server: trio.SocketStream
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    drops_requests: bool = False
    drops_answers: bool = False

    @property
    def is_silent(self) -> bool:
        return self.drops_requests or self.drops_answers

    def reset(self) -> None:
        """End both sides with a reset."""
        for stream in (self.client, self.server):
            if stream.socket.fileno() < 0:
                # The stream was closed already.
                continue
            linger = (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            stream.socket.setsockopt(*linger)
        self.scope.cancel()


@dataclass(slots=True)
class FaultProxy:
    """Forwards connections to ``target``; faults apply to open and to new ones separately."""

    target: Address
    address: Address | None = None
    delay_ms: float = 0.0
    refuses: bool = False
    # Discards the data of new connections; for that of open ones see ``silence_open``.
    silent: bool = False
    _links: set[_Link] = field(default_factory=set)
    _up: trio.Event = field(default_factory=trio.Event)
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def run(
        self, host: str, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward until cancelled; report the ``Address`` to connect to."""
        self._up.set()
        while True:
            await self._up.wait()
            with trio.CancelScope() as self._scope:
                listener = await self._listen(host)
                if self.address is None:
                    self.address = Address(host, listener.socket.getsockname()[1])
                    task_status.started(self.address)
                await trio.serve_listeners(self._forward, [listener])

    async def _listen(self, host: str) -> trio.SocketListener:
        """Listen at the address; wait for processes that are being started to close their copies.

        Until it executes its program, such a process has a copy of the socket that listened before.
        """
        port = 0 if self.address is None else self.address.port
        deadline_s = trio.current_time() + _COPIES_CLOSED_WITHIN_S
        while True:
            try:
                [listener] = await trio.open_tcp_listeners(port, host=host)
                return listener
            except OSError as error:
                if error.errno != errno.EADDRINUSE or trio.current_time() >= deadline_s:
                    raise
            await trio.sleep(_RETRY_PAUSE_S)

    def take_down(self) -> None:
        """Cut every connection and refuse new ones, as the machine of a crashed process does."""
        self._up = trio.Event()
        self._scope.cancel()

    def bring_up(self) -> None:
        """Accept connections again."""
        self._up.set()

    def reset_open(self) -> None:
        """Reset every open connection; new ones are not affected."""
        for link in tuple(self._links):
            link.reset()

    def silence_open(self, *, requests: bool, answers: bool) -> None:
        """Permanently discard the data of open connections, in one direction or both.

        New connections are not affected.  A caller notices the fault by a timeout only.
        """
        for link in self._links:
            link.drops_requests |= requests
            link.drops_answers |= answers

    async def _forward(self, client: trio.SocketStream) -> None:
        if self.refuses:
            await client.aclose()
            return
        try:
            server = await trio.open_tcp_stream(self.target.host, self.target.port)
        except OSError:
            await client.aclose()
            return
        link = _Link(client, server, drops_requests=self.silent, drops_answers=self.silent)
        self._links.add(link)
        try:
            async with client, server, trio.open_nursery() as nursery:
                link.scope = nursery.cancel_scope
                nursery.start_soon(self._pump, link, client, server)
                nursery.start_soon(self._pump, link, server, client)
        finally:
            self._links.discard(link)

    async def _pump(self, link: _Link, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        try:
            while data := await source.receive_some(_CHUNK_BYTES):
                if self.delay_ms:
                    await trio.sleep(self.delay_ms / 1000)
                if self._drops(link, source):
                    continue
                await sink.send_all(data)
            if not link.is_silent:
                await sink.send_eof()
                return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            if not link.is_silent:
                link.reset()
                return
        # A silent connection does not forward the close of its other end either.
        await trio.sleep_forever()

    def _drops(self, link: _Link, source: trio.SocketStream) -> bool:
        return link.drops_requests if source is link.client else link.drops_answers
