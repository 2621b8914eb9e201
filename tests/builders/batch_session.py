"""The batch job that the session tests submit."""

import msgspec

from tests.builders.golden import GoldenSession
from tests.builders.local import Answer

__all__ = ["IMPOSSIBLE_LINES", "LINES", "job_lines", "upload"]

LINES = 200
IMPOSSIBLE_LINES = (3, 77, LINES - 1)
_BOUNDARY = "fescuedock-test"


def job_lines(model: str, max_tokens: int = 8) -> bytes:
    """Return a job's JSONL; three of its items can never succeed."""
    return b"\n".join(
        msgspec.json.encode(
            {
                "custom_id": f"letter-{number}",
                "method": "POST",
                "url": "/v1/completions",
                "body": {"model": model, "prompt": _prompt(number), "max_tokens": max_tokens},
            }
        )
        for number in range(LINES)
    )


async def upload(golden: GoldenSession, content: bytes) -> Answer:
    """Upload ``content`` as a batch file, as a browser's form would."""
    disposition = "content-disposition: form-data;"
    body = (
        f'--{_BOUNDARY}\r\n{disposition} name="purpose"\r\n\r\nbatch\r\n'
        f'--{_BOUNDARY}\r\n{disposition} name="file"; filename="letters.jsonl"\r\n'
        "content-type: application/jsonl\r\n\r\n"
    ).encode()
    body += content + f"\r\n--{_BOUNDARY}--\r\n".encode()
    headers = (("content-type", f"multipart/form-data; boundary={_BOUNDARY}"),)
    return await golden.send("upload", "POST", "/v1/files", body, headers=headers, shown=False)


def _prompt(number: int) -> str:
    return "[[impossible]]" if number in IMPOSSIBLE_LINES else f"Dear parents of class {number},"
