"""Work that crashes each upstream that begins it, coming again at any node, amid all other faults.

Some comes again as it was; some is no two alike and shares a part of its prompt.  Beside it comes
work that is always the same and harms nobody.  What crashes upstreams is judged by what the
upstreams saw; that others are not refused, by the answers.
"""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import trio

from fescuedock.net.http_client import HttpClient
from fescuedock.schema.result_codes import ResultCode
from tests.builders.jobs_calls import job_body
from tests.soak.clients import Reply, call_node
from tests.soak.promises import CALM_S, NOT_RUN, Ledger, OnlineAttempt, SoakJob
from tests.soak.world import NodeProcess, SoakUpstream, World

__all__ = [
    "BAD_PART",
    "CAUSES",
    "HarmfulClient",
    "HarmfulPartClient",
    "harm_after_enough",
    "harmful_paths",
]

CAUSES = 2
# Three crashes are enough to know a piece of work by, and as many runs are borne after that.
_ENOUGH = 3
_BORNE = 3
# A part of prompts is known after five.
BAD_PART = "soak-bad-part"
_FIRST_PART = "soak-first-part"
_ENOUGH_OF_PART = 5
_PART_PATH = "/rights/part-"
_BESIDE_PATH = "/rights/beside-"
_PAUSE_S = (0.3, 2.5)
_INNOCENT = "/rights/always-the-same"
_ITEM = "harmful-item"
_numbers = itertools.count(1)


def harmful_paths() -> set[str]:
    """Return the paths of the work that crashes upstreams."""
    return {f"/rights/harmful-{number}" for number in range(CAUSES)} | {f"/letters/{_ITEM}"}


@dataclass(slots=True)
class HarmfulClient:
    """Sends one harmful call again and again, and the innocent one beside it."""

    number: int
    world: World
    ledger: Ledger
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)

    async def run(self) -> None:
        """Send until cancelled, often at several nodes at the same moment."""
        async with trio.open_nursery() as tries:
            if self.number == 0:
                tries.start_soon(self._submit_item)
            while True:
                await trio.sleep(self.rng.uniform(*_PAUSE_S))
                nodes = self.rng.sample(self.world.nodes, k=self.rng.randint(1, 2))
                for node in nodes:
                    tries.start_soon(self._send, node, f"/rights/harmful-{self.number}")
                    tries.start_soon(self._send, node, _INNOCENT)

    async def _send(self, node: NodeProcess, path: str, parts: str = "") -> None:
        request_id = f"h-{next(_numbers)}"
        at_s = trio.current_time()
        attempt = OnlineAttempt(request_id, path, b"case", node.name, at_s, once=True)
        self.ledger.harmful.append(attempt)
        headers = {"x-request-id": request_id, "x-model": "m"}
        if parts:
            headers["x-prompt-prefix"] = parts
        reply = await call_node(
            self.http, node.front, "POST", path, attempt.body, headers, fresh=False
        )
        attempt.status, attempt.whole, attempt.answer = reply.status, reply.whole, reply.body
        attempt.seal = reply.headers.get("x-response-seal", "")
        attempt.ended_s = trio.current_time()
        self.ledger.judge_answer(attempt)
        is_innocent = path == _INNOCENT or path.startswith(_BESIDE_PATH)
        if is_innocent and _is_refused_as_harmful(reply):
            at = self.ledger.tell(attempt.sent_s)
            self.ledger.broken.append(f"{request_id} at {node.name}, {at}: innocent and refused")

    async def _submit_item(self) -> None:
        """Submit a job with a harmful item, which nobody expects to be done."""
        job = SoakJob("job-harmful", [_ITEM, "beside-it"], to_end=True)
        self.ledger.jobs[job.job_id] = job
        while not job.accepted:
            node = self.rng.choice(self.world.nodes)
            job.may_be_accepted = True
            headers = {"x-request-id": job.job_id}
            body = job_body(*job.items)
            reply = await call_node(self.http, node.front, "POST", "/letters/new", body, headers)
            if reply.status == 202:
                job.accepted_s, job.owner = trio.current_time(), node.name
            await trio.sleep(0.3)


@dataclass(slots=True)
class HarmfulPartClient(HarmfulClient):
    """Sends calls that are no two alike and share a harmful part, and sound ones beside them."""

    async def run(self) -> None:
        """Send until cancelled, often at several nodes at the same moment."""
        async with trio.open_nursery() as tries:
            while True:
                await trio.sleep(self.rng.uniform(*_PAUSE_S))
                for node in self.rng.sample(self.world.nodes, k=self.rng.randint(1, 2)):
                    number = next(_numbers)
                    harmful = f"{_FIRST_PART}:100,{BAD_PART}:50,own-{number}:10"
                    sound = f"{_FIRST_PART}:100,own-{number}:10"
                    tries.start_soon(self._send, node, f"{_PART_PATH}{number}", harmful)
                    tries.start_soon(self._send, node, f"{_BESIDE_PATH}{number}", sound)


def _is_refused_as_harmful(reply: Reply) -> bool:
    return reply.status in NOT_RUN and ResultCode.WORK_HARMFUL.name.encode() in reply.body


def harm_after_enough(ledger: Ledger, upstreams: list[SoakUpstream]) -> Iterator[str]:
    """Yield the works that went on crashing upstreams where all was well long enough before.

    A run counts that began ``CALM_S`` after the third crash, with nothing disturbed for as long;
    the crashes themselves are no disturbance of the nodes.
    """
    enough = dict.fromkeys(sorted(harmful_paths()), _ENOUGH) | {_PART_PATH: _ENOUGH_OF_PART}
    for path, count in enough.items():
        crashes_s = sorted(
            crash.at_s
            for item in upstreams
            for crash in item.upstream.crashes
            if crash.path == path or (path == _PART_PATH and crash.path.startswith(path))
        )
        if len(crashes_s) <= count:
            continue
        bound_s = crashes_s[count - 1] + CALM_S
        late_s = [at_s for at_s in crashes_s if at_s > bound_s and ledger.was_calm(at_s, at_s)]
        if len(late_s) > _BORNE:
            times = ", ".join(ledger.tell(at_s) for at_s in late_s)
            yield f"{path} crashed {len(late_s)} upstreams more, long after {count}: {times}"
