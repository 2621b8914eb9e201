"""Message encoding: type name and MessagePack body, authenticated by a keyed digest.

A frame with a wrong digest, an unknown type or an invalid body raises ``BadMessageError`` and has
no effect.
"""

import hashlib
import hmac
from collections.abc import Iterable, Sequence
from pathlib import Path
from types import ModuleType

import msgspec

from fescuedock.log import log_event

__all__ = ["BadMessageError", "Codec", "Key", "load_keys", "log_unreadable_message"]

_DIGEST_BYTES = 16


class BadMessageError(Exception):
    """A received message that must be ignored; the text says why."""


def log_unreadable_message(error: BadMessageError) -> None:
    """Log that a received message is dropped, as a peer of another version or key sends many."""
    log_event("message_unreadable", routine=True, reason=str(error))


class Key(msgspec.Struct, frozen=True):
    """A named shared secret."""

    name: str
    secret: bytes


def load_keys(path: Path) -> list[Key]:
    """Read a key file of ``name hex`` lines, newest first; raise ``ValueError`` for a bad line."""
    keys: list[Key] = []
    for number, line in enumerate(path.read_text(encoding="ascii").splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        name, _, secret = line.strip().partition(" ")
        try:
            keys.append(Key(name, bytes.fromhex(secret)))
        except ValueError as error:
            raise ValueError(f"{path}, line {number}: not 'name hex'") from error
        if len(keys[-1].secret) < _DIGEST_BYTES:
            raise ValueError(f"{path}, line {number}: a secret needs {_DIGEST_BYTES} bytes")
    return keys


class Codec:
    """Encodes and decodes the message types of the given schema modules.

    It signs with the first key and accepts every key, so that keys can be rotated while two are
    valid.  Without keys there is no digest.
    """

    def __init__(self, modules: Iterable[ModuleType], keys: Sequence[Key] = ()) -> None:
        self._keys = tuple(keys)
        self._encoder = msgspec.msgpack.Encoder()
        self._types: dict[str, type[msgspec.Struct]] = {
            name: item
            for module in modules
            for name, item in vars(module).items()
            if isinstance(item, type) and issubclass(item, msgspec.Struct)
        }
        # Created at the first message of each type: creating all takes 30 ms of a node's start.
        self._decoders: dict[str, msgspec.msgpack.Decoder] = {}

    def encode(self, message: msgspec.Struct, context: bytes = b"") -> bytes:
        """Return the signed bytes of ``message``; ``context`` is covered by the digest."""
        body = self._encoder.encode((type(message).__name__, message))
        if not self._keys:
            return body
        return _digest(self._keys[0], context, body) + body

    def decode(self, data: bytes, context: bytes = b"") -> msgspec.Struct:
        """Return the message in ``data``; raise ``BadMessageError`` if it is invalid."""
        body = self._verify(data, context)
        try:
            name, raw = msgspec.msgpack.decode(body, type=tuple[str, msgspec.Raw])
            decoder = self._decoders.get(name) or self._make_decoder(name)
            return decoder.decode(raw)
        except KeyError as error:
            raise BadMessageError(f"unknown message type {error}") from error
        except (msgspec.MsgspecError, RecursionError) as error:
            raise BadMessageError(str(error)) from error

    def _make_decoder(self, name: str) -> msgspec.msgpack.Decoder:
        decoder = msgspec.msgpack.Decoder(self._types[name])
        self._decoders[name] = decoder
        return decoder

    def _verify(self, data: bytes, context: bytes) -> bytes:
        if not self._keys:
            return data
        digest, body = data[:_DIGEST_BYTES], data[_DIGEST_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(digest, _digest(key, context, body)):
                return body
        raise BadMessageError("wrong digest")


def _digest(key: Key, context: bytes, body: bytes) -> bytes:
    signer = hmac.new(key.secret, len(context).to_bytes(4, "big"), hashlib.sha256)
    signer.update(context)
    signer.update(body)
    return signer.digest()[:_DIGEST_BYTES]
