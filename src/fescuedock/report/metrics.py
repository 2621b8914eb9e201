"""Metrics of one process: latency histograms, result codes, and promises kept.

Snapshots of several processes can be merged without loss.  To bound memory, members are counted by
group and never by name, and the number of services is limited.
"""

import zlib
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable

import msgspec
from hdrh.histogram import HdrHistogram

from fescuedock.clock import UnixClock
from fescuedock.core.burn import SlotSeries
from fescuedock.schema.config import Objectives
from fescuedock.schema.report import (
    CodeCount,
    LatencyBuckets,
    LatencyHistogram,
    MetricsSnapshot,
    ServiceSlots,
)
from fescuedock.schema.result_codes import ResultCode

__all__ = ["BUCKET_BOUNDS_MS", "HistogramKey", "Measure", "Metrics", "group_of", "new_histogram"]

# Inclusive upper bounds of the latency buckets exported to Prometheus.
BUCKET_BOUNDS_MS = (5, 10, 20, 31, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000, 60000)

_MAX_SERVICES = 64
_MEMBER_GROUPS = 8
_OTHER_SERVICES = "other"
_US_PER_MS = 1000
_MAX_VALUE_US = 3600 * 1000 * 1000
_SIGNIFICANT_DIGITS = 2
_ONLINE = "online"
_BATCH = "batch"
# Errors that only the caller could have avoided; they do not count against the service.
_CALLER_ERRORS = frozenset(
    code
    for code in ResultCode
    if 1000 <= code < 2000 or code in (ResultCode.UPSTREAM_REJECTED, ResultCode.ALREADY_CLAIMED)
)

ObjectivesOf = Callable[[str], Objectives]


class Measure:
    """Names of the measured latencies."""

    FIRST_TOKEN = "first_token"
    INTER_TOKEN = "inter_token"
    ITEM = "item"
    # Single runs of items that produced events, and those that were interrupted before.
    RUN_WITH_EVENTS = "run_with_events"
    RUN_WITHOUT_EVENTS = "run_without_events"


class HistogramKey(msgspec.Struct, frozen=True, order=True):
    """The labels of one histogram."""

    service: str
    work_class: str
    member_group: str
    measure: str


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds up to an hour, with two significant digits."""
    return HdrHistogram(1, _MAX_VALUE_US, _SIGNIFICANT_DIGITS)


class Metrics:
    """The metrics of one process.

    ``process`` is unique in the fleet: VM, program and incarnation, separated by slashes.
    ``objectives`` returns the objectives of a service that are in force.
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_codes",
        "_histograms",
        "_objectives",
        "_process",
        "_series",
    )

    def __init__(
        self, process: str, unix_clock: UnixClock, objectives: ObjectivesOf | None = None
    ) -> None:
        self._process = process
        self._clock = unix_clock
        self._objectives = objectives or _default_objectives
        self._series: dict[str, SlotSeries] = {}
        self._histograms: dict[HistogramKey, HdrHistogram] = {}
        self._buckets: dict[tuple[str, str, str], LatencyBuckets] = {}
        self._codes: Counter[tuple[str, int]] = Counter()

    def record_online(
        self,
        service: str,
        member: str,
        first_token_ms: float,
        inter_token_ms: float,
        code: ResultCode,
    ) -> None:
        """Count one online query at its end.

        ``inter_token_ms`` is the mean time between its tokens, 0 for an answer that is not
        streamed.  Both times are ignored for a query that failed.
        """
        service = self._bounded_service(service)
        self._codes[service, int(code)] += 1
        if code in _CALLER_ERRORS:
            return
        answered = code == ResultCode.OK
        objectives = self._objectives(service)
        in_time = (
            answered
            and first_token_ms <= objectives.first_token_ms
            and inter_token_ms <= objectives.inter_token_ms
        )
        self._series[service].count_online(self._clock(), in_time=in_time, failed=not answered)
        if answered:
            group = group_of(member)
            self._record(service, _ONLINE, group, Measure.FIRST_TOKEN, first_token_ms)
            if inter_token_ms:
                self._record(service, _ONLINE, group, Measure.INTER_TOKEN, inter_token_ms)

    def record_item(self, service: str, member: str, run_ms: float, code: ResultCode) -> None:
        """Count one batch item at its end; ``run_ms`` is the time since its dispatch."""
        service = self._bounded_service(service)
        self._codes[service, int(code)] += 1
        self._record(service, _BATCH, group_of(member), Measure.ITEM, run_ms)

    def record_run(self, service: str, run_ms: float, *, with_events: bool) -> None:
        """Count one run of a batch item, complete or interrupted.

        ``with_events`` says that it produced events.
        """
        measure = Measure.RUN_WITH_EVENTS if with_events else Measure.RUN_WITHOUT_EVENTS
        self._record(self._bounded_service(service), _BATCH, group_of(""), measure, run_ms)

    def record_job(self, service: str, in_time: bool) -> None:
        """Count one batch job, when it completes or when its deadline passes before."""
        self._series[self._bounded_service(service)].count_job(self._clock(), in_time=in_time)

    def snapshot(self) -> MetricsSnapshot:
        """Return all metrics.

        Encoding takes some 45 µs for each histogram; frequent readers use ``totals``.
        """
        now_s = self._clock()
        snapshot = self.totals()
        snapshot.services = [
            ServiceSlots(service, series.total, series.slots(now_s))
            for service, series in sorted(self._series.items())
        ]
        snapshot.histograms = [
            _encode(key, histogram) for key, histogram in sorted(self._histograms.items())
        ]
        return snapshot

    def totals(self) -> MetricsSnapshot:
        """Return the counts since the start, without time slots and histograms."""
        return MetricsSnapshot(
            process=self._process,
            taken_at_s=self._clock(),
            services=[
                ServiceSlots(service, series.total)
                for service, series in sorted(self._series.items())
            ],
            codes=[CodeCount(*key, count) for key, count in sorted(self._codes.items())],
            buckets=[buckets for _, buckets in sorted(self._buckets.items())],
        )

    def _record(self, service: str, work_class: str, group: str, measure: str, ms: float) -> None:
        key = HistogramKey(service, work_class, group, measure)
        if key not in self._histograms:
            self._histograms[key] = new_histogram()
        value_us = min(max(round(ms * _US_PER_MS), 1), _MAX_VALUE_US)
        self._histograms[key].record_value(value_us)
        buckets = self._buckets_of(service, work_class, measure)
        buckets.counts[bisect_left(BUCKET_BOUNDS_MS, ms)] += 1
        buckets.sum_ms += ms

    def _buckets_of(self, service: str, work_class: str, measure: str) -> LatencyBuckets:
        key = (service, work_class, measure)
        if key not in self._buckets:
            counts = [0] * (len(BUCKET_BOUNDS_MS) + 1)
            self._buckets[key] = LatencyBuckets(service, work_class, measure, counts)
        return self._buckets[key]

    def _bounded_service(self, service: str) -> str:
        if service not in self._series:
            if len(self._series) >= _MAX_SERVICES:
                service = _OTHER_SERVICES
            self._series.setdefault(service, SlotSeries())
        return service


def group_of(member: str) -> str:
    """Return the group that ``member`` is counted in, which is the same in all processes."""
    return f"group-{zlib.crc32(member.encode()) % _MEMBER_GROUPS}"


def _default_objectives(_service: str) -> Objectives:
    return Objectives()


def _encode(key: HistogramKey, histogram: HdrHistogram) -> LatencyHistogram:
    return LatencyHistogram(
        key.service,
        key.work_class,
        key.member_group,
        key.measure,
        histogram.encode().decode("ascii"),
    )
