"""The settings of every program; each definition is one section of the INI file.

Generated from ``source/settings.yaml``; do not edit.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct


class VmSettings(Struct):
    """
    Section [vm]; read by every program.
    """

    vm_id: Annotated[str, Meta(max_length=64, min_length=1)]
    host: Annotated[str, Meta(description="IP number that the programs listen on.", min_length=7)]
    region: Annotated[str, Meta(max_length=64, min_length=1)]
    failure_domain: Annotated[str, Meta(max_length=64, min_length=1)]
    key_file: Annotated[str, Meta(description="File of shared secrets")] = ""
    log_file: Annotated[
        str, Meta(description="JSON lines; empty is standard error, - is standard output.")
    ] = ""
    stop_timeout_ms: Annotated[int, Meta(description="Bound of a graceful shutdown.", ge=0)] = 60000


class PlatformSettings(Struct):
    """
    Section [platform]; where the platform's services are, as HOST:PORT.
    """

    kv_addresses: Annotated[str, Meta(description="Comma-separated.", min_length=3)]
    vm_list_address: Annotated[str, Meta(min_length=3)]
    weight_store_address: str = ""
    kv_timeout_ms: Annotated[int, Meta(ge=1)] = 1500
    vm_list_poll_ms: Annotated[int, Meta(ge=10)] = 1500
    key_prefix: str = "/fescuedock/"


class EntrySettings(Struct):
    """
    Section [entry].
    """

    port: Annotated[int, Meta(description="0 takes a free port.", ge=0, le=65535)]
    max_body_bytes: Annotated[int, Meta(ge=1024)] = 268435456
    max_header_bytes: Annotated[int, Meta(ge=1024)] = 32768
    request_read_timeout_ms: Annotated[int, Meta(ge=1)] = 30000
    write_timeout_ms: Annotated[
        int, Meta(description="A caller that takes no byte for this long is cut off.", ge=1)
    ] = 30000
    answer_valid_ms: Annotated[int, Meta(description="valid_for_ms of /v1/entries.", ge=100)] = (
        10000
    )
    default_deadline_ms: Annotated[int, Meta(ge=1)] = 60000
    require_api_key: bool = False
    operator_key_hash: Annotated[
        str,
        Meta(
            description="SHA-256 in hex of the keys that may use /admin/, comma-separated; empty lets everybody who reaches the port.",
            pattern="^([0-9a-f]{64}( *, *[0-9a-f]{64})*)?$",
        ),
    ] = ""
    leave_spread_ms: Annotated[
        int,
        Meta(
            description="Time in which every VM hears that this entry is leaving; only then do the last answers that name it begin to expire.",
            ge=0,
        ),
    ] = 3000
    claim_retention_s: Annotated[
        int,
        Meta(description="How long a resend with the same Idempotency-Key finds its call.", ge=60),
    ] = 86400
    claim_sweep_interval_ms: Annotated[
        int, Meta(description="Between two removals of old claims.", ge=100)
    ] = 3600000


class CutOff(StrEnum):
    """
    What a VM does whose configuration stays unconfirmed (docs/CONFIGURATION.md).
    """

    SERVE = "serve"
    MAJORITY = "majority"
    REFUSE = "refuse"


class AgentSettings(Struct):
    """
    Section [agent].
    """

    port: Annotated[int, Meta(description="TCP for messages and UDP for probes.", ge=0, le=65535)]
    probe_interval_ms: Annotated[int, Meta(ge=10)] = 1000
    suspicion_ms: Annotated[
        int,
        Meta(
            description="Time that a suspected VM has to refute; longer in fleets of over ten VMs.",
            ge=10,
        ),
    ] = 3000
    removal_share: Annotated[
        float,
        Meta(
            description="Largest share of the VMs dropped on evidence from one failure domain.",
            ge=0.0,
            le=1.0,
        ),
    ] = 0.25
    permit_valid_ms: Annotated[
        int, Meta(description="Least time that a permit is good without renewal.", ge=100)
    ] = 2000
    permit_valid_per_vm_ms: Annotated[
        int,
        Meta(
            description="The time grows by this with each VM of the fleet so that renewals do not.",
            ge=0,
        ),
    ] = 40
    config_confirm_ms: Annotated[
        int, Meta(description="A VM whose version is unconfirmed for longer says so.", ge=100)
    ] = 15000
    config_cut_off: CutOff = CutOff.MAJORITY


class OrderSettings(Struct):
    """
    Section [orders]; optional. How agents give orders to engines; docs/ORDERS.md gives the reason of each.
    """

    lease_ms: Annotated[
        int, Meta(description="How long a holder may give orders without renewing.", ge=1000)
    ] = 10000
    margin_ms: Annotated[
        int, Meta(description="How much earlier the holder stops by its own clock.", ge=1)
    ] = 1000
    longest_order_ms: Annotated[
        int,
        Meta(
            description="Bound of one order; a new holder waits it out where engines ignore fencing numbers.",
            ge=1,
        ),
    ] = 120000
    load_slots: Annotated[
        int, Meta(description="Loads of weights at once in the whole fleet.", ge=1)
    ] = 4
    loads_per_model: Annotated[int, Meta(description="Loads of one model at once.", ge=1)] = 2
    slot_lease_s: Annotated[int, Meta(ge=2)] = 15
    retry_ms: Annotated[
        int, Meta(description="Pause after an order or a claim that failed.", ge=10)
    ] = 1000
    settled_poll_ms: Annotated[
        int,
        Meta(description="How often an engine that needs nothing is asked what it has.", ge=100),
    ] = 10000


class BatchSettings(Struct):
    """
    Section [batch].
    """

    port: Annotated[int, Meta(ge=0, le=65535)]
    max_items_in_flight: Annotated[
        int,
        Meta(
            description="Of all jobs of this runner; bounds memory and what runs again when the runner is lost.",
            ge=1,
        ),
    ] = 512
    group_items: Annotated[
        int, Meta(description="Results made final in one compare-and-swap at most.", ge=1)
    ] = 500
    group_age_ms: Annotated[int, Meta(ge=1)] = 2000
    group_min_items: Annotated[
        int, Meta(description="A group with fewer results waits up to group_max_age_ms.", ge=1)
    ] = 64
    group_max_age_ms: Annotated[int, Meta(ge=1)] = 20000
    manifest_groups: Annotated[
        int, Meta(description="Groups that move from the record to one manifest segment.", ge=2)
    ] = 32
    item_attempts: Annotated[int, Meta(ge=1)] = 4
    mark_items: Annotated[
        int,
        Meta(
            description="Items of a non-idempotent job marked in one write; after a loss so many at most end as unknown without having run.",
            ge=1,
        ),
    ] = 32
    retry_backoff_ms: Annotated[
        int,
        Meta(
            description="Before the second attempt of an item; doubled with each one and jittered.",
            ge=1,
        ),
    ] = 500
    max_retry_backoff_ms: Annotated[int, Meta(ge=1)] = 30000
    buffer_bytes: Annotated[
        int,
        Meta(
            description="Of one job: results that are not yet in a segment, and as much again of lines in flight. No new item starts above it.",
            ge=1024,
        ),
    ] = 33554432
    open_asks: Annotated[
        int, Meta(description="Permits asked for at once from the owner of one upstream.", ge=1)
    ] = 2
    ask_wait_ms: Annotated[
        int, Meta(description="How long an ask for a permit stays queued at the owner.", ge=1)
    ] = 2000
    scan_interval_ms: Annotated[
        int, Meta(description="Between two readings of the index of open jobs by a scanner.", ge=10)
    ] = 10000
    scanners_per_domain: Annotated[int, Meta(ge=1)] = 1
    takeover_silence_ms: Annotated[
        int,
        Meta(description="A live owner that does not answer for this long loses its jobs.", ge=1),
    ] = 10000
    record_age_ms: Annotated[
        int,
        Meta(
            description="No item begins on a job record that was not confirmed for longer, so that none begins later than this after an acknowledged cancel. A record in use is read at two thirds of it unless a commit confirms it.",
            ge=100,
        ),
    ] = 3000
    max_items: Annotated[int, Meta(ge=1)] = 110000
    max_line_bytes: Annotated[int, Meta(ge=1024, le=4194304)] = 1048576
    segment_items: Annotated[int, Meta(ge=1)] = 1000
    segment_bytes: Annotated[
        int, Meta(description="A single longer line makes a longer segment.", ge=1024, le=4194304)
    ] = 1048576
    copies: Annotated[int, Meta(description="Copies wanted of each segment.", ge=1)] = 3
    min_copies: Annotated[
        int, Meta(description="Copies in distinct failure domains before an acknowledgement.", ge=1)
    ] = 2


class StoreSettings(Struct):
    """
    Section [store].
    """

    port: Annotated[int, Meta(ge=0, le=65535)]
    data_folder: Annotated[str, Meta(min_length=1)]
    max_bytes: Annotated[int, Meta(ge=1048576)] = 10737418240
    repair_bytes_per_s: Annotated[
        int,
        Meta(
            description="What this store reads at most to copy segments to others and to check its own.",
            ge=1024,
        ),
    ] = 16777216
    repair_after_ms: Annotated[
        int,
        Meta(
            description="A change of the stores must last this long before segments are copied for it.",
            ge=0,
        ),
    ] = 30000
    sweep_interval_s: Annotated[
        int,
        Meta(
            description="Between two sweeps of everything; they check content and copies and apply the retention.",
            ge=1,
        ),
    ] = 21600
    segment_retention_s: Annotated[
        int,
        Meta(
            description="A segment or log goes this long after its last use. It must outlast record_retention_s by the longest completion window.",
            ge=1,
        ),
    ] = 5184000
    record_retention_s: Annotated[
        int,
        Meta(
            description="Records of files go this long after their creation and those of jobs this long after their end.",
            ge=1,
        ),
    ] = 2592000


class PermitSettings(Struct):
    """
    Section [permits]; optional. How agents grant permits and holders keep them. docs/PERMITS.md gives the reason and the sensitivity of each.
    """

    start_limit: Annotated[
        int,
        Meta(description="Attempts at once at an upstream of which nothing is known yet.", ge=1),
    ] = 8
    max_limit: Annotated[
        int, Meta(description="Attempts at once at any upstream however well it does.", ge=1)
    ] = 512
    limit_step: Annotated[
        float,
        Meta(
            description="Attempts added to a limit in use for each adjust_ms without a violation.",
            gt=0.0,
        ),
    ] = 1
    limit_cut: Annotated[
        float,
        Meta(description="Factor on a limit when online misses its objective.", gt=0.0, le=1.0),
    ] = 0.8
    adjust_ms: Annotated[int, Meta(description="Time between two raises of a limit.", ge=10)] = 500
    load_lag_ms: Annotated[
        int, Meta(description="Age of what an engine reports as its load.", ge=0)
    ] = 1000
    load_poll_ms: Annotated[
        int, Meta(description="Time between two reads of an engine's load by its owner.", ge=10)
    ] = 500
    estimate_half_life_ms: Annotated[
        int, Meta(description="Time in which a measurement loses half its weight.", ge=100)
    ] = 30000
    peak_half_life_ms: Annotated[
        int, Meta(description="Time in which a peak of online attempts is half forgotten.", ge=100)
    ] = 300000
    revocation_ms: Annotated[
        int, Meta(description="Time that a revocation takes until one has been measured.", ge=1)
    ] = 100
    burst_window_ms: Annotated[
        int,
        Meta(
            description="Headroom covers the online arrivals of this time, or of one revocation if that takes longer.",
            ge=0,
        ),
    ] = 50
    tail_rise: Annotated[
        float,
        Meta(
            description="Share by which batch may pass the peak that online reached by itself when online_weight is 1.",
            ge=0.0,
        ),
    ] = 0.2
    online_reserve: Annotated[
        float,
        Meta(
            description="Further attempts kept free of batch for each that online runs when online_weight is 1.",
            ge=0.0,
        ),
    ] = 1
    batch_start_share: Annotated[
        float,
        Meta(
            description="Share of an engine's time that the prompts of new batch attempts may take while online runs.",
            gt=0.0,
            le=1.0,
        ),
    ] = 0.5
    quiet_ms: Annotated[
        int,
        Meta(description="Time without online after which batch may use the whole upstream.", ge=0),
    ] = 2000
    max_waiting: Annotated[
        int, Meta(description="Asks that may wait for one upstream in each class.", ge=1)
    ] = 256
    urgent_slack_ms: Annotated[
        int, Meta(description="Batch with less slack than this is revoked last.", ge=0)
    ] = 600000
    local_limit: Annotated[
        int,
        Meta(
            description="Online attempts at once that one holder starts at an upstream whose owner is silent.",
            ge=1,
        ),
    ] = 2
    ended_batch_ms: Annotated[
        int, Meta(description="How long a holder gathers ended permits into one message.", ge=0)
    ] = 10
    ended_memory_ms: Annotated[
        int,
        Meta(
            description="How long an owner remembers an ended attempt so that a late ask cannot revive it.",
            ge=100,
        ),
    ] = 60000


class StandinSettings(Struct):
    """
    Section [standin]; read by fescuedock-standin alone. Ports of 0 take a free one. docs/STANDINS.md tells what each stand-in does.
    """

    host: Annotated[
        str, Meta(description="IP number that the stand-ins listen on.", min_length=7)
    ] = "127.0.0.1"
    control_port: Annotated[
        int, Meta(description="Faults on command over HTTP.", ge=0, le=65535)
    ] = 0
    kv_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    vm_list_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    weight_store_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    first_upstream_port: Annotated[
        int,
        Meta(
            description="Port of the first engine; the other engines and the plain services follow it.",
            ge=0,
            le=65535,
        ),
    ] = 0
    region: Annotated[str, Meta(min_length=1)] = "local"
    failure_domains: Annotated[
        str,
        Meta(description="Comma-separated; upstreams are spread over them in turn.", min_length=1),
    ] = "hall-a,hall-b,hall-c"
    system_vms: Annotated[str, Meta(description="VMs of ours that the VM list shows")] = ""
    engines: Annotated[int, Meta(ge=0)] = 3
    engine_service: Annotated[str, Meta(min_length=1)] = "demo-llm"
    models: Annotated[str, Meta(description="Models loaded from the start")] = "demo-model"
    checks_fencing: Annotated[
        bool, Meta(description="Whether engines refuse an order with an old fencing number.")
    ] = True
    plain_services: Annotated[int, Meta(ge=0)] = 1
    plain_service: Annotated[str, Meta(min_length=1)] = "demo-plain"
    step_ms: Annotated[
        float, Meta(description="Time of one step of an engine that serves nothing.", gt=0.0)
    ] = 12.5
    step_ms_per_sequence: Annotated[
        float, Meta(description="Added for each sequence that gets a token.", ge=0.0)
    ] = 0.3
    prefill_ms_per_token: Annotated[
        float, Meta(description="Added for each prompt token worked off.", ge=0.0)
    ] = 0.05
    max_prefill_tokens: Annotated[
        int, Meta(description="Prompt tokens worked off in one step at most.", ge=1)
    ] = 512
    max_sequences: Annotated[int, Meta(ge=1)] = 64
    kv_tokens: Annotated[
        int, Meta(description="Tokens whose KV fits into an engine's memory.", ge=1)
    ] = 200000
    prefix_cache_blocks: Annotated[int, Meta(description="Blocks of 16 tokens.", ge=0)] = 4000
    cache_event_delay_ms: Annotated[float, Meta(ge=0.0)] = 500
    cache_event_lose_every: Annotated[
        int, Meta(description="Every so-many-th cache event is lost; 0 loses none.", ge=0)
    ] = 0
    load_report_ms: Annotated[
        float, Meta(description="Age that an engine's load report can have.", gt=0.0)
    ] = 500
    model_load_ms: Annotated[
        float, Meta(description="Time of a load after its weights have come.", ge=0.0)
    ] = 100
    role_change_ms: Annotated[float, Meta(ge=0.0)] = 100
    weight_bytes: Annotated[int, Meta(description="Size of the weights of each model.", ge=0)] = (
        100000000
    )
    weight_bytes_per_s: Annotated[int, Meta(description="Rate that all loads share.", ge=1)] = (
        1000000000
    )
    vm_list_lag_ms: Annotated[float, Meta(ge=0.0)] = 0
    kv_progress_ms: Annotated[
        float, Meta(description="Time between two progress messages of a quiet watch.", gt=0.0)
    ] = 1000


class SpoolSettings(Struct):
    """
    Section [spool]; read by fescuedock-spool, which keeps jobs on disk while the store is away.
    """

    data_dir: Annotated[str, Meta(description="Folder for the copies of jobs.", min_length=1)]
    store_address: Annotated[
        str, Meta(description="HOST:PORT of the metadata store.", min_length=3)
    ]
    store_timeout_ms: Annotated[
        int,
        Meta(
            description="How long an answer of the store may take; 100 times what it usually takes, and the longest that a job waits on after its return.",
            ge=10,
        ),
    ] = 400
    store_value_bytes: Annotated[
        int, Meta(description="Largest value that the store takes.", ge=4096)
    ] = 1048576
    key_prefix: Annotated[str, Meta(description="As in section [node].", min_length=2)] = (
        "fescuedock/"
    )
    max_bytes: Annotated[
        int,
        Meta(
            description="Jobs kept at most, on disk and in memory; a fifth of the memory of the smallest VM with a disk.",
            ge=1024,
        ),
    ] = 67108864


class NodeSettings(Struct):
    """
    Section [node]; read by fescuedock-node, which runs entry, agent and batch runner of a VM in one process.
    """

    front_address: Annotated[
        str, Meta(description="HOST:PORT for the calls of clients.", min_length=3)
    ]
    ready_address: Annotated[str, Meta(description="HOST:PORT for readiness checks.", min_length=3)]
    directory_address: Annotated[
        str,
        Meta(
            description="HOST:PORT at which clients ask for the addresses of fronts.", min_length=3
        ),
    ]
    store_address: Annotated[
        str, Meta(description="HOST:PORT of the metadata store.", min_length=3)
    ]
    control_address: Annotated[
        str,
        Meta(
            description="HOST:PORT that other nodes find in their seeds; kept open so that its port is ours."
        ),
    ] = ""
    metrics_port: Annotated[int, Meta(description="0 serves no metrics.", ge=0, le=65535)] = 0
    store_timeout_ms: Annotated[
        int,
        Meta(
            description="How long an answer of the store may take; 250 times what it usually takes.",
            ge=10,
        ),
    ] = 1000
    store_value_bytes: Annotated[
        int, Meta(description="Largest value that the store takes.", ge=4096)
    ] = 1048576
    key_prefix: Annotated[
        str, Meta(description="Begins every key of ours in the store.", min_length=2)
    ] = "fescuedock/"
    seeds: Annotated[
        str,
        Meta(
            description="HOST:PORT of other nodes, comma-separated; the hosts are asked at the port of section [agent]."
        ),
    ] = ""
    watch_wait_ms: Annotated[
        int,
        Meta(
            description="How long the store may hold a watch. A watch whose connection died silently is noticed no sooner; with the pause it must stay below the 2 s in which changes are in force.",
            ge=100,
            le=30000,
        ),
    ] = 900
    watch_pause_ms: Annotated[
        int,
        Meta(
            description="Pause between two watches of the upstreams. Each heartbeat of an upstream ends a watch and each watch is paid for.",
            ge=0,
        ),
    ] = 300
    lease_ttl_ms: Annotated[
        int, Meta(description="Time after which a silent node loses its key in the store.", ge=1000)
    ] = 6000
    directory_ttl_s: Annotated[
        int, Meta(description="How long clients may keep an answer of the directory.", ge=1)
    ] = 1
    directory_leave_ms: Annotated[
        int,
        Meta(
            description="How long a stopping node takes new connections; clients keep directory answers for up to three times directory_ttl_s.",
            ge=0,
        ),
    ] = 3300
    stop_timeout_s: Annotated[
        float,
        Meta(description="Time from the request to stop until the process is killed.", ge=0.0),
    ] = 8
    retry_after_ms: Annotated[
        int,
        Meta(
            description="Time that a refused caller is told to wait at least; a quarter of the usual target of 400 ms",
            ge=1,
        ),
    ] = 100
    connect_timeout_ms: Annotated[
        int,
        Meta(
            description="For connections to upstreams; about 25 round trips between failure domains.",
            ge=1,
        ),
    ] = 250
    ask_wait_ms: Annotated[
        int, Meta(description="How long an ask for a batch permit stays queued at the owner.", ge=1)
    ] = 1000
    commit_interval_ms: Annotated[
        int, Meta(description="Between two commits of one job's results.", ge=1)
    ] = 700
    progress_interval_ms: Annotated[
        int,
        Meta(
            description="Between two writes of what the unfinished items of a job have given; half the run of an item.",
            ge=100,
        ),
    ] = 2000
    progress_events: Annotated[
        int,
        Meta(
            description="Events that make such a write worth its call; two seconds of one item.",
            ge=1,
        ),
    ] = 100
    commit_bytes: Annotated[
        int,
        Meta(
            description="Encoded results of one commit at most; half of what the store takes as a value.",
            ge=1024,
        ),
    ] = 524288
    end_bound_ms: Annotated[
        int,
        Meta(
            description="How long after the acknowledged end of a job an item of it may still begin; a node that nobody has told anything for nearly as long begins none.",
            ge=700,
        ),
    ] = 3000
    spool_losses: Annotated[
        int,
        Meta(
            description="VMs with a disk that may be lost at once; one more must hold a job before it is accepted without the store.",
            ge=0,
        ),
    ] = 1
    quota_slack_calls: Annotated[
        float,
        Meta(
            description="Calls of one customer that may run beyond its limit, over all nodes, in each quota_bound_s.",
            ge=0.0,
        ),
    ] = 20
    quota_bound_s: Annotated[
        float,
        Meta(
            description="Length of the windows in which no more may run than a limit, quota_over_share of it and quota_slack_calls, whatever nodes reach.",
            ge=0.0,
        ),
    ] = 5
    place_by_prediction: Annotated[
        bool,
        Meta(
            description="Whether online calls are placed by the predicted first event, pauses and end at each upstream, learned from its runs; else by the load that owners report."
        ),
    ] = False
    quota_over_share: Annotated[
        float,
        Meta(
            description="Part of a limit that may run beyond it in one window, besides quota_slack_calls.",
            ge=0.0,
        ),
    ] = 0.1
    job_cache_bytes: Annotated[
        int, Meta(description="Items and results of jobs kept in memory for readers.", ge=0)
    ] = 33554432
    held_call_bytes: Annotated[
        int,
        Meta(
            description="Bytes of one streamed response that are held for a client that reads slowly, so that its upstream is read at its own pace; beyond them the upstream waits. Whole responses are held whole.",
            ge=0,
        ),
    ] = 262144
    held_process_bytes: Annotated[
        int,
        Meta(
            description="Bytes that are held for all slow clients together, responses as well as requests that have not come whole; beyond them the slowest are cut off. A tenth of the memory of a node of 160 MB.",
            ge=65536,
        ),
    ] = 16777216
    client_buffer_bytes: Annotated[
        int,
        Meta(
            description="Send buffer of the kernel for each connection of a client, which is not counted as held; 100 Mbit/s at a round trip of 6 ms need 75 KB. 0 leaves it to the kernel, which takes up to 4 MB.",
            ge=0,
        ),
    ] = 131072
