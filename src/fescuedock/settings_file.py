"""Detects changes of a running program's settings file, at a signal or by polling.

Programs apply their settings only at the start.  A change is validated and logged with the changed
keys, so that operators see the effect of a restart, and learn of an invalid file before one.
"""

import signal
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
import trio
from result import Err

from fescuedock.log import log_event
from fescuedock.settings import SECTIONS, Settings, load_settings

__all__ = ["SettingsFile", "changed_keys", "watch_settings"]

# Interval between checks for a change without a signal.
_POLL_INTERVAL_S = 2.0


class SettingsFile(msgspec.Struct):
    """A settings file, the sections that its program needs, and the last valid settings."""

    path: Path
    sections: Sequence[str]
    settings: Settings

    def reload(self) -> None:
        """Read the file again and log the changed keys, or its problems."""
        loaded = load_settings(self.path, self.sections)
        if isinstance(loaded, Err):
            log_event("settings_bad", file=str(self.path), problems=str(loaded.err_value))
            return
        keys = changed_keys(self.settings, loaded.ok_value)
        self.settings = loaded.ok_value
        log_event("settings_reloaded", file=str(self.path), changed=keys, need_restart=keys)


def changed_keys(old: Settings, new: Settings) -> list[str]:
    """Return the keys with different values, as ``section.key``."""
    keys: list[str] = []
    for section in SECTIONS:
        before, after = _values(old, section), _values(new, section)
        names = sorted(before.keys() | after.keys())
        keys += [f"{section}.{name}" for name in names if before.get(name) != after.get(name)]
    return keys


async def watch_settings(
    file: SettingsFile, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Reload at SIGHUP and whenever the file changes; never return."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_poll_forever, file)
            async for _ in signals:
                log_event("reload_requested", signal="SIGHUP")
                file.reload()


async def _poll_forever(file: SettingsFile) -> None:
    last_stamp = _file_stamp(file.path)
    while True:
        await trio.sleep(_POLL_INTERVAL_S)
        stamp = _file_stamp(file.path)
        if stamp != last_stamp:
            last_stamp = stamp
            file.reload()


def _file_stamp(path: Path) -> tuple[int, int] | None:
    """Return the file's modification time and size; None if they cannot be read."""
    try:
        status = path.stat()
    except OSError:
        return None
    return (status.st_mtime_ns, status.st_size)


def _values(settings: Settings, section: str) -> Mapping[str, Any]:
    values = getattr(settings, section)
    return {} if values is None else msgspec.structs.asdict(values)
