"""What the stand-ins of key-value services share: state, faults, a listener, and lapsing leases."""

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
    """One service.  ``faults`` switches its faults, ``state`` may be looked at and changed.

    The class of a service gives ``handle``, which executes one call; returning without an answer
    cuts the call's connection.
    """

    state: KvState = field(default_factory=KvState)
    faults: KvFaults = field(default_factory=KvFaults)
    listener: Listener = field(init=False)
    # Set, and replaced, when the connections of all watches are lost.
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
        """Serve until cancelled; report the real ``Address``."""
        async with trio.open_nursery() as nursery:
            self._late_calls = nursery
            nursery.start_soon(self._expire_leases)
            task_status.started(await nursery.start(self.listener.run, address))

    def take_down(self) -> None:
        """Refuse all connections from now on and cut those that are open; leases go on running."""
        self.faults.down = True
        self.listener.take_down()

    def bring_up(self) -> None:
        self.faults.down = False
        self.listener.bring_up()

    def cut_watches(self) -> None:
        """Lose the connections of all watches that are held."""
        self.watches_cut.set()
        self.watches_cut = trio.Event()

    def execute_late(self, execute: Callable[[], object]) -> None:
        """Let a call take effect after the time of the faults, whoever has given it up by then."""
        self._late_calls.start_soon(self._execute_late, execute)

    async def _execute_late(self, execute: Callable[[], object]) -> None:
        await trio.sleep(self.faults.late_effect_ms / 1000)
        execute()

    async def _expire_leases(self) -> None:
        while True:
            await trio.sleep(_EXPIRY_CHECK_MS / 1000)
            self.state.expire(trio.current_time())
