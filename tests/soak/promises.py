"""Records what clients and upstreams saw, and checks it against the promises of the system.

Promises with a time bound apply only when nothing was disturbed for ``CALM_S``.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import ClassVar

import trio

from fescuedock.platform.standin.event_upstream import (
    DEFAULT_VERSION,
    event_bytes,
    versions_in,
)
from tests.soak.harness import SoakUpstream

__all__ = [
    "ACK_S",
    "CALM_S",
    "END_S",
    "Disturbance",
    "Ledger",
    "OnlineAttempt",
    "SoakJob",
    "expected_text",
]

# The users' bounds: how long a part must have been undisturbed, and how soon updates must apply.
CALM_S = 3.0
DRAIN_S = 2.0
END_S = 3.0
# Stricter bounds of the soak: without faults, heartbeats and watches report an end to all nodes
# within these times.
CALM_END_S = 1.0
SETTLE_S = 1.0
# The minimum time without disturbance after which an unacknowledged end counts as acknowledged; in
# the users' deployments it is 4 to 8 s.
ACK_S = 4.0
# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
_EVENTS = 12
_STATES = ("completed", "dead_letter")


@dataclass(slots=True)
class Disturbance:
    """When a part was disturbed, in trio's time; the end is infinite while that continues."""

    began_s: float
    ended_s: float = float("inf")


@dataclass(slots=True)
class OnlineAttempt:
    """One request of a client; ``status`` is 0 when no answer came."""

    request_id: str
    path: str
    body: bytes
    node: str
    sent_s: float
    at_most_once: bool = False
    # Number of the first event that it requests.
    first_event: int = 0
    # Its client did not wait for the complete answer.
    abandoned: bool = False
    status: int = 0
    seal: str = ""
    answer: bytes = b""
    complete: bool = False
    ended_s: float = 0.0

    @property
    def expected_answer(self) -> bytes:
        """The complete answer of an upstream with the version that sent the first event."""
        version = min(_versions_of(self.answer[: self.answer.find(b"\n\n") + 2]) or {"v1"})
        numbers = range(self.first_event, _EVENTS)
        return b"".join(event_bytes(n, self.path, len(self.body), version) for n in numbers)


@dataclass(slots=True)
class SoakJob:
    """A job as its client knows it: the acknowledgements received, and the results by position."""

    job_id: str
    items: list[str]
    accepted_s: float = float("inf")
    may_be_accepted: bool = False
    end_requested: bool = False
    ended_s: float = float("inf")
    # When the only attempt to end it went unacknowledged; the node and process that received it.
    lost_end_s: float = float("inf")
    lost_end_at: tuple[str, int] = ("", 0)
    # When that attempt starts to count as acknowledged; infinite if it never does.
    effective_end_s: float = float("inf")
    # Whether its client is going to end it; setting ``end_now`` makes it do so immediately.
    will_be_ended: bool = False
    end_now: trio.Event = field(default_factory=trio.Event)
    # The node that accepted it, and thus its first owner.
    owner: str = ""
    # The calls about it, for the report.
    calls: list[str] = field(default_factory=list)
    results: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    # When each item was first read in the results.
    listed_s: dict[str, float] = field(default_factory=dict)

    @property
    def accepted(self) -> bool:
        return self.accepted_s != float("inf")

    @property
    def has_ended(self) -> bool:
        return self.ended_s != float("inf")

    @property
    def awaits_end(self) -> bool:
        """Whether it was accepted and its client has not yet started to end it."""
        return (
            self.will_be_ended
            and self.accepted
            and not self.end_requested
            and not self.end_now.is_set()
        )

    @property
    def is_done(self) -> bool:
        return len(self.results) == len(self.items)

    def record_result(self, position: int, result: tuple[str, str, str]) -> str:
        """Record a result that was read; return the problem with it, or ""."""
        known = self.results.get(position)
        if known is not None:
            return "" if known == result else f"position {position} held {known}, now {result}"
        item_id, state, text = result
        if item_id not in self.items:
            return f"position {position} names {item_id}, which is no item of the job"
        if item_id in {found[0] for found in self.results.values()}:
            return f"item {item_id} stands at position {position} and at another"
        self.results[position] = result
        if state not in _STATES:
            return f"{item_id} is listed as {state!r}"
        version = min(versions_in([text.partition("\n")[0]]))
        if state == "completed" and text != expected_text(item_id, version):
            return f"the text of {item_id} is not whole: {text[-60:]!r}"
        if state != "completed" and not self.end_requested:
            return f"{item_id} was given up"
        return ""


def expected_text(item_id: str, version: str = DEFAULT_VERSION) -> str:
    """Return the complete text of an item's output at upstreams of one version."""
    path = f"/letters/{item_id}"
    events = (event_bytes(n, path, len(item_id), version).decode() for n in range(_EVENTS))
    return "\n".join(event.partition("data: ")[2].strip() for event in events)


def _versions_of(answer: bytes) -> set[str]:
    """Return the versions that sent the complete events of an answer."""
    events = answer.decode("utf-8", "replace").split("\n\n")[:-1]
    return versions_in(event.partition("data: ")[2] for event in events)


@dataclass(slots=True)
class Ledger:
    """Everything seen in one run; ``violations`` has one line for each broken promise.

    ``lost_end_violations`` has those about unacknowledged ends.
    """

    # The customer of all clients that do not set another one.
    customer: ClassVar[str] = "caldas"
    key: ClassVar[str] = "key-caldas"

    attempts: list[OnlineAttempt] = field(default_factory=list)
    # Calls that crash upstreams, and the harmless ones sent beside them.
    harmful: list[OnlineAttempt] = field(default_factory=list)
    jobs: dict[str, SoakJob] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    lost_end_violations: list[str] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    # Streams that clients resumed at another node, and those of them that continued there.
    resumed_streams: int = 0
    continued_streams: int = 0
    # Unix time minus trio's time, to convert times to those of the nodes' logs.
    unix_offset_s: float = 0.0

    def format_time(self, at_s: float) -> str:
        """Return a time in the form of the nodes' logs, in Unix seconds."""
        return f"{at_s + self.unix_offset_s:.3f}"

    def was_calm(self, from_s: float, to_s: float) -> bool:
        """Return whether nothing was disturbed from ``CALM_S`` before ``from_s`` until ``to_s``."""
        return all(
            item.ended_s < from_s - CALM_S or item.began_s > to_s for item in self.disturbances
        )

    def judge_answer(self, attempt: OnlineAttempt) -> None:
        """Check the answer to one attempt."""
        name = f"{attempt.request_id} at {attempt.node}"
        if attempt.status == 200:
            if not attempt.seal:
                self.violations.append(f"{name}: a success without a seal")
            if attempt.complete and attempt.answer != attempt.expected_answer:
                self.violations.append(f"{name}: another answer than the upstream's")
            if not attempt.expected_answer.startswith(
                attempt.answer[: _complete_length(attempt.answer)]
            ):
                self.violations.append(f"{name}: events that are not the upstream's")
        elif attempt.status in (400, 401, 404, 413, 431):
            self.violations.append(f"{name}: denied with {attempt.status}")

    def judge_stream(self, attempts: Sequence[OnlineAttempt]) -> None:
        """Check the events that a client received of one stream over all its attempts."""
        answers = [
            item.answer[: _complete_length(item.answer)] for item in attempts if item.status == 200
        ]
        versions = _versions_of(b"".join(answers))
        names = ", ".join(f"{item.request_id} at {item.node}" for item in attempts)
        if len(versions) > 1:
            self.violations.append(
                f"{names}: a stream of the versions {', '.join(sorted(versions))}"
            )
        expected_ids = "".join(f"id: {n}\n" for n in range(_EVENTS))
        numbers = "".join(
            f"{line}\n"
            for line in b"".join(answers).decode().splitlines()
            if line.startswith("id: ")
        )
        if not expected_ids.startswith(numbers):
            self.violations.append(f"{names}: events missing, or twice: {numbers.split()}")

    def count_lost_ends(self, processes: Mapping[str, int]) -> float:
        """Determine when unacknowledged ends start to count; return the latest of these times.

        ``processes`` has the process id of each node.  An end never counts if its node was
        restarted since, as the new process cannot know of it.
        """
        calm_s = max([item.ended_s for item in self.disturbances], default=0.0) + CALM_S
        last_s = float("-inf")
        for job in self.jobs.values():
            node, process = job.lost_end_at
            if job.has_ended or processes.get(node) != process:
                continue
            job.effective_end_s = max(job.lost_end_s, calm_s) + ACK_S
            last_s = max(last_s, job.effective_end_s)
        return last_s

    def judge_runs(self, upstreams: Iterable[SoakUpstream]) -> None:
        """Check, at the end, the runs that upstreams recorded."""
        runs: Counter[str] = Counter()
        for item in upstreams:
            runs.update(item.upstream.runs)
        self.violations += self._unsent_runs(runs)
        for attempt in (*self.attempts, *self.harmful):
            count = runs[attempt.request_id]
            if attempt.status in NOT_RUN_STATUSES and count:
                self.violations.append(f"{attempt.request_id}: {attempt.status}, yet it has run")
            if attempt.at_most_once and count > 1:
                self.violations.append(f"{attempt.request_id}: may run once and ran {count} times")
        for job in self.jobs.values():
            if not job.accepted and not job.may_be_accepted and any(runs[n] for n in job.items):
                self.violations.append(
                    f"{job.job_id}: refused at every attempt, yet items have run"
                )
        for item in upstreams:
            self.violations += self._late_starts(item)
            self.lost_end_violations += self._late_starts_after_lost_ends(item)

    def unfinished_jobs(self) -> list[SoakJob]:
        """Return the accepted jobs that are not ended and whose results are not all read."""
        return [
            job
            for job in self.jobs.values()
            if job.accepted and not (job.end_requested or job.will_be_ended) and not job.is_done
        ]

    def judge_jobs(self) -> None:
        """Check that all items of every accepted job were listed."""
        for job in self.unfinished_jobs():
            missing = sorted(set(job.items) - {item for item, _, _ in job.results.values()})
            self.violations.append(f"{job.job_id}: accepted, and never listed: {missing}")

    def _unsent_runs(self, runs: Counter[str]) -> Iterator[str]:
        known = {attempt.request_id for attempt in (*self.attempts, *self.harmful)}
        known |= {item for job in self.jobs.values() for item in job.items}
        # The calls of customers with their own keys and limits, and the items with large bodies,
        # are checked in ``customers`` and ``slow``.
        others = {name for name in runs if name.startswith(("k-", "l-", "big-"))}
        for request_id in runs.keys() - known - others:
            yield f"{request_id} has run, and nobody sent it"

    def _late_starts(self, item: SoakUpstream) -> Iterator[str]:
        """Yield runs that began too late after their upstream left, or the item had to stop."""
        jobs = {name: job for job in self.jobs.values() for name in job.items}
        upstream_id = item.upstream.upstream_id
        for request_id, at_s in item.upstream.started:
            if at_s > item.leaving_s + DRAIN_S and self.was_calm(item.leaving_s, at_s):
                late_s = at_s - item.leaving_s
                yield f"{request_id} reached {upstream_id} {late_s:.1f} s after it was leaving"
            job = jobs.get(request_id)
            if job is not None and self._is_late(job.ended_s, at_s):
                late_s = at_s - job.ended_s
                yield (
                    f"{request_id} ran {late_s:.1f} s after the end of {job.job_id}, "
                    f"{self.format_time(at_s)} at {upstream_id}"
                )
            listed_s = float("inf") if job is None else job.listed_s.get(request_id, float("inf"))
            if self._is_late(listed_s, at_s):
                late_s = at_s - listed_s
                yield (
                    f"{request_id} of {job.job_id} ran {late_s:.1f} s after it was listed, "
                    f"{self.format_time(at_s)} at {upstream_id}"
                )

    def _late_starts_after_lost_ends(self, item: SoakUpstream) -> Iterator[str]:
        """Yield runs that began too late after an unacknowledged end started to count."""
        ends_s = {
            name: (job.effective_end_s, job.job_id)
            for job in self.jobs.values()
            for name in job.items
        }
        for request_id, at_s in item.upstream.started:
            counted_s, job_id = ends_s.get(request_id, (float("inf"), ""))
            if at_s > counted_s + END_S:
                yield (
                    f"{request_id} ran {at_s - counted_s:.1f} s after the unacknowledged end of "
                    f"{job_id} counted, {self.format_time(at_s)} at {item.upstream.upstream_id}"
                )

    def _is_late(self, known_s: float, at_s: float) -> bool:
        """Return whether a run began too late after its job was ended or its item was listed.

        The bound is shorter in calm: a node undisturbed for ``CALM_S`` and another second has
        received an end of that age, even if the end was sent during a disturbance.
        """
        late_s = at_s - known_s
        if late_s > END_S:
            return True
        return late_s > CALM_END_S and self.was_calm(at_s - CALM_END_S, at_s)


def _complete_length(answer: bytes) -> int:
    """Return the length of the complete events at the start of ``answer``."""
    return answer.rfind(b"\n\n") + 2 if b"\n\n" in answer else 0
