"""The one codec of all messages between our processes."""

from pathlib import Path

from fescuedock.net.codec import Codec, load_keys
from fescuedock.schema import (
    batch,
    config,
    crashes,
    membership,
    origins,
    permits,
    replicas,
    report,
    store,
    stored_jobs,
    view,
)
from fescuedock.schema.settings import VmSettings

__all__ = ["open_codec"]

_MODULES = (
    batch,
    config,
    crashes,
    membership,
    origins,
    permits,
    replicas,
    report,
    store,
    stored_jobs,
    view,
)


def open_codec(settings: VmSettings) -> Codec:
    """Return a codec over every schema module, signing with the keys that ``settings`` names.

    ``OSError`` or ``ValueError`` when the key file cannot be read; without one nothing is signed.
    """
    keys = load_keys(Path(settings.key_file)) if settings.key_file else ()
    return Codec(_MODULES, keys)
