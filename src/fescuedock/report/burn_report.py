"""Builds the burn report: merges the metrics of many processes and compares with objectives."""

from collections.abc import Iterable, Sequence

import msgspec

from fescuedock.core.burn import Alarm, Burn, assess_burn, merge_slots
from fescuedock.report.histograms import merge_histograms, percentiles_ms
from fescuedock.report.metrics import HistogramKey, new_histogram
from fescuedock.schema.report import (
    MetricsReport,
    MetricsSnapshot,
    ServiceObjectives,
    SlotCounts,
)

__all__ = ["PERCENTILES", "BurnReport", "Latency", "ServiceReport", "build_report"]

PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)


class Latency(msgspec.Struct, frozen=True):
    """One measure of one service over all members; ``values_ms`` belong to ``PERCENTILES``."""

    work_class: str
    measure: str
    count: int
    values_ms: tuple[float, ...]


class ServiceReport(msgspec.Struct, frozen=True):
    """One service: its objectives, the burn of each promise, latencies and counts by time slot."""

    service: str
    objectives: ServiceObjectives
    burns: tuple[Burn, ...]
    latencies: tuple[Latency, ...]
    slots: tuple[SlotCounts, ...]


class BurnReport(msgspec.Struct, frozen=True):
    """All services at ``at_s``, the Unix time of the newest metrics.

    ``missing`` lists the VMs that did not answer; the report lacks their counts.
    """

    at_s: int
    config_version: int
    processes: int
    missing: tuple[str, ...]
    services: tuple[ServiceReport, ...]

    @property
    def alarm(self) -> Alarm:
        """The most urgent alarm of all services."""
        alarms = {burn.alarm for service in self.services for burn in service.burns}
        return next((alarm for alarm in (Alarm.FAST, Alarm.SLOW) if alarm in alarms), Alarm.NONE)


def build_report(reports: Sequence[MetricsReport], missing: Sequence[str] = ()) -> BurnReport:
    """Merge ``reports``, using only the newest snapshot of each process.

    The objectives are those of the newest configuration.  A service that it does not have is
    reported with the default objectives while there are counts of it.
    """
    snapshots = _newest(item for report in reports for item in report.snapshots)
    newest = max(reports, key=lambda report: report.config_version, default=MetricsReport())
    at_s = max((item.taken_at_s for item in snapshots), default=0)
    slots = _slots_by_service(snapshots)
    latencies = _latencies_by_service(snapshots)
    names = sorted({*slots, *newest.objectives})
    services = tuple(
        _service_report(name, newest, slots.get(name, []), latencies.get(name, ()), at_s)
        for name in names
    )
    return BurnReport(at_s, newest.config_version, len(snapshots), tuple(missing), services)


def _newest(snapshots: Iterable[MetricsSnapshot]) -> list[MetricsSnapshot]:
    newest: dict[str, MetricsSnapshot] = {}
    for snapshot in snapshots:
        known = newest.get(snapshot.process)
        if known is None or known.taken_at_s < snapshot.taken_at_s:
            newest[snapshot.process] = snapshot
    return list(newest.values())


def _slots_by_service(snapshots: Iterable[MetricsSnapshot]) -> dict[str, list[SlotCounts]]:
    slots: dict[str, list[SlotCounts]] = {}
    for snapshot in snapshots:
        for item in snapshot.services:
            slots.setdefault(item.service, []).extend(item.slots)
    return {service: merge_slots(items) for service, items in slots.items()}


def _latencies_by_service(snapshots: Iterable[MetricsSnapshot]) -> dict[str, tuple[Latency, ...]]:
    """Return the latencies of each service, with the member groups of each measure merged."""
    merged: dict[tuple[str, str, str], object] = {}
    for key, histogram in sorted(merge_histograms(snapshots).items(), key=lambda item: item[0]):
        merged.setdefault(_measure_of(key), new_histogram()).add(histogram)
    latencies: dict[str, tuple[Latency, ...]] = {}
    for (service, work_class, measure), histogram in merged.items():
        values_ms = tuple(percentiles_ms(histogram, PERCENTILES))
        latency = Latency(work_class, measure, histogram.get_total_count(), values_ms)
        latencies[service] = (*latencies.get(service, ()), latency)
    return latencies


def _measure_of(key: HistogramKey) -> tuple[str, str, str]:
    return key.service, key.work_class, key.measure


def _service_report(
    name: str,
    newest: MetricsReport,
    slots: list[SlotCounts],
    latencies: tuple[Latency, ...],
    at_s: int,
) -> ServiceReport:
    objectives = newest.objectives.get(name, _DEFAULT_OBJECTIVES)
    burns = assess_burn(name, objectives, slots, at_s)
    return ServiceReport(name, objectives, burns, latencies, tuple(slots))


_DEFAULT_OBJECTIVES = ServiceObjectives(
    first_token_ms=1000, inter_token_ms=31, online_share=0.95, batch_share=0.99
)
