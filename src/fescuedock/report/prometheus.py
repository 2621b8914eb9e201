"""Metrics in Prometheus's text format, by its usual client library.

Labels are services, result codes and programs, all bounded; never members, upstreams or requests.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from fescuedock.report.histograms import cumulative_counts
from fescuedock.report.metrics import new_histogram
from fescuedock.schema.report import FleetStatus, MetricsSnapshot
from fescuedock.schema.result_codes import ResultCode

__all__ = ["CONTENT_TYPE", "exposition"]

CONTENT_TYPE = CONTENT_TYPE_LATEST
_BOUNDS_S = (0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)
_US_PER_S = 1_000_000
_MS_PER_S = 1000


def exposition(snapshots: Sequence[MetricsSnapshot], status: FleetStatus) -> bytes:
    """Return the text of ``GET /metrics`` for the programs of one VM."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_SnapshotCollector(snapshots, status))
    return generate_latest(registry)


@dataclass(frozen=True, slots=True, eq=False)
class _SnapshotCollector(Collector):
    """Gives the library our counts, which live in snapshots and not in its own objects."""

    snapshots: Sequence[MetricsSnapshot]
    status: FleetStatus

    def collect(self) -> Iterable[Metric]:
        yield _results(self.snapshots)
        yield from _promises(self.snapshots)
        yield _latencies(self.snapshots)
        yield from _fleet(self.status)


def _results(snapshots: Sequence[MetricsSnapshot]) -> Metric:
    family = CounterMetricFamily(
        "fescuedock_results",
        "Online queries and batch items by result code.",
        labels=("program", "service", "code"),
    )
    for snapshot in snapshots:
        for item in snapshot.codes:
            name = ResultCode(item.code).name
            family.add_metric((_program(snapshot), item.service, name), item.count)
    return family


def _promises(snapshots: Sequence[MetricsSnapshot]) -> Iterator[Metric]:
    """Yield how many queries and jobs there were and how many kept their objectives."""
    counts = (
        ("online", "Online queries that were ours to answer."),
        ("online_in_time", "Online queries answered within the objectives."),
        ("online_failed", "Online queries that got no answer."),
        ("jobs", "Batch jobs that ended or passed their deadline."),
        ("jobs_in_time", "Batch jobs whole by their deadline."),
    )
    for name, text in counts:
        family = CounterMetricFamily(f"fescuedock_{name}", text, labels=("program", "service"))
        for snapshot in snapshots:
            for service in snapshot.services:
                labels = (_program(snapshot), service.service)
                family.add_metric(labels, getattr(service.total, name))
        yield family


def _latencies(snapshots: Sequence[MetricsSnapshot]) -> Metric:
    family = HistogramMetricFamily(
        "fescuedock_latency_seconds",
        "First token, mean time between tokens, and run of batch items.",
        labels=("program", "service", "work_class", "measure"),
    )
    for labels, histogram in sorted(_merged_groups(snapshots).items(), key=lambda item: item[0]):
        bounds_us = [bound_s * _US_PER_S for bound_s in _BOUNDS_S]
        counts = cumulative_counts(histogram, bounds_us)
        buckets = [(str(bound), count) for bound, count in zip(_BOUNDS_S, counts, strict=True)]
        buckets.append(("+Inf", histogram.get_total_count()))
        total_s = histogram.get_mean_value() * histogram.get_total_count() / _US_PER_S
        family.add_metric(labels, buckets, total_s)
    return family


def _merged_groups(
    snapshots: Sequence[MetricsSnapshot],
) -> dict[tuple[str, str, str, str], HdrHistogram]:
    """Add up the member groups: with them, a scraper would keep eight times as much."""
    merged: dict[tuple[str, str, str, str], HdrHistogram] = {}
    for snapshot in snapshots:
        for item in snapshot.histograms:
            labels = (_program(snapshot), item.service, item.work_class, item.measure)
            merged.setdefault(labels, new_histogram()).decode_and_add(item.encoded)
    return merged


def _program(snapshot: MetricsSnapshot) -> str:
    """Return the program's name; its incarnation would be a new label at each start."""
    return snapshot.process.split("/")[1]


def _fleet(status: FleetStatus) -> Iterator[Metric]:
    gauges = (
        ("config_version", "Version of the configuration in force.", status.config_version),
        ("config_age_seconds", "Time since it was confirmed.", status.config_age_ms / _MS_PER_S),
        (
            "membership_age_seconds",
            "Time since the VM list was read.",
            status.membership_age_ms / _MS_PER_S,
        ),
        (
            "upstreams_without_owner",
            "Upstreams for which no live agent grants permits.",
            sum(not upstream.owner for upstream in status.upstreams),
        ),
    )
    for name, text, value in gauges:
        yield GaugeMetricFamily(f"fescuedock_{name}", text, value=value)
    vms = GaugeMetricFamily("fescuedock_vms", "VMs of ours by state.", labels=("state",))
    for state, count in Counter(vm.state for vm in status.vms).items():
        vms.add_metric((state,), count)
    yield vms
    upstreams = GaugeMetricFamily("fescuedock_upstreams", "Upstreams.", labels=("service",))
    for service, count in Counter(item.service for item in status.upstreams).items():
        upstreams.add_metric((service,), count)
    yield upstreams
