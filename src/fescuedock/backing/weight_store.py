"""Client of the platform's weight store: the catalog of weights and the total load rate."""

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

__all__ = ["WeightCatalog", "WeightRecord", "WeightStoreClient"]

_MAX_CATALOG_BYTES = 16 * 1024 * 1024
_TIMEOUT_MS = 5000


class WeightRecord(msgspec.Struct, frozen=True):
    """The weights of one version of a model, or of an adapter of it when ``adapter`` is set."""

    model: str
    version: str
    size_bytes: int
    adapter: str = ""


class WeightCatalog(msgspec.Struct, frozen=True):
    """The weights in the store, and the bytes per second shared by all loads."""

    weights: tuple[WeightRecord, ...]
    bytes_per_s: int

    def size_bytes(self, model: str, version: str, adapter: str = "") -> int | None:
        """Return the size of the given weights; None when the store does not have them."""
        for record in self.weights:
            if (record.model, record.version, record.adapter) == (model, version, adapter):
                return record.size_bytes
        return None


class WeightStoreClient:
    """Reads the catalog; the engines load the weights directly from the store."""

    def __init__(self, http: HttpClient, settings: PlatformSettings) -> None:
        self._http = http
        self._address = Address.parse(settings.weight_store_address)

    async def read_catalog(self) -> Result[WeightCatalog, Fault]:
        """Return the catalog.  Errors: ``PLATFORM_UNAVAILABLE``."""
        try:
            with trio.fail_after(_TIMEOUT_MS / 1000):
                async with self._http.request(self._address, "GET", "/v1/weights") as response:
                    body = await response.read(_MAX_CATALOG_BYTES)
            if response.status == 200:
                return Ok(msgspec.json.decode(body, type=WeightCatalog))
            message = f"answered {response.status}"
        except (
            NotSentError,
            ResponseLostError,
            ResponseTooLargeError,
            trio.TooSlowError,
            msgspec.MsgspecError,
        ) as error:
            message = repr(error)
        text = f"weight store at {self._address}: {message}"
        return Err(Fault(ResultCode.PLATFORM_UNAVAILABLE, text, retry_after_ms=1000))
