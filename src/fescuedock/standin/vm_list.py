"""A VM list whose readers see changes with a delay."""

from collections import deque
from dataclasses import dataclass, field

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.backing.vm_list import STATE_LEAVING, ListedVm, VmList
from fescuedock.net.http_server import Request, Responder
from fescuedock.standin.listener import Listener

__all__ = ["ListVersion", "VmListService"]


@dataclass(frozen=True, slots=True)
class ListVersion:
    """The list as of ``valid_from_s``, until the next version."""

    valid_from_s: float
    etag: str
    body: bytes


@dataclass(slots=True)
class VmListService:
    """The current list and its recent versions; callers see the list of ``lag_ms`` ago."""

    lag_ms: float = 0.0
    reads: int = 0
    unchanged_reads: int = 0
    listener: Listener = field(init=False)
    _vms: dict[str, ListedVm] = field(default_factory=dict)
    _versions: deque[ListVersion] = field(default_factory=deque)
    _version_number: int = 0

    def __post_init__(self) -> None:
        self.listener = Listener(self.handle)
        self._versions.append(ListVersion(float("-inf"), '"0"', b'{"vms":[]}'))

    @property
    def address(self) -> Address:
        return self.listener.address

    @property
    def vms(self) -> tuple[ListedVm, ...]:
        """The current list, without the delay."""
        return tuple(self._vms.values())

    async def run(
        self, address: Address, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the bound ``Address``."""
        await self.listener.run(address, task_status=task_status)

    def add(self, vm: ListedVm) -> None:
        """Add a VM, or replace the one with the same identity."""
        self._vms[vm.vm_id] = vm
        self._add_version()

    def mark_leaving(self, vm_id: str) -> None:
        """Mark a VM as leaving; raise ``KeyError`` if it is not listed."""
        self.add(msgspec.structs.replace(self._vms[vm_id], state=STATE_LEAVING))

    def remove(self, vm_id: str) -> None:
        """Remove a VM; raise ``KeyError`` if it is not listed."""
        del self._vms[vm_id]
        self._add_version()

    def _add_version(self) -> None:
        self._version_number += 1
        body = msgspec.json.encode(VmList(self.vms))
        self._versions.append(ListVersion(trio.current_time(), f'"{self._version_number}"', body))

    async def handle(self, request: Request, responder: Responder) -> None:
        if (request.method, request.path) != ("GET", "/v1/vms"):
            await responder.send(404)
            return
        self.reads += 1
        version = self.visible_version()
        headers = [("etag", version.etag)]
        if request.headers.get("if-none-match") == version.etag:
            self.unchanged_reads += 1
            await responder.send(304, headers=headers)
            return
        await responder.send(200, version.body, headers)

    def visible_version(self) -> ListVersion:
        """Return the version that callers see now, and discard the older ones."""
        newest_visible_s = trio.current_time() - self.lag_ms / 1000
        while len(self._versions) > 1 and self._versions[1].valid_from_s <= newest_visible_s:
            self._versions.popleft()
        return self._versions[0]
