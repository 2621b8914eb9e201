"""Decodes the latency histograms of snapshots, merges them and reads percentiles."""

from collections.abc import Iterable, Sequence

from hdrh.histogram import HdrHistogram

from fescuedock.report.metrics import HistogramKey, new_histogram
from fescuedock.schema.report import MetricsSnapshot

__all__ = ["merge_histograms", "percentiles_ms"]

_US_PER_MS = 1000


def merge_histograms(snapshots: Iterable[MetricsSnapshot]) -> dict[HistogramKey, HdrHistogram]:
    """Merge the histograms of ``snapshots``, without loss since all have the same layout."""
    merged: dict[HistogramKey, HdrHistogram] = {}
    for snapshot in snapshots:
        for item in snapshot.histograms:
            key = HistogramKey(item.service, item.work_class, item.member_group, item.measure)
            if key not in merged:
                merged[key] = new_histogram()
            merged[key].decode_and_add(item.encoded)
    return merged


def percentiles_ms(histogram: HdrHistogram, percentiles: Sequence[float]) -> list[float]:
    """Return the value at each of ``percentiles`` (0 to 100) in milliseconds."""
    return [histogram.get_value_at_percentile(point) / _US_PER_MS for point in percentiles]
