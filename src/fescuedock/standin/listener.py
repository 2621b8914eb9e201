"""An HTTP server at a fixed address that can be taken down and brought up on command."""

import errno
import socket
from dataclasses import dataclass, field

import trio

from fescuedock.address import Address
from fescuedock.net.http_server import Handler, HttpLimits, HttpServer

__all__ = ["Listener"]

# An hour, so that timeouts are always those of the client.
_LIMITS = HttpLimits(idle_timeout_ms=3_600_000)
# A process that is being started has copies of all sockets until it executes its program.
_COPIES_CLOSED_WITHIN_S = 5.0
_RETRY_PAUSE_S = 0.005


@dataclass(slots=True)
class Listener:
    """Serves ``handler``; it returns at the same address after it was down."""

    handler: Handler
    address: Address | None = None
    _up: trio.Event = field(default_factory=trio.Event)
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def run(
        self, address: Address, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen on ``address`` until cancelled; report the bound ``Address``."""
        self._up.set()
        while True:
            with await _reserve(self.address) as reserved:
                await self._up.wait()
                self._scope = trio.CancelScope()
                with self._scope:
                    async with trio.open_nursery() as nursery:
                        server = HttpServer(self.handler, _LIMITS)
                        bound = await nursery.start(server.serve, self.address or address)
                        reserved.close()
                        if self.address is None:
                            self.address = bound
                            task_status.started(bound)

    @property
    def is_up(self) -> bool:
        return self._up.is_set()

    def take_down(self) -> None:
        """Refuse new connections and cut all open ones."""
        if self._up.is_set():
            self._up = trio.Event()
        self._scope.cancel()

    def bring_up(self) -> None:
        """Listen again."""
        self._up.set()


async def _reserve(address: Address | None) -> socket.socket:
    """Return a socket that keeps other programs from ``address``; connections are refused."""
    reserved = socket.socket()
    if address is None:
        return reserved
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    deadline_s = trio.current_time() + _COPIES_CLOSED_WITHIN_S
    while True:
        try:
            reserved.bind((address.host, address.port))
            return reserved
        except OSError as error:
            if error.errno != errno.EADDRINUSE or trio.current_time() >= deadline_s:
                reserved.close()
                raise
        await trio.sleep(_RETRY_PAUSE_S)
