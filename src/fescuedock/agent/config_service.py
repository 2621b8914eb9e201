"""The configuration as one VM's agent holds it: confirms, spreads and changes it."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

import msgspec
from result import Result

from fescuedock.faults import Fault
from fescuedock.net.channel import CallHandler
from fescuedock.platform.kv import KvStore
from fescuedock.schema.view import VmRecord
from fescuedock.settings import Settings

__all__ = ["CallPeer", "ConfigService", "VmSource"]

# Calls the agent of another VM: the VM, the message, the timeout in milliseconds.
CallPeer = Callable[[VmRecord, msgspec.Struct, float], Awaitable[Result[msgspec.Struct, Fault]]]


class VmSource(Protocol):
    """What the service needs of membership."""

    def vms(self) -> Sequence[VmRecord]:
        """Return every VM that membership knows, this one and gone ones included."""


@dataclass(slots=True)
class ConfigService:
    """Made once by the agent, which runs ``run`` and merges ``handlers`` into its own."""

    settings: Settings
    kv: KvStore
    vms: VmSource
    call_peer: CallPeer
    random: Random

    @property
    def current_version(self) -> int:
        """The version in force on this VM; 0 when none was ever accepted."""
        raise NotImplementedError

    @property
    def document(self) -> bytes:
        """The ``Configuration`` in force, as JSON."""
        raise NotImplementedError

    @property
    def confirmed_age_ms(self) -> float:
        """Time since the version in force was known to be the newest; infinite when never."""
        raise NotImplementedError

    @property
    def unconfirmed(self) -> bool:
        """Whether the age is over ``config_confirm_ms``."""
        raise NotImplementedError

    @property
    def serving(self) -> bool:
        """Whether the cut-off policy lets the entry of this VM take new requests."""
        raise NotImplementedError

    def on_peer_version(self, vm: VmRecord, version: int) -> None:
        """Note the version that a membership message of ``vm`` carried."""
        raise NotImplementedError

    async def wait_changed(self, seen_version: int) -> None:
        """Return when the version in force is above ``seen_version``."""
        raise NotImplementedError

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Return the handlers of this service's messages by message type."""
        raise NotImplementedError

    async def run(self) -> None:
        """Keep the version confirmed and spread it until cancelled."""
        raise NotImplementedError
