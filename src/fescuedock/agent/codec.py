"""The one codec of all messages between our processes."""

from collections.abc import Sequence
from pathlib import Path

from fescuedock.net.codec import Codec, Key, load_keys
from fescuedock.schema import (
    config,
    crashes,
    membership,
    origins,
    permits,
    replicas,
    report,
    stored_jobs,
    view,
)
from fescuedock.schema.settings import VmSettings

__all__ = ["open_codec", "open_node_codec"]

# What nodes and spools speak.
_MODULES = (
    config,
    crashes,
    membership,
    origins,
    permits,
    replicas,
    report,
    stored_jobs,
    view,
)


def open_node_codec(settings: VmSettings) -> Codec:
    """Return a codec over what nodes and spools speak; otherwise as ``open_codec``."""
    return Codec(_MODULES, _keys_of(settings))


def open_codec(settings: VmSettings) -> Codec:
    """Return a codec over every schema module, signing with the keys that ``settings`` names.

    ``OSError`` or ``ValueError`` when the key file cannot be read; without one nothing is signed.
    """
    # Loaded here, as each module that a start loads costs all restarts of a fleet.
    from fescuedock.schema import batch, store

    return Codec((*_MODULES, batch, store), _keys_of(settings))


def _keys_of(settings: VmSettings) -> Sequence[Key]:
    return load_keys(Path(settings.key_file)) if settings.key_file else ()
