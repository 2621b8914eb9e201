"""Sessions with a complete local system, of which parts are lost while callers continue."""

from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import msgspec

from fescuedock.cli.local import LocalSystem
from fescuedock.cli.local_setup import CHAT_MODEL, TRIP_MODEL
from fescuedock.cli.local_vm import LocalVm
from fescuedock.core.batch.record import decode_record
from fescuedock.net.http_client import NotSentError, ResponseLostError
from fescuedock.schema.batch import JobRecord
from fescuedock.standin.engine import EngineService
from fescuedock.standin.token_text import answer_text
from tests.builders.batch_session import IMPOSSIBLE_LINES, LINES, job_lines, upload
from tests.builders.golden import GoldenSession
from tests.builders.local import Answer, exchange, wait_until
from tests.builders.online import chat_body, oracle_text, read_stream

__all__ = [
    "CHAT_SERVICE",
    "TRIP_SERVICE",
    "send_request",
    "book",
    "engines_of",
    "expected_lines",
    "job_owner",
    "job_status",
    "kv_down",
    "lose_vm",
    "owner_of",
    "result_lines",
    "stream_complete_answer",
    "submit",
    "total_admitted",
    "total_running",
    "wait_answer",
]

CHAT_SERVICE = "admision-llm"
TRIP_SERVICE = "trip-desk"
BOOKINGS = "/services/coach-booking/bookings"
_JOB_KEYS = "/fescuedock/jobs/"


def engines_of(system: LocalSystem, service: str) -> list[EngineService]:
    """Return the engines of one model service."""
    engines = system.standins.engines.items()
    return [engine for name, engine in engines if name.startswith(f"worker-{service}-")]


def total_running(engines: Iterable[EngineService]) -> int:
    return sum(len(engine.core.model.running) for engine in engines)


def total_admitted(engines: Iterable[EngineService]) -> int:
    return sum(engine.stats.admitted for engine in engines)


async def lose_vm(vm: LocalVm) -> None:
    """Kill all programs of ``vm`` at once; the VM list still includes it."""
    vm.kill()
    await vm.stopped.wait()


@contextmanager
def kv_down(system: LocalSystem) -> Iterator[None]:
    """Refuse every call to the key-value service while the block runs."""
    system.standins.kv.take_down()
    try:
        yield
    finally:
        system.standins.kv.bring_up()


async def send_request(
    vm: LocalVm, system: LocalSystem, target: str, body: object = None
) -> Answer:
    """Send a GET, or a POST of ``body``, to the entry of ``vm``."""
    method = "GET" if body is None else "POST"
    return await exchange(system, method, target, body, entry=vm.entry_address)


async def wait_answer(
    vm: LocalVm, system: LocalSystem, target: str, body: object = None, status: int = 200
) -> Answer:
    """Repeat a request until the answer has ``status``."""
    answers: list[Answer] = []

    async def answered() -> bool:
        answers.append(await send_request(vm, system, target, body))
        return answers[-1].status == status

    await wait_until(answered)
    return answers[-1]


async def submit(system: LocalSystem, vm: LocalVm, max_tokens: int, lines: int = LINES) -> str:
    """Submit a job of the first ``lines`` letters through ``vm``; return its identity."""
    content = b"\n".join(job_lines(TRIP_MODEL, max_tokens).splitlines()[:lines])
    file_id = (await upload(GoldenSession(system), content)).json["id"]
    body = {"input_file_id": file_id, "endpoint": "/v1/completions", "completion_window": "24h"}
    return (await send_request(vm, system, "/v1/batches", body)).json["id"]


async def job_status(system: LocalSystem, vm: LocalVm, job_id: str) -> str:
    """Return the status that the entry of ``vm`` reports; empty while it cannot report one."""
    return (await send_request(vm, system, f"/v1/batches/{job_id}")).json.get("status", "")


async def job_owner(system: LocalSystem, lost: LocalVm | None = None) -> LocalVm:
    """Wait until a runner that is not on ``lost`` owns the one job and runs it; return its VM."""

    def owner() -> str:
        return _job(system).owner.partition("/")[0]

    async def runs() -> bool:
        known = owner() and (lost is None or owner() != lost.vm_id)
        return bool(known and total_running(engines_of(system, TRIP_SERVICE)))

    await wait_until(runs)
    return system.vms[owner()]


def _job(system: LocalSystem) -> JobRecord:
    entries = system.standins.kv.state.page(_JOB_KEYS, _JOB_KEYS + "\x7f", 0).entries
    return decode_record(entries[0].value)


async def result_lines(system: LocalSystem, vm: LocalVm, job_id: str) -> Counter[tuple[str, str]]:
    """Count each pair of an item and its text (empty for an error) in the results."""
    job = (await send_request(vm, system, f"/v1/batches/{job_id}")).json
    found: Counter[tuple[str, str]] = Counter()
    for file_id in (job["output_file_id"], job["error_file_id"]):
        content = await send_request(vm, system, f"/v1/files/{file_id}/content")
        if content.status != 200:
            raise ValueError(f"{file_id} is answered with {content.status}: {content.body!r}")
        found.update(_name_and_text(line) for line in content.body.splitlines())
    return found


def _name_and_text(line: bytes) -> tuple[str, str]:
    item = msgspec.json.decode(line)
    if item["error"] is not None:
        return item["custom_id"], ""
    return item["custom_id"], item["response"]["body"]["choices"][0]["text"]


def expected_lines(max_tokens: int, lines: int = LINES) -> Counter[tuple[str, str]]:
    """Return the correct results of a job of the first ``lines`` letters."""
    found: Counter[tuple[str, str]] = Counter()
    for number, line in enumerate(job_lines(TRIP_MODEL).splitlines()[:lines]):
        prompt = msgspec.json.decode(line)["body"]["prompt"]
        text = "" if number in IMPOSSIBLE_LINES else answer_text(prompt, max_tokens)
        found[f"letter-{number}", text] += 1
    return found


async def stream_complete_answer(
    system: LocalSystem, vm: LocalVm, question: str, max_tokens: int, model: str = CHAT_MODEL
) -> None:
    """Stream an answer; raise ``ValueError`` unless it is the complete one to ``question``."""
    body = chat_body(question, model=model, max_tokens=max_tokens)
    answer = await send_request(vm, system, "/v1/chat/completions", body)
    if answer.status != 200:
        raise ValueError(f"{question!r} is answered with {answer.status}: {answer.body!r}")
    stream = read_stream(answer.body)
    if (stream.text, stream.done, stream.error) != (oracle_text(body), True, None):
        raise ValueError(f"{question!r} has another answer: {answer.body[-300:]!r}")


async def book(
    system: LocalSystem, vm: LocalVm, request_id: str, headers: dict[str, str]
) -> Answer | None:
    """Send a booking that the service counts as ``request_id``; None when the answer is lost."""
    fields = {"content-type": "application/json", "x-request-id": request_id, **headers}
    try:
        return await exchange(
            system,
            "POST",
            BOOKINGS,
            {"class": request_id},
            entry=vm.entry_address,
            headers=tuple(fields.items()),
        )
    except (NotSentError, ResponseLostError):
        return None


async def owner_of(system: LocalSystem, vm: LocalVm, upstream_id: str) -> LocalVm:
    """Return the VM that grants permits for an upstream, as the entry of ``vm`` sees it."""
    upstreams = (await send_request(vm, system, "/admin/status")).json["upstreams"]
    owner = next(item["owner"] for item in upstreams if item["upstream_id"] == upstream_id)
    return system.vms[owner]
