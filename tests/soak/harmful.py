"""Work that crashes each upstream that starts it, sent to all nodes during all other faults.

Some of it is identical each time; some differs but shares a harmful part of its prompt.  Harmless
work is sent beside it.  The upstreams' records show whether harmful work was quarantined in time,
and the answers show whether harmless work was refused.
"""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import trio

from fescuedock.core.quarantine import QuarantinePolicy
from fescuedock.net.http_client import HttpClient
from fescuedock.schema.result_codes import ResultCode
from tests.builders.jobs_calls import job_body
from tests.soak.clients import Reply, call_node
from tests.soak.harness import NodeProcess, SoakHarness, SoakUpstream
from tests.soak.promises import CALM_S, NOT_RUN_STATUSES, Ledger, OnlineAttempt, SoakJob

__all__ = [
    "BAD_PART",
    "HARMFUL_CALLS",
    "HarmfulClient",
    "HarmfulPartClient",
    "harmful_work_violations",
    "harmful_paths",
]

HARMFUL_CALLS = 2
# A unit of work must be quarantined after three crashes; as many late crashes are tolerated.
_CRASHES_TO_QUARANTINE = 3
_MAX_LATE_CRASHES = 3
# A part of prompts must be quarantined after five crashes.
BAD_PART = "soak-bad-part"
_SHARED_PART = "soak-first-part"
_CRASHES_TO_QUARANTINE_PART = 5
_HARMFUL_PART_PATH_PREFIX = "/rights/part-"
_HARMLESS_PATH_PREFIX = "/rights/beside-"
_PAUSE_S = (0.3, 2.5)
_HARMLESS_PATH = "/rights/always-the-same"
_ITEM = "harmful-item"
# Nodes know Unix time to the second.
_PAUSE_OF_ITEM_S = QuarantinePolicy().owed_retry_pauses_ms[-1] / 1000 - 1.0
_numbers = itertools.count(1)


def harmful_paths() -> set[str]:
    """Return the paths of the requests that crash upstreams."""
    return {f"/rights/harmful-{number}" for number in range(HARMFUL_CALLS)} | {f"/letters/{_ITEM}"}


@dataclass(slots=True)
class HarmfulClient:
    """Sends the same harmful call repeatedly, and a harmless one beside it."""

    number: int
    harness: SoakHarness
    ledger: Ledger
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)

    async def run(self) -> None:
        """Send until cancelled, often at several nodes at the same moment."""
        async with trio.open_nursery() as sends:
            if self.number == 0:
                sends.start_soon(self._submit_item)
            while True:
                await trio.sleep(self.rng.uniform(*_PAUSE_S))
                nodes = self.rng.sample(self.harness.nodes, k=self.rng.randint(1, 2))
                for node in nodes:
                    sends.start_soon(self._send, node, f"/rights/harmful-{self.number}")
                    sends.start_soon(self._send, node, _HARMLESS_PATH)

    async def _send(self, node: NodeProcess, path: str, parts: str = "") -> None:
        request_id = f"h-{next(_numbers)}"
        at_s = trio.current_time()
        attempt = OnlineAttempt(request_id, path, b"case", node.name, at_s, at_most_once=True)
        self.ledger.harmful.append(attempt)
        headers = {"x-request-id": request_id, "x-model": "m"}
        if parts:
            headers["x-prompt-prefix"] = parts
        reply = await call_node(
            self.http, node.front, "POST", path, attempt.body, headers, fresh=False
        )
        attempt.status, attempt.complete, attempt.answer = reply.status, reply.complete, reply.body
        attempt.seal = reply.headers.get("x-response-seal", "")
        attempt.ended_s = trio.current_time()
        self.ledger.judge_answer(attempt)
        is_harmless = path == _HARMLESS_PATH or path.startswith(_HARMLESS_PATH_PREFIX)
        if is_harmless and _is_rejected_as_harmful(reply):
            at = self.ledger.format_time(attempt.sent_s)
            self.ledger.violations.append(
                f"{request_id} at {node.name}, {at}: innocent and refused"
            )

    async def _submit_item(self) -> None:
        """Submit a job with a harmful item, which is not expected to be completed."""
        job = SoakJob("job-harmful", [_ITEM, "beside-it"], will_be_ended=True)
        self.ledger.jobs[job.job_id] = job
        while not job.accepted:
            node = self.rng.choice(self.harness.nodes)
            job.may_be_accepted = True
            headers = {"x-request-id": job.job_id}
            body = job_body(*job.items)
            reply = await call_node(self.http, node.front, "POST", "/letters/new", body, headers)
            if reply.status == 202:
                job.accepted_s, job.owner = trio.current_time(), node.name
            await trio.sleep(0.3)


@dataclass(slots=True)
class HarmfulPartClient(HarmfulClient):
    """Sends distinct calls that share a harmful part of the prompt, and harmless calls as well."""

    async def run(self) -> None:
        """Send until cancelled, often at several nodes at the same moment."""
        async with trio.open_nursery() as sends:
            while True:
                await trio.sleep(self.rng.uniform(*_PAUSE_S))
                for node in self.rng.sample(self.harness.nodes, k=self.rng.randint(1, 2)):
                    number = next(_numbers)
                    harmful = f"{_SHARED_PART}:100,{BAD_PART}:50,own-{number}:10"
                    harmless = f"{_SHARED_PART}:100,own-{number}:10"
                    sends.start_soon(
                        self._send, node, f"{_HARMFUL_PART_PATH_PREFIX}{number}", harmful
                    )
                    sends.start_soon(self._send, node, f"{_HARMLESS_PATH_PREFIX}{number}", harmless)


def _is_rejected_as_harmful(reply: Reply) -> bool:
    return reply.status in NOT_RUN_STATUSES and ResultCode.WORK_HARMFUL.name.encode() in reply.body


def _too_early(crashes_s: list[float]) -> list[float]:
    """Return the crashes that follow the one before sooner than an item may run again.

    An item is owed, so it is run again after a pause however often upstreams crashed.
    """
    return [
        later_s
        for former_s, later_s in itertools.pairwise(crashes_s)
        if later_s - former_s < _PAUSE_OF_ITEM_S
    ]


def harmful_work_violations(ledger: Ledger, upstreams: list[SoakUpstream]) -> Iterator[str]:
    """Yield the harmful work that still crashed upstreams when it should have been quarantined.

    A crash counts if it occurred at least ``CALM_S`` after the crash that should have caused the
    quarantine, with no disturbance for as long.  The crashes do not count as disturbances of nodes.
    Those of an item count if they follow each other sooner than its pauses allow.
    """
    crashes_to_quarantine = dict.fromkeys(sorted(harmful_paths()), _CRASHES_TO_QUARANTINE) | {
        _HARMFUL_PART_PATH_PREFIX: _CRASHES_TO_QUARANTINE_PART
    }
    for path, count in crashes_to_quarantine.items():
        crashes_s = sorted(
            crash.at_s
            for item in upstreams
            for crash in item.upstream.crashes
            if crash.path == path
            or (path == _HARMFUL_PART_PATH_PREFIX and crash.path.startswith(path))
        )
        if len(crashes_s) <= count:
            continue
        bound_s = crashes_s[count - 1] + CALM_S
        late_s = [at_s for at_s in crashes_s if at_s > bound_s and ledger.was_calm(at_s, at_s)]
        if path == f"/letters/{_ITEM}":
            late_s = _too_early(late_s)
        if len(late_s) > _MAX_LATE_CRASHES:
            times = ", ".join(ledger.format_time(at_s) for at_s in late_s)
            yield f"{path} crashed {len(late_s)} upstreams more, long after {count}: {times}"
