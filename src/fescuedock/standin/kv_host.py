"""The base of key-value stand-ins: state, fault injection, listener and lease expiry."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from fescuedock.address import Address
from fescuedock.net.http_server import Request, Responder
from fescuedock.standin.kv_faults import KvFaults
from fescuedock.standin.kv_state import KvState
from fescuedock.standin.listener import Listener

__all__ = ["KvHost"]

_EXPIRY_CHECK_MS = 50


@dataclass(slots=True)
class KvHost:
    """One service.  Tests set ``faults`` and may read and change ``state``.

    Subclasses implement ``handle``, which executes one call.  If it returns without sending a
    response, the connection of the call is cut.
    """

    state: KvState = field(default_factory=KvState)
    faults: KvFaults = field(default_factory=KvFaults)
    listener: Listener = field(init=False)
    # Set, and replaced by a new event, when the connections of all watches are cut.
    watches_cut: trio.Event = field(default_factory=trio.Event)
    _late_calls: trio.Nursery | None = None

    def __post_init__(self) -> None:
        self.listener = Listener(self.handle)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Execute one call."""
        raise NotImplementedError

    @property
    def address(self) -> Address:
        return self.listener.address

    async def run(
        self, address: Address, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the bound ``Address``."""
        async with trio.open_nursery() as nursery:
            self._late_calls = nursery
            nursery.start_soon(self._expire_leases)
            task_status.started(await nursery.start(self.listener.run, address))

    def take_down(self) -> None:
        """Refuse new connections and cut open ones; leases continue to run out meanwhile."""
        self.faults.down = True
        self.listener.take_down()

    def bring_up(self) -> None:
        self.faults.down = False
        self.listener.bring_up()

    def cut_watches(self) -> None:
        """Cut the connections of all open watches."""
        self.watches_cut.set()
        self.watches_cut = trio.Event()

    def execute_late(self, execute: Callable[[], object]) -> None:
        """Execute a call after ``late_effect_ms``, even if its caller has given up by then."""
        self._late_calls.start_soon(self._execute_late, execute)

    async def _execute_late(self, execute: Callable[[], object]) -> None:
        await trio.sleep(self.faults.late_effect_ms / 1000)
        execute()

    async def _expire_leases(self) -> None:
        while True:
            await trio.sleep(_EXPIRY_CHECK_MS / 1000)
            self.state.expire(trio.current_time())
