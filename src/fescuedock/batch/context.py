"""The objects that all tasks of a batch runner share."""

import random

import msgspec
import trio

from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import PermitClient
from fescuedock.batch.attempts import UpstreamClients
from fescuedock.clock import UnixClock
from fescuedock.core.batch.scheduler import ItemScheduler
from fescuedock.core.batch.takeover import RunnerName
from fescuedock.kv import KvStore
from fescuedock.report.metrics import Metrics
from fescuedock.settings import Settings
from fescuedock.store.client import StoreClient

__all__ = ["RunnerContext", "WorkSignal"]


class WorkSignal:
    """Wakes the tasks that wait for items to run."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify(self) -> None:
        self._event.set()
        self._event = trio.Event()

    async def wait(self, timeout_ms: float) -> None:
        """Return at the next ``notify``, or after ``timeout_ms``."""
        event = self._event
        with trio.move_on_after(timeout_ms / 1000):
            await event.wait()


class RunnerContext(msgspec.Struct):
    """Clients, settings and state of one runner process, built once by ``run_batch``."""

    settings: Settings
    name: RunnerName
    view: FleetView
    permits: PermitClient
    stores: StoreClient
    upstreams: UpstreamClients
    kv: KvStore
    unix_clock: UnixClock
    scheduler: ItemScheduler
    metrics: Metrics
    random: random.Random
    signal: WorkSignal = msgspec.field(default_factory=WorkSignal)

    def notify_work(self) -> None:
        """Wake the tasks that request permits, since there may be new items to run."""
        self.signal.notify()
