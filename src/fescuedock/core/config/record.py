"""The configuration's record: the next version from a patch, its chained hash, its encoding.

Every replica that applies the same patch to the same version gets an identical record, byte for
byte, which the chained hash proves.
"""

import hashlib
import zlib

import msgspec
from result import Err, Ok, Result

from fescuedock.core.config.check import find_problems
from fescuedock.core.config.merge import merge_patch
from fescuedock.schema.config import AppliedPatch, ConfigDelta, ConfigRecord, PatchRequest
from fescuedock.schema.result_codes import ResultCode

__all__ = [
    "MAX_PATCHES",
    "MAX_RECORD_BYTES",
    "BadRecordError",
    "Refusal",
    "apply_delta",
    "apply_request",
    "chain_agrees",
    "decode_record",
    "empty_record",
    "encode_record",
    "find_applied",
    "last_delta",
    "patch_hash",
]

# A resent patch that is no longer listed is refused as stale, so the bound does not affect safety,
# only how helpful the answer is.
MAX_PATCHES = 256
# The key-value service accepts values of up to 1 MB.
MAX_RECORD_BYTES = 1_000_000
# Limit of the decompressed size, so that a corrupt record cannot exhaust memory.
_MAX_DECOMPRESSED_BYTES = 16_000_000
# A patch up to this size is stored in the record, so that its readers can forward it as a delta.
_MAX_STORED_PATCH_BYTES = 32_000
_COMPRESSION_LEVEL = 6
_EMPTY_DOCUMENT = b"{}"

_json = msgspec.json.Encoder(order="deterministic")
_packer = msgspec.msgpack.Encoder()
_unpacker = msgspec.msgpack.Decoder(ConfigRecord)


class BadRecordError(ValueError):
    """The bytes are not a record, or the record's chained hash does not match its content."""


class Refusal(msgspec.Struct, frozen=True):
    """Why a patch was not accepted; ``version`` is the current one."""

    code: ResultCode
    version: int
    problems: tuple[str, ...] = ()


def empty_record() -> ConfigRecord:
    """Return version 0, the state before the first write."""
    return ConfigRecord(version=0, chain_hash="", document=_EMPTY_DOCUMENT, last_patch=b"")


def patch_hash(request: PatchRequest) -> str:
    """Return a hash of a patch's content, which detects reuse of its identity for another patch."""
    return hashlib.sha256(_json.encode((request.base_version, request.patch))).hexdigest()


def find_applied(record: ConfigRecord, patch_id: str) -> AppliedPatch | None:
    """Return the entry of ``record`` for a patch identity, None if there is none."""
    return next((item for item in record.patches if item.patch_id == patch_id), None)


def apply_request(
    record: ConfigRecord, request: PatchRequest, accepted_at_s: int
) -> Result[tuple[ConfigRecord, ConfigDelta], Refusal]:
    """Return the next record and its delta (without a revision), or why the patch is refused."""
    if request.base_version != record.version:
        return Err(Refusal(ResultCode.STALE_VERSION, record.version))
    previous = msgspec.json.decode(record.document)
    document = merge_patch(previous, request.patch)
    problems = find_problems(document, previous)
    if problems:
        return Err(Refusal(ResultCode.INVALID_PATCH, record.version, tuple(problems)))
    applied = AppliedPatch(
        patch_id=request.patch_id,
        patch_hash=patch_hash(request),
        version=record.version + 1,
        actor=request.actor,
        accepted_at_s=accepted_at_s,
    )
    patch = _json.encode(request.patch)
    successor = _successor(record, document, patch, applied)
    size_bytes = len(encode_record(successor))
    if size_bytes > MAX_RECORD_BYTES:
        problem = f"configuration: {size_bytes} bytes are over the limit of {MAX_RECORD_BYTES}"
        return Err(Refusal(ResultCode.INVALID_PATCH, record.version, (problem,)))
    return Ok((successor, ConfigDelta(patch, successor.patches[-1], 0)))


def apply_delta(record: ConfigRecord, delta: ConfigDelta) -> ConfigRecord | None:
    """Return ``record`` with ``delta`` applied; None if the version or chained hash mismatches."""
    if delta.applied.version != record.version + 1:
        return None
    try:
        document = merge_patch(
            msgspec.json.decode(record.document), msgspec.json.decode(delta.patch)
        )
    except msgspec.DecodeError:
        return None
    successor = _successor(record, document, delta.patch, delta.applied)
    return successor if successor.chain_hash == delta.applied.chain_hash else None


def last_delta(record: ConfigRecord, kv_revision: int) -> ConfigDelta | None:
    """Return the delta that produced ``record``, if its patch is stored."""
    if not record.last_patch:
        return None
    return ConfigDelta(record.last_patch, record.patches[-1], kv_revision)


def chain_agrees(older: ConfigRecord, newer: ConfigRecord) -> bool:
    """Whether ``newer`` descends from ``older``, as far as its stored hashes reach.

    A record stores the last ``MAX_PATCHES`` hashes; for an older ``older`` this returns True.
    """
    if older.version in (0, newer.version):
        return older.version == 0 or older.chain_hash == newer.chain_hash
    for applied in newer.patches:
        if applied.version == older.version:
            return applied.chain_hash == older.chain_hash
    return True


def encode_record(record: ConfigRecord) -> bytes:
    """Return the encoding used in the key-value service and in messages between VMs."""
    return zlib.compress(_packer.encode(record), _COMPRESSION_LEVEL)


def decode_record(data: bytes) -> ConfigRecord:
    """Decode a record; raise ``BadRecordError`` when it is invalid or its chain does not match."""
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, _MAX_DECOMPRESSED_BYTES)
        record = _unpacker.decode(plain)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise BadRecordError(f"not a configuration record: {error}") from error
    if record.version and not _is_consistent(record):
        raise BadRecordError(f"the chained hash of version {record.version} does not agree")
    return record


def _is_consistent(record: ConfigRecord) -> bool:
    if not record.patches:
        return False
    newest = record.patches[-1]
    if (newest.version, newest.chain_hash) != (record.version, record.chain_hash):
        return False
    previous_hash = record.patches[-2].chain_hash if len(record.patches) > 1 else ""
    return _chain_hash(previous_hash, newest, record.document) == record.chain_hash


def _successor(
    record: ConfigRecord, document: object, patch: bytes, applied: AppliedPatch
) -> ConfigRecord:
    encoded = _json.encode(document)
    chain_hash = _chain_hash(record.chain_hash, applied, encoded)
    applied = msgspec.structs.replace(applied, chain_hash=chain_hash)
    return ConfigRecord(
        version=applied.version,
        chain_hash=chain_hash,
        document=encoded,
        patches=[*record.patches, applied][-MAX_PATCHES:],
        last_patch=patch if len(patch) <= _MAX_STORED_PATCH_BYTES else b"",
    )


def _chain_hash(previous_hash: str, applied: AppliedPatch, document: bytes) -> str:
    identity = (
        previous_hash,
        applied.version,
        applied.patch_id,
        applied.patch_hash,
        applied.actor,
        applied.accepted_at_s,
    )
    digest = hashlib.sha256(_json.encode(identity))
    digest.update(document)
    return digest.hexdigest()
