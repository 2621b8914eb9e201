"""The banner of ``fescuedock local``: three example requests with curl."""

from pathlib import Path

import msgspec

from fescuedock.cli.local_setup import CHAT_MODEL

__all__ = ["banner"]

_BANNER = """\
fescuedock local serves at {url}.  Three things to try:

1. an online request, streamed
  curl -N {url}/v1/chat/completions -d '{chat}'

2. a batch job of one item
  echo '{item}' > items.jsonl
  FILE=$(curl -s {url}/v1/files -F purpose=batch -F file=@items.jsonl | grep -o 'file-[^"]*')
  curl {url}/v1/batches -d '{batch}'

3. a patch of the configuration (the same base with another patch_id is refused: it is stale)
  curl {url}/admin/config/patches -d '{patch}'

Logs are in {log_file}.  Ctrl-C stops everything.
"""


def banner(url: str, log_file: Path) -> str:
    """Return the banner; each of its shell commands works when copied unchanged."""
    chat = {
        "model": CHAT_MODEL,
        "stream": True,
        "messages": [{"role": "user", "content": "Hello"}],
    }
    item = {
        "custom_id": "letter-1",
        "method": "POST",
        "url": "/v1/completions",
        "body": {"model": CHAT_MODEL, "prompt": "Dear", "max_tokens": 8},
    }
    # The quotes end around $FILE, so that the shell inserts the ID of the file.
    batch = {
        "input_file_id": "'$FILE'",
        "endpoint": "/v1/completions",
        "completion_window": "24h",
    }
    patch = {
        "base_version": 1,
        "patch_id": "try-1",
        "patch": {"members": {"manizales": {"share": 2}}},
    }
    values = {"chat": chat, "item": item, "batch": batch, "patch": patch}
    texts = {name: msgspec.json.encode(value).decode() for name, value in values.items()}
    return _BANNER.format(url=url, log_file=log_file, **texts)
