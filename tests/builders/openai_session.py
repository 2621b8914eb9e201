"""A program that goes through a session with the public openai client, for tests to start.

Prints one JSON object with what it saw.
"""

import json
import sys
import time

from openai import OpenAI

LINES = 200
IMPOSSIBLE = (0, 100, 199)
TIMEOUT_S = 60
MODEL = "trip-desk-7b"


def main() -> None:
    client = OpenAI(base_url=f"{sys.argv[1]}/v1", api_key="none", max_retries=0)
    messages = [{"role": "user", "content": "When does the coach leave?"}]
    asked = {"model": MODEL, "messages": messages, "max_tokens": 6}
    whole = client.chat.completions.create(**asked).choices[0].message.content
    chunks = client.chat.completions.create(**asked, stream=True)
    streamed = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
    results, errors = run_job(client)
    report = {
        "models": [model.id for model in client.models.list()],
        "whole": whole,
        "streamed": streamed,
        "results": len(results),
        "errors": len(errors),
        "distinct": len({line["custom_id"] for line in results + errors}),
    }
    print(json.dumps(report))


def run_job(client: OpenAI) -> tuple[list[dict], list[dict]]:
    content = "\n".join(json.dumps(line(number)) for number in range(LINES)).encode()
    file = client.files.create(file=("items.jsonl", content), purpose="batch")
    job = client.batches.create(
        input_file_id=file.id, endpoint="/v1/chat/completions", completion_window="24h"
    )
    give_up_at = time.monotonic() + TIMEOUT_S
    while job.status != "completed":
        if time.monotonic() > give_up_at:
            raise TimeoutError(f"the job is {job.status} after {TIMEOUT_S} s")
        time.sleep(0.1)
        job = client.batches.retrieve(job.id)
    return lines(client, job.output_file_id), lines(client, job.error_file_id)


def line(number: int) -> dict:
    text = "[[impossible]]" if number in IMPOSSIBLE else f"Letter {number}"
    body = {"model": MODEL, "messages": [{"role": "user", "content": text}], "max_tokens": 8}
    return {
        "custom_id": f"item-{number}",
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": body,
    }


def lines(client: OpenAI, file_id: str) -> list[dict]:
    return [json.loads(text) for text in client.files.content(file_id).text.splitlines()]


if __name__ == "__main__":
    main()
