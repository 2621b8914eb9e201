"""Exports metrics in Prometheus's text format, using its client library.

Labels are services, result codes, programs and the customers with the most calls, all of them
bounded in number.  Upstreams and requests are never labels.
"""

import itertools
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from fescuedock.report.metrics import BUCKET_BOUNDS_MS
from fescuedock.schema.report import FleetStatus, MetricsSnapshot
from fescuedock.schema.result_codes import ResultCode

__all__ = ["CONTENT_TYPE", "exposition"]

CONTENT_TYPE = CONTENT_TYPE_LATEST
_MS_PER_S = 1000
# Customers with their own series; the others share one.
_MAX_NAMED_CUSTOMERS = 50
_OTHER_CUSTOMERS = "(others)"


def exposition(snapshots: Sequence[MetricsSnapshot], status: FleetStatus) -> bytes:
    """Return the body of ``GET /metrics`` for the programs of one VM."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_SnapshotCollector(snapshots, status))
    return generate_latest(registry)


@dataclass(frozen=True, slots=True, eq=False)
class _SnapshotCollector(Collector):
    """Converts snapshots to the library's metric families at each export."""

    snapshots: Sequence[MetricsSnapshot]
    status: FleetStatus

    def collect(self) -> Iterable[Metric]:
        yield _results(self.snapshots)
        yield from _promises(self.snapshots)
        yield _latencies(self.snapshots)
        yield from _fleet(self.status)
        yield _customers(self.status)


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
    """Yield the numbers of queries and jobs, and of those that met their objectives."""
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
    bounds = [*(str(bound_ms / _MS_PER_S) for bound_ms in BUCKET_BOUNDS_MS), "+Inf"]
    for snapshot in snapshots:
        for item in snapshot.buckets:
            labels = (_program(snapshot), item.service, item.work_class, item.measure)
            buckets = list(zip(bounds, itertools.accumulate(item.counts), strict=True))
            family.add_metric(labels, buckets, item.sum_ms / _MS_PER_S)
    return family


def _customers(status: FleetStatus) -> Metric:
    """Return the calls of customers, by name for those with the most refusals and calls."""
    family = CounterMetricFamily(
        "fescuedock_customer_calls",
        "Online calls of customers, let in or refused as over their limits.",
        labels=("customer", "outcome"),
    )
    used = [item for item in status.customers if item.admitted or item.refused]
    used.sort(key=lambda item: (-item.refused, -item.admitted, item.customer))
    named = [(item.customer, item.admitted, item.refused) for item in used[:_MAX_NAMED_CUSTOMERS]]
    rest = used[_MAX_NAMED_CUSTOMERS:]
    if rest:
        admitted, refused = sum(item.admitted for item in rest), sum(item.refused for item in rest)
        named.append((_OTHER_CUSTOMERS, admitted, refused))
    for name, admitted, refused in named:
        family.add_metric((name, "admitted"), admitted)
        family.add_metric((name, "refused"), refused)
    return family


def _program(snapshot: MetricsSnapshot) -> str:
    """Return the program's name, without the incarnation, which would add a label per start."""
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
        ("held_bytes", "Bytes held for slow clients.", status.held_bytes),
        (
            "restricted_items",
            "Batch items that may run only in isolation.",
            status.restricted_items,
        ),
    )
    for name, text, value in gauges:
        yield GaugeMetricFamily(f"fescuedock_{name}", text, value=value)
    text = "Slow clients that were cut off."
    yield CounterMetricFamily("fescuedock_cut_off_callers", text, value=status.cut_off_callers)
    text = "Units of work that an unexpected exception has ended."
    errors = CounterMetricFamily("fescuedock_internal_errors", text, labels=("work",))
    for work, count in sorted(status.internal_errors.items()):
        errors.add_metric((work,), count)
    yield errors
    text = "Works and parts of prompts that upstreams ended under, or were shown not to end under."
    traits = GaugeMetricFamily("fescuedock_quarantine_traits", text, labels=("state",))
    traits.add_metric(("suspected",), status.suspected_traits)
    traits.add_metric(("harmful",), status.harmful_traits)
    traits.add_metric(("cleared",), status.cleared_traits)
    yield traits
    text = "Batch items without a listed result, by what they wait for."
    held = GaugeMetricFamily("fescuedock_held_items", text, labels=("hold",))
    text = "Longest time since such an item last ran, by what it waits for."
    holds = GaugeMetricFamily("fescuedock_longest_hold_seconds", text, labels=("hold",))
    for hold, count in status.held_items.items():
        held.add_metric((hold.lower(),), count)
        holds.add_metric((hold.lower(),), status.longest_holds_ms.get(hold, 0.0) / _MS_PER_S)
    yield held
    yield holds
    vms = GaugeMetricFamily("fescuedock_vms", "VMs of ours by state.", labels=("state",))
    for state, count in Counter(vm.state for vm in status.vms).items():
        vms.add_metric((state,), count)
    yield vms
    upstreams = GaugeMetricFamily("fescuedock_upstreams", "Upstreams.", labels=("service",))
    for service, count in Counter(item.service for item in status.upstreams).items():
        upstreams.add_metric((service,), count)
    yield upstreams
