"""Assembles the events of a streamed answer into the JSON of a non-streamed answer."""

import msgspec

__all__ = ["AnswerAssembly", "can_stream"]

# Fields of requests whose answer is more than one text; these are not streamed and cannot resume.
_NOT_STREAMABLE = ("logprobs", "top_logprobs", "tools", "functions", "echo", "audio")
_COUNTS = ("n", "best_of")
_DATA = b"data: "


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    id: str = ""
    created: int = 0
    model: str = ""
    choices: list[_Choice] = []
    usage: dict | None = None


class _Message(msgspec.Struct):
    role: str
    content: str


class _ChatChoice(msgspec.Struct):
    index: int
    message: _Message
    finish_reason: str | None
    logprobs: None = None


class _TextChoice(msgspec.Struct):
    index: int
    text: str
    finish_reason: str | None
    logprobs: None = None


class _Answer(msgspec.Struct, omit_defaults=True):
    id: str
    object: str
    created: int
    model: str
    choices: list[_ChatChoice | _TextChoice]
    usage: dict | None = None


_read_chunk = msgspec.json.Decoder(_Chunk).decode


def can_stream(body: dict) -> bool:
    """Return whether an answer to ``body`` can be assembled from its stream."""
    prompt = body.get("prompt")
    several = isinstance(prompt, list) and len(prompt) > 1
    several = several or any(body.get(name) not in (None, 1) for name in _COUNTS)
    return not several and not any(body.get(name) for name in _NOT_STREAMABLE)


class AnswerAssembly:
    """Collects one answer; on a resume, ``text`` and ``tokens`` are the output generated so far."""

    __slots__ = ("_chat", "_last", "_parts", "_usage", "tokens")

    def __init__(self, chat: bool, text: str = "", tokens: int = 0) -> None:
        self._chat = chat
        self._parts = [text] if text else []
        self._last = _Chunk()
        self._usage: dict | None = None
        self.tokens = tokens

    @property
    def text(self) -> str:
        return "".join(self._parts)

    def add(self, data: bytes, text: str, finished: bool) -> None:
        """Add an event: its raw ``data``, its token's ``text``, and whether it ends the answer."""
        if text:
            self._parts.append(text)
            self.tokens += 1
        elif finished or b'"usage"' in data:
            chunk = _read_chunk(data.strip().removeprefix(_DATA))
            self._usage = chunk.usage or self._usage
            self._last = chunk if chunk.choices else self._last
        if text and finished:
            self._last = _read_chunk(data.strip().removeprefix(_DATA))

    def body(self) -> bytes:
        """Return the JSON of the complete answer."""
        last = self._last
        reason = last.choices[0].finish_reason if last.choices else None
        if self._chat:
            choice = _ChatChoice(0, _Message("assistant", self.text), reason)
            kind = "chat.completion"
        else:
            choice = _TextChoice(0, self.text, reason)
            kind = "text_completion"
        answer = _Answer(last.id, kind, last.created, last.model, [choice], self._usage)
        return msgspec.json.encode(answer)
