"""The codec of all messages between the processes of a fleet."""

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

# Schema modules of the messages of nodes and spools.
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
    """Return a codec for the messages of nodes and spools; otherwise as ``open_codec``."""
    return Codec(_MODULES, _keys_of(settings))


def open_codec(settings: VmSettings) -> Codec:
    """Return a codec for every schema module that signs with the key file of ``settings``.

    Without a key file messages are not signed.  Raise ``OSError`` or ``ValueError`` when the file
    cannot be read.
    """
    # Imported here, as every module imported at start-up slows each restart of the fleet.
    from fescuedock.schema import batch, store

    return Codec((*_MODULES, batch, store), _keys_of(settings))


def _keys_of(settings: VmSettings) -> Sequence[Key]:
    return load_keys(Path(settings.key_file)) if settings.key_file else ()
