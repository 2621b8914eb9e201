"""Client calls about batch jobs at a node, and the expected output of the stand-in upstreams."""

import base64
import json

from fescuedock.address import Address
from tests.builders.node import Answer, NodeFleet

__all__ = ["JOB", "item_entry", "job_body", "read_page", "submission_of", "submit", "wanted_text"]

JOB = "7c41e09b52d6a3f8"


def job_body(*names: str) -> bytes:
    """Return a job with an item of each name."""
    return submission_of([item_entry(name, name.encode()) for name in names])


def item_entry(name: str, body: bytes) -> dict:
    """Return an item of a submission."""
    return {
        "id": name,
        "path": f"/letters/{name}",
        "headers": {"X-Model": "m", "X-Token-Count": "100,50"},
        "body": base64.b64encode(body).decode(),
        "tokens": 150,
    }


def submission_of(items: list[dict]) -> bytes:
    """Return the submission of a job with ``items``."""
    return json.dumps({"items": items}).encode()


def wanted_text(name: str, count: int = 5) -> str:
    """Return the text of an item's complete output of ``count`` events."""
    return "\n".join(f"/letters/{name} {len(name)} {number}" for number in range(count))


async def submit(fleet: NodeFleet, front: Address, *names: str, job_id: str = JOB) -> Answer:
    """Submit a job at ``front``."""
    headers = {"X-Request-Id": job_id, "X-Deadline-Ms": "3000"}
    return await fleet.call(front, "POST", "/letters/new", job_body(*names), headers)


async def read_page(
    fleet: NodeFleet, front: Address, job_id: str = JOB, after: int = 0, wait_ms: int = 0
) -> Answer:
    """Read one page of a job's results after position ``after``."""
    headers = {"X-Wait-Ms": str(wait_ms)}
    return await fleet.call(front, "GET", f"/api/lots/{job_id}?after={after}", headers=headers)
