"""Client of the platform's VM list, which may lag behind the actual set of VMs."""

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.faults import Fault
from fescuedock.net.http_client import (
    HttpClient,
    NotSentError,
    ResponseLostError,
    ResponseTooLargeError,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import PlatformSettings
from fescuedock.schema.view import UpstreamKind, UpstreamRecord

__all__ = ["ListedVm", "VmList", "VmListClient", "upstream_record"]

ROLE_SYSTEM = "system"
ROLE_UPSTREAM = "upstream"
STATE_LIVE = "live"
STATE_LEAVING = "leaving"
_MAX_LIST_BYTES = 16 * 1024 * 1024
_TIMEOUT_MS = 2000


class ListedVm(msgspec.Struct, frozen=True):
    """One VM of the list; on a VM of this system ``port`` is that of the agent."""

    vm_id: str
    role: str
    region: str
    failure_domain: str
    host: str
    port: int
    state: str = STATE_LIVE
    kind: str = ""
    service: str = ""
    # Of an upstream; empty if the list does not contain it.
    software_version: str = ""

    @property
    def is_leaving(self) -> bool:
        return self.state != STATE_LIVE


class VmList(msgspec.Struct, frozen=True):
    """The VM list of one read, and its entity tag."""

    vms: tuple[ListedVm, ...] = ()
    etag: str = ""

    @property
    def system(self) -> tuple[ListedVm, ...]:
        """The VMs that belong to this system."""
        return tuple(vm for vm in self.vms if vm.role == ROLE_SYSTEM)

    @property
    def upstreams(self) -> tuple[UpstreamRecord, ...]:
        return tuple(upstream_record(vm) for vm in self.vms if vm.role == ROLE_UPSTREAM)


class VmListClient:
    """Reads the list; if it is unchanged, the answer has no body."""

    def __init__(self, http: HttpClient, settings: PlatformSettings) -> None:
        self._http = http
        self._address = Address.parse(settings.vm_list_address)
        self._poll_interval_ms = settings.vm_list_poll_ms
        self._last = VmList()

    async def read(self) -> Result[VmList, Fault]:
        """Return the list; the same object as at the last read when nothing has changed.

        Errors: ``PLATFORM_UNAVAILABLE``.
        """
        try:
            with trio.fail_after(_TIMEOUT_MS / 1000):
                return await self._read()
        except (
            NotSentError,
            ResponseLostError,
            ResponseTooLargeError,
            trio.TooSlowError,
            msgspec.MsgspecError,
        ) as error:
            return _unavailable(f"VM list at {self._address}: {error!r}")

    async def wait_due(self) -> None:
        """Wait for the poll interval."""
        await trio.sleep(self._poll_interval_ms / 1000)

    async def _read(self) -> Result[VmList, Fault]:
        headers = [("if-none-match", self._last.etag)] if self._last.etag else []
        async with self._http.request(self._address, "GET", "/v1/vms", headers) as response:
            body = await response.read(_MAX_LIST_BYTES)
        if response.status == 304:
            return Ok(self._last)
        if response.status != 200:
            return _unavailable(f"VM list at {self._address} answered {response.status}")
        vms = msgspec.json.decode(body, type=VmList).vms
        self._last = VmList(vms, response.headers.get("etag", ""))
        return Ok(self._last)


def upstream_record(vm: ListedVm) -> UpstreamRecord:
    """Return the fleet view's record of a listed upstream."""
    return UpstreamRecord(
        upstream_id=vm.vm_id,
        region=vm.region,
        failure_domain=vm.failure_domain,
        host=vm.host,
        port=vm.port,
        kind=UpstreamKind(vm.kind),
        service=vm.service,
        leaving=vm.is_leaving,
        software_version=vm.software_version,
    )


def _unavailable(message: str) -> Err[Fault]:
    return Err(Fault(ResultCode.PLATFORM_UNAVAILABLE, message, retry_after_ms=1000))
