"""The checked settings of one VM, as every program gets them."""

from dataclasses import dataclass

from fescuedock.schema.settings import (
    AgentSettings,
    BatchSettings,
    EntrySettings,
    PlatformSettings,
    StoreSettings,
    VmSettings,
)

__all__ = ["Settings"]


@dataclass(frozen=True, slots=True)
class Settings:
    """One INI file.  A section that a program does not need may be None."""

    vm: VmSettings
    platform: PlatformSettings
    entry: EntrySettings | None = None
    agent: AgentSettings | None = None
    batch: BatchSettings | None = None
    store: StoreSettings | None = None
