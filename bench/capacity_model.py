"""Target sizes, assumptions, and the resulting load of each mechanism.

Pure arithmetic on measured slopes: ``bench.capacity`` prints it into ``docs/CAPACITY.md``.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil

from bench.slopes import Slope
from fescuedock.core.permits.holder import validity_ms
from fescuedock.schema.settings import AgentSettings, BatchSettings

__all__ = ["Assumptions", "Load", "Target", "control_loads", "data_loads", "kv_loads", "total"]

_DAY_S = 86400
# Page size and interval of the shipped scanner of the job index.
_PAGE_KEYS = 1000
_SCAN_S = 10
# Failure domains in the section kv of bench.fleet.
_MEASURED_DOMAINS = 7


@dataclass(frozen=True, slots=True)
class Target:
    """The load that the users require in about two years."""

    nodes: int = 370
    upstreams: int = 690
    requests_per_s: float = 1800
    tokens_per_s: float = 450_000
    items_per_day: float = 71e6
    jobs_per_day: float = 4800
    config_changes_per_day: float = 910
    vm_failures_per_day: float = 16
    vm_replacements_per_day: float = 230
    failure_domains: int = 9
    control_core_share: float = 0.045
    control_mb: float = 256
    control_bytes_per_s: float = 12_000


@dataclass(frozen=True, slots=True)
class Assumptions:
    """Values that the target leaves open; the capacity page names each."""

    batch_hours: float = 8
    online_tokens: float = 100
    token_ms: float = 31
    first_token_ms: float = 1000
    claimed_share: float = 0.02
    store_vms: int = 37
    input_bytes: float = 600
    result_bytes: float = 1000
    copies: int = 3
    renewals_per_validity: int = 3
    # 0 uses the validity of the shipped policy for a fleet of the target's size.
    permit_valid_ms: float = 0
    load_poll_ms: float = 500
    load_page_bytes: float = 1000
    accept_kv_calls: float = 4
    job_open_s: float = 4 * 3600
    status_poll_s: float = 30


@dataclass(frozen=True, slots=True)
class Load:
    """The load of one mechanism on one node or the key-value service per second at the peak."""

    mechanism: str
    per_s: float
    cpu_us_per_s: float
    bytes_per_s: float
    formula: str

    @property
    def core_share(self) -> float:
        return self.cpu_us_per_s / 1e6


def total(loads: list[Load]) -> Load:
    """Return the sum of ``loads``."""
    return Load(
        "total",
        sum(load.per_s for load in loads),
        sum(load.cpu_us_per_s for load in loads),
        sum(load.bytes_per_s for load in loads),
        "",
    )


@dataclass(frozen=True, slots=True)
class _Peak:
    """Peak rates; of the entire fleet unless the name says per node."""

    items_per_s: float
    permit_requests_per_node_s: float
    online_in_flight: float
    batch_in_flight: float
    item_tokens: float


def _peak(target: Target, assumed: Assumptions) -> _Peak:
    items_per_s = target.items_per_day / (assumed.batch_hours * 3600)
    online_tokens_per_s = target.requests_per_s * assumed.online_tokens
    item_tokens = (target.tokens_per_s - online_tokens_per_s) / items_per_s
    online_s = (assumed.first_token_ms + assumed.online_tokens * assumed.token_ms) / 1000
    item_s = (assumed.first_token_ms + item_tokens * assumed.token_ms) / 1000
    return _Peak(
        items_per_s=items_per_s,
        permit_requests_per_node_s=(target.requests_per_s + items_per_s) / target.nodes,
        online_in_flight=target.requests_per_s * online_s,
        batch_in_flight=items_per_s * item_s,
        item_tokens=item_tokens,
    )


def control_loads(target: Target, assumed: Assumptions, slopes: Mapping[str, Slope]) -> list[Load]:
    """Return the control load of one node, as holder and owner of permits."""
    value = {name: slope.value for name, slope in slopes.items()}
    peak = _peak(target, assumed)
    permit_requests = peak.permit_requests_per_node_s
    held = (peak.online_in_flight + peak.batch_in_flight) / target.nodes
    # A node holds few permits compared to the number of owners, so each renewal message carries
    # about one permit.
    valid_ms = assumed.permit_valid_ms or validity_ms(AgentSettings(port=0), target.nodes)
    renewals = held * assumed.renewals_per_validity / (valid_ms / 1000)
    polls = target.upstreams / target.nodes / (assumed.load_poll_ms / 1000)
    changes = target.config_changes_per_day / _DAY_S
    request_bytes = value["permit_ask_bytes"] + value["permit_reply_bytes"]
    renew_bytes = value["permit_renew_bytes"] + value["permit_renew_reply_bytes"]
    return [
        Load(
            "membership, fleet view, local programs",
            value["membership_370_messages"],
            value["agent_370_0_cpu"] * 1e6,
            value["agent_370_0_bytes"],
            "measured on one agent process among 370 VMs and 690 upstreams",
        ),
        Load(
            "permits: asks and ends",
            permit_requests,
            permit_requests * (value["channel_call_us"] + value["permit_cycle_us"]),
            permit_requests * (request_bytes + value["permit_ended_bytes"]),
            "(requests/s + items/s) / nodes; holder and owner together",
        ),
        Load(
            "permits: renewals",
            renewals,
            renewals * (value["channel_call_us"] + value["permit_renewed_us"]),
            renewals * renew_bytes,
            f"permits held / nodes x {assumed.renewals_per_validity} each " f"{valid_ms:.0f} ms",
        ),
        Load(
            "engine load reports",
            polls,
            polls * value["http_request_us"],
            polls * assumed.load_page_bytes,
            f"upstreams / nodes, each {assumed.load_poll_ms:.0f} ms, by the owner alone",
        ),
        Load(
            "configuration",
            changes,
            changes * value["config_change_node_us"],
            changes * value["config_change_node_bytes"],
            "changes/day / 86 400, what one node sends and receives for each",
        ),
    ]


def data_loads(target: Target, assumed: Assumptions, slopes: Mapping[str, Slope]) -> list[Load]:
    """Return the data load of one node at the peak, assuming an even distribution."""
    value = {name: slope.value for name, slope in slopes.items()}
    peak = _peak(target, assumed)
    requests = target.requests_per_s / target.nodes
    items = peak.items_per_s / target.nodes
    online_tokens = requests * assumed.online_tokens
    item_tokens = items * peak.item_tokens
    stored = peak.items_per_s * (assumed.input_bytes + assumed.result_bytes) * assumed.copies
    stored_per_vm = stored / assumed.store_vms
    logged = peak.items_per_s * 2 / assumed.store_vms
    return [
        Load(
            "entry: requests",
            requests,
            requests * value["online_request_us"],
            0.0,
            "requests/s / nodes",
        ),
        Load(
            "entry: streamed tokens",
            online_tokens,
            online_tokens * value["online_token_us"],
            0.0,
            f"requests x {assumed.online_tokens:.0f} tokens",
        ),
        Load(
            "batch runner: items",
            items,
            items * value["batch_item_us"],
            items * (assumed.input_bytes + assumed.result_bytes * (assumed.copies + 2)),
            f"items/day in {assumed.batch_hours:.0f} h / nodes",
        ),
        Load(
            "batch runner: tokens read",
            item_tokens,
            item_tokens * value["engine_event_us"],
            0.0,
            "the rest of tokens/s; an item's tokens are read, not relayed",
        ),
        Load(
            f"store (one of {assumed.store_vms}): segments",
            stored_per_vm / 2**20,
            stored_per_vm / 2**20 * value["store_put_us_per_mib"],
            stored_per_vm,
            f"items/s x input and result x {assumed.copies} copies; MiB/s",
        ),
        Load(
            f"store (one of {assumed.store_vms}): result logs",
            logged,
            logged * value["store_log_us_per_record"],
            logged * assumed.result_bytes,
            "items/s x 2 logs; records/s",
        ),
    ]


def _group_interval_s(items_per_s: float) -> float:
    """Return the time between two commits of a job that completes ``items_per_s``."""
    settings = BatchSettings(port=0)
    full_s = settings.group_items / items_per_s
    aged_s = max(settings.group_age_ms / 1000, settings.group_min_items / items_per_s)
    return min(full_s, aged_s, settings.group_max_age_ms / 1000)


def kv_loads(target: Target, assumed: Assumptions, slopes: Mapping[str, Slope]) -> list[Load]:
    """Return key-value calls of the entire fleet; ``bytes_per_s`` is 0."""
    value = {name: slope.value for name, slope in slopes.items()}
    peak = _peak(target, assumed)
    jobs = target.jobs_per_day / (assumed.batch_hours * 3600)
    open_jobs = jobs * assumed.job_open_s
    status_reads = open_jobs / assumed.status_poll_s
    interval_s = _group_interval_s(peak.items_per_s / open_jobs)
    calls_for_group = value["batch_kv_calls_per_1000"] * BatchSettings(port=0).group_items / 1000
    claims = target.requests_per_s * assumed.claimed_share
    rows = {
        "job commits": (
            open_jobs / interval_s * calls_for_group,
            f"{open_jobs:.0f} open jobs, a group each {interval_s:.0f} s, "
            f"{calls_for_group:.1f} calls for a group",
        ),
        "file and job acceptance": (
            jobs * assumed.accept_kv_calls,
            f"jobs/s x {assumed.accept_kv_calls:.0f} calls, counted in the code",
        ),
        "callers asking for a job's state": (
            status_reads,
            f"open jobs, each read every {assumed.status_poll_s:.0f} s",
        ),
        "runners scanning the index of open jobs": (
            target.failure_domains * ceil(jobs * assumed.job_open_s / _PAGE_KEYS) / _SCAN_S,
            f"a scanner in each domain, every {_SCAN_S} s, by pages of {_PAGE_KEYS} keys",
        ),
        "calls with an Idempotency-Key": (
            claims * 2,
            f"{assumed.claimed_share:.0%} of requests, a claim and its answer each",
        ),
        "configuration": (
            value["config_370_kv_calls"] * target.failure_domains / _MEASURED_DOMAINS,
            f"measured with 370 replicas in {_MEASURED_DOMAINS} domains, by failure domains",
        ),
        "orders to engines": (
            (target.vm_failures_per_day + target.vm_replacements_per_day) / _DAY_S * 10,
            "10 calls for each VM that comes or goes (assumed)",
        ),
    }
    return [Load(name, calls, 0.0, 0.0, formula) for name, (calls, formula) in rows.items()]
