"""The HTTP control interface, which injects faults into stand-ins that run in their own process.

``POST /kv``, ``/vms``, ``/engines/{id}`` and ``/plain/{id}`` accept a JSON object with the fields
of ``KvCommand``, ``VmCommand``, ``EngineCommand`` and ``PlainCommand``.  ``GET /state`` returns
counts and loads.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.backing.vm_list import ListedVm
from fescuedock.entry.routes import Route, route_requests
from fescuedock.net.http_server import Request, Responder
from fescuedock.standin.engine import EngineService
from fescuedock.standin.kv_faults import LostAnswer
from fescuedock.standin.kv_service import KvService
from fescuedock.standin.listener import Listener
from fescuedock.standin.plain_service import PlainService
from fescuedock.standin.vm_list import VmListService

if TYPE_CHECKING:
    from fescuedock.standin.platform import Standins

__all__ = ["Control", "EngineCommand", "KvCommand", "PlainCommand", "VmCommand"]

_MAX_BODY_BYTES = 1024 * 1024


class _Command(msgspec.Struct, forbid_unknown_fields=True):
    """A command; omitted fields change nothing."""


class KvCommand(_Command):
    """Faults of the key-value service; ``lose_answer`` applies to the ``nth`` write from now."""

    down: bool | None = None
    silent: bool | None = None
    delay_ms: float | None = None
    lose_answer: LostAnswer | None = None
    nth: int = 1
    cut_watches: bool = False
    lapse_lease: int = 0
    compact: int = 0


class VmCommand(_Command):
    """Changes to the VM list, by VM identity, and faults of its service."""

    add: ListedVm | None = None
    leave: str = ""
    remove: str = ""
    lag_ms: float | None = None
    down: bool | None = None


class EngineCommand(_Command):
    """Faults of one engine.

    ``fail_with`` lists the status codes of the next responses, and ``cut_after`` the numbers of
    tokens after which the next streams are cut.
    """

    die: bool = False
    revive: bool = False
    freeze: bool = False
    thaw: bool = False
    slowness: float | None = None
    fail_with: list[int] = []
    cut_after: list[int] = []


class PlainCommand(_Command):
    """Faults of one plain service.

    ``cut_before`` and ``cut_after`` are numbers of connections.  ``fail_with`` is a status code; 0
    stops the failures.
    """

    down: bool | None = None
    delay_ms: float | None = None
    cut_before: int | None = None
    cut_after: int | None = None
    fail_with: int | None = None


class Control:
    """Applies commands to a set of stand-ins."""

    def __init__(self, standins: "Standins") -> None:
        self._standins = standins
        handler = route_requests(
            [
                Route("GET", "/state", self._state),
                Route("POST", "/kv", self._kv),
                Route("POST", "/vms", self._vms),
                Route("POST", "/engines/{id}", self._engine),
                Route("POST", "/plain/{id}", self._plain),
            ]
        )
        self._listener = Listener(handler)

    async def run(
        self, address: Address, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the real ``Address``."""
        await self._listener.run(address, task_status=task_status)

    async def _kv(self, request: Request, responder: Responder, _: dict[str, str]) -> None:
        await self._apply(request, responder, KvCommand, command_kv, self._standins.kv)

    async def _vms(self, request: Request, responder: Responder, _: dict[str, str]) -> None:
        await self._apply(request, responder, VmCommand, command_vms, self._standins.vm_list)

    async def _engine(self, request: Request, responder: Responder, values: dict[str, str]) -> None:
        engine = self._standins.engines.get(values["id"])
        await self._apply(request, responder, EngineCommand, command_engine, engine)

    async def _plain(self, request: Request, responder: Responder, values: dict[str, str]) -> None:
        plain = self._standins.plain.get(values["id"])
        await self._apply(request, responder, PlainCommand, command_plain, plain)

    async def _apply(
        self,
        request: Request,
        responder: Responder,
        kind: type[_Command],
        command: Callable[[object, _Command], None],
        target: object | None,
    ) -> None:
        if target is None:
            await responder.send_json(404, {"error": f"nothing at {request.path}"})
            return
        try:
            given = msgspec.json.decode(await request.read(_MAX_BODY_BYTES), type=kind)
            command(target, given)
        except (msgspec.MsgspecError, KeyError) as error:
            await responder.send_json(400, {"error": str(error)})
            return
        await self._state(request, responder, {})

    async def _state(self, request: Request, responder: Responder, _: dict[str, str]) -> None:
        standins = self._standins
        state = {
            "kv": {"calls": standins.kv.faults.calls, "revision": standins.kv.state.revision},
            "vms": standins.vm_list.vms,
            "engines": {name: _engine_state(e) for name, e in standins.engines.items()},
            "plain": {name: {"executions": p.executions} for name, p in standins.plain.items()},
        }
        await responder.send_json(200, state)


def command_kv(kv: KvService, command: KvCommand) -> None:
    """Apply a command to the key-value service."""
    faults = kv.faults
    if command.down is not None:
        _switch(command.down, kv.take_down, kv.bring_up)
    if command.silent is not None:
        faults.silent = command.silent
    if command.delay_ms is not None:
        faults.delay_ms = command.delay_ms
    if command.lose_answer is not None:
        faults.lose_answer(command.lose_answer, command.nth)
    if command.cut_watches:
        kv.cut_watches()
    if command.lapse_lease:
        kv.lapse_lease(command.lapse_lease)
    if command.compact:
        kv.state.compact(command.compact)


def command_vms(vm_list: VmListService, command: VmCommand) -> None:
    """Apply a command to the VM list; raise ``KeyError`` for an unknown VM."""
    if command.add is not None:
        vm_list.add(command.add)
    if command.leave:
        vm_list.mark_leaving(command.leave)
    if command.remove:
        vm_list.remove(command.remove)
    if command.lag_ms is not None:
        vm_list.lag_ms = command.lag_ms
    if command.down is not None:
        listener = vm_list.listener
        _switch(command.down, listener.take_down, listener.bring_up)


def command_engine(engine: EngineService, command: EngineCommand) -> None:
    """Apply a command to an engine."""
    actions = {"die": engine.die, "revive": engine.revive, "freeze": engine.freeze}
    actions["thaw"] = engine.thaw
    for name, action in actions.items():
        if getattr(command, name):
            action()
    if command.slowness is not None:
        engine.slowness = command.slowness
    engine.faults.fail_with.extend(command.fail_with)
    engine.faults.cut_after.extend(command.cut_after)


def command_plain(plain: PlainService, command: PlainCommand) -> None:
    """Apply a command to a plain service."""
    if command.down is not None:
        _switch(command.down, plain.listener.take_down, plain.listener.bring_up)
    for name in ("delay_ms", "cut_before", "cut_after", "fail_with"):
        value = getattr(command, name)
        if value is not None:
            setattr(plain, name, value)


def _switch(down: bool, take_down: Callable[[], None], bring_up: Callable[[], None]) -> None:
    (take_down if down else bring_up)()


def _engine_state(engine: EngineService) -> dict:
    stats = engine.stats
    return {
        "up": engine.listener.is_up,
        "load": engine.core.load,
        "stats": stats,
        "deaths": engine.deaths,
        "models": engine.orders.models,
        "role": engine.orders.role,
    }
