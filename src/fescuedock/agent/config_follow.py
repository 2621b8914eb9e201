"""Reads the configuration's record from the key-value service, until the service spreads it."""

import trio
from result import Ok

from fescuedock.clock import now_ms
from fescuedock.core.config.record import decode_record, empty_record
from fescuedock.platform.kv import KvEntry, KvStore
from fescuedock.settings import Settings

__all__ = ["ConfigFollower"]


class ConfigFollower:
    def __init__(self, settings: Settings, kv: KvStore) -> None:
        self._key = settings.platform.key_prefix + "config"
        self._bound_ms = settings.agent.config_confirm_ms
        self._kv = kv
        self._record = empty_record()
        self._read_at_ms = float("-inf")

    @property
    def current_version(self) -> int:
        return self._record.version

    @property
    def document(self) -> bytes:
        return self._record.document

    @property
    def confirmed_age_ms(self) -> float:
        return now_ms() - self._read_at_ms

    @property
    def unconfirmed(self) -> bool:
        return self.confirmed_age_ms > self._bound_ms

    @property
    def serving(self) -> bool:
        return True

    def on_peer_version(self, vm, version) -> None:
        return None

    def handlers(self):
        return {}

    async def run(self) -> None:
        while True:
            match await self._kv.get(self._key):
                case Ok(KvEntry() as entry):
                    self._record = decode_record(entry.value)
                    self._read_at_ms = now_ms()
                case Ok(None):
                    self._read_at_ms = now_ms()
            await trio.sleep(0.5)
