"""Assembles the events of a streamed answer into the JSON of a non-streamed answer."""

from typing import Any

import msgspec

__all__ = ["AnswerCollector", "can_be_collected", "streamed_body"]

_DATA = b"data: "
# Request fields whose results arrive as events with content other than text.
_STRUCTURED = ("tools", "functions", "logprobs", "top_logprobs", "audio", "modalities")


class _Event(msgspec.Struct):
    """The fields of an event that a non-streamed answer has too."""

    id: str = ""
    created: int = 0
    model: str = ""
    system_fingerprint: str | None = None
    choices: list[dict[str, Any]] = []
    usage: dict[str, Any] | None = None


_decode = msgspec.json.Decoder(_Event).decode


def can_be_collected(body: dict[str, Any]) -> bool:
    """Whether the answer is a single text, so that its events can be joined without loss."""
    if body.get("n") not in (None, 1) or body.get("best_of") not in (None, 1) or body.get("echo"):
        return False
    prompt = body.get("prompt")
    several = isinstance(prompt, list) and len(prompt) > 1
    return not several and not any(body.get(name) for name in _STRUCTURED)


def streamed_body(body: dict[str, Any]) -> dict[str, Any]:
    """Return the request body for the same answer as a stream with token counts."""
    return {**body, "stream": True, "stream_options": {"include_usage": True}}


class AnswerCollector:
    """Collects the events of one answer, as bytes, in order."""

    __slots__ = ("_chat", "_first", "_last")

    def __init__(self, *, chat: bool) -> None:
        self._chat = chat
        self._first = b""
        # The finish reason and the token counts are in the last two events.
        self._last: list[bytes] = []

    def add(self, data: bytes) -> None:
        self._first = self._first or data
        self._last = [*self._last[-1:], data]

    def answer(self, text: str) -> bytes:
        """Return the complete answer as JSON; ``text`` is the text of all tokens.

        Raise ``msgspec.MsgspecError`` if an event cannot be decoded.
        """
        first = _read(self._first)
        last = [_read(data) for data in self._last]
        reasons = [choice.get("finish_reason") for event in last for choice in event.choices]
        part = {"message": {"role": "assistant", "content": text}} if self._chat else {"text": text}
        finish_reason = next((reason for reason in reasons if reason), None)
        choice = {"index": 0, **part, "finish_reason": finish_reason, "logprobs": None}
        answer: dict[str, Any] = {
            "id": first.id,
            "object": "chat.completion" if self._chat else "text_completion",
            "created": first.created,
            "model": first.model,
            "choices": [choice],
        }
        usage = next((event.usage for event in last if event.usage is not None), None)
        if usage is not None:
            answer["usage"] = usage
        if first.system_fingerprint is not None:
            answer["system_fingerprint"] = first.system_fingerprint
        return msgspec.json.encode(answer)


def _read(data: bytes) -> _Event:
    return _decode(data.strip().removeprefix(_DATA))
