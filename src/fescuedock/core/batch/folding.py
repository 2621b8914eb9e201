"""Moves committed groups from the record to manifest segments to keep the record small."""

from fescuedock.core.batch.actions import PutSegment
from fescuedock.core.batch.results import manifest_body, without_copies
from fescuedock.schema.batch import JobRecord, SegmentRef

__all__ = ["ManifestFolder"]

# Distinct from the numbers of result segments, which begin at 0.
_MANIFEST_NUMBER = -1
_RETRY_MS = 1000.0


class ManifestFolder:
    """Folds ``groups_per_manifest`` groups at a time, and all of them when the job finishes."""

    __slots__ = ("_busy", "_folded", "_groups_per_manifest", "_retry_at_ms")

    def __init__(self, groups_per_manifest: int) -> None:
        self._groups_per_manifest = groups_per_manifest
        self._busy = False
        self._folded: SegmentRef | None = None
        self._retry_at_ms = 0.0

    @property
    def due_at_ms(self) -> float:
        return self._retry_at_ms

    def is_manifest(self, number: int) -> bool:
        """Return whether segment ``number`` is a manifest."""
        return number == _MANIFEST_NUMBER

    def is_folded(self, record: JobRecord) -> bool:
        """Return whether no further folding can make the record smaller."""
        return not self._busy and len(record.groups) <= 1

    def next_action(self, record: JobRecord, finishing: bool, now_ms: float) -> PutSegment | None:
        """Return the manifest to write now, if any."""
        if self._folded is not None and self._folded in record.manifests:
            self._folded = None
        if self._busy or self._folded is not None or now_ms < self._retry_at_ms:
            return None
        count = len(record.groups) if finishing else self._groups_per_manifest
        if len(record.groups) < max(count, 2):
            return None
        self._busy = True
        return PutSegment(_MANIFEST_NUMBER, manifest_body(record.groups[:count]), count)

    def on_segment(self, ref: SegmentRef) -> SegmentRef:
        """Handle the written manifest; return the reference that replaces its groups."""
        self._busy = False
        self._folded = without_copies(ref)
        return self._folded

    def on_failed(self, now_ms: float) -> None:
        self._busy = False
        self._retry_at_ms = now_ms + _RETRY_MS
