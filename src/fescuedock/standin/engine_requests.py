"""Parses generation requests to the stand-in engine and builds the JSON of its responses."""

from dataclasses import dataclass

import msgspec

from fescuedock.backing.engine import ResumePoint
from fescuedock.standin.token_text import default_answer_tokens, prompt_tokens

__all__ = ["BadRequestError", "GenerateRequest", "ResponseBuilder", "read_request"]

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"


class BadRequestError(Exception):
    """The request can never succeed."""


class _Part(msgspec.Struct):
    text: str = ""


class _Message(msgspec.Struct):
    role: str
    content: str | list[_Part] | None = None


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _Body(msgspec.Struct):
    model: str
    messages: list[_Message] = []
    prompt: str | list[str] = ""
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = None
    stream_options: _StreamOptions | None = None
    resume: ResumePoint | None = None


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A request for an answer of ``answer_tokens`` tokens, to be generated from ``first_token``."""

    attempt_id: str
    model: str
    prompt: str
    prompt_tokens: int
    answer_tokens: int
    has_token_limit: bool
    chat: bool
    stream: bool
    include_usage: bool
    resume: ResumePoint | None

    @property
    def first_token(self) -> int:
        return self.resume.tokens if self.resume else 0


def read_request(path: str, body: bytes, attempt_id: str) -> GenerateRequest:
    """Parse the body of a chat or text completion; raise ``BadRequestError`` if it is invalid."""
    try:
        decoded = msgspec.json.decode(body, type=_Body)
    except msgspec.MsgspecError as error:
        raise BadRequestError(str(error)) from error
    prompt = _chat_text(decoded.messages) if path == CHAT_PATH else _prompt_text(decoded.prompt)
    limit = decoded.max_completion_tokens or decoded.max_tokens
    if limit is not None and limit < 1:
        raise BadRequestError(f"max_tokens must be at least 1, not {limit}")
    if decoded.resume is not None and decoded.resume.tokens < 0:
        raise BadRequestError(f"resume.tokens must not be negative: {decoded.resume.tokens}")
    default_tokens = default_answer_tokens(prompt)
    return GenerateRequest(
        attempt_id=attempt_id,
        model=decoded.model,
        prompt=prompt,
        prompt_tokens=prompt_tokens(prompt),
        answer_tokens=limit or default_tokens,
        has_token_limit=limit is not None,
        chat=path == CHAT_PATH,
        stream=bool(decoded.stream),
        include_usage=bool(decoded.stream_options and decoded.stream_options.include_usage),
        resume=decoded.resume,
    )


def _chat_text(messages: list[_Message]) -> str:
    """Return a conversation as a single prompt text."""
    if not messages:
        raise BadRequestError("messages must not be empty")
    return "".join(f"<{message.role}>{_content(message)}\n" for message in messages)


def _content(message: _Message) -> str:
    if isinstance(message.content, list):
        return "".join(part.text for part in message.content)
    return message.content or ""


def _prompt_text(prompt: str | list[str]) -> str:
    return prompt if isinstance(prompt, str) else "\n".join(prompt)


_TEXT_PLACEHOLDER = "<text>"


class ResponseBuilder:
    """Builds the JSON of one chat or text completion, as one response or as streamed events."""

    __slots__ = ("_created_s", "_request", "_token_head", "_token_tail")

    def __init__(self, request: GenerateRequest, created_s: int) -> None:
        self._request = request
        self._created_s = created_s
        part = (
            {"delta": {"content": _TEXT_PLACEHOLDER}}
            if request.chat
            else {"text": _TEXT_PLACEHOLDER}
        )
        event = self._event(part, None)
        # Each token's event differs in its text only.
        self._token_head, _, self._token_tail = event.rpartition(_TEXT_PLACEHOLDER.encode())

    def first_event(self) -> bytes:
        """Return the event that precedes a chat's first token; empty for text completions."""
        if not self._request.chat:
            return b""
        return self._event({"delta": {"role": "assistant", "content": ""}}, None)

    def token_event(self, text: str) -> bytes:
        """Return a token's event; ``text`` must not contain characters that JSON escapes."""
        return self._token_head + text.encode() + self._token_tail

    def last_events(self, generated: int) -> bytes:
        """Return the events with the finish reason, the usage if requested, and ``[DONE]``."""
        part = {"delta": {}} if self._request.chat else {"text": ""}
        events = self._event(part, self._finish_reason())
        if self._request.include_usage:
            document = {**self._head(chunk=True), "choices": [], "usage": self._usage(generated)}
            events += _sse(document)
        return events + b"data: [DONE]\n\n"

    def complete_response(self, text: str, generated: int) -> bytes:
        """Return the body of a response that is not streamed."""
        if self._request.chat:
            part = {"message": {"role": "assistant", "content": text}}
        else:
            part = {"text": text}
        choice = {"index": 0, "finish_reason": self._finish_reason(), "logprobs": None, **part}
        head = self._head(chunk=False)
        return msgspec.json.encode({**head, "choices": [choice], "usage": self._usage(generated)})

    def _event(self, part: dict, finish_reason: str | None) -> bytes:
        choice = {"index": 0, **part, "finish_reason": finish_reason, "logprobs": None}
        return _sse({**self._head(chunk=True), "choices": [choice]})

    def _head(self, *, chunk: bool) -> dict:
        if self._request.chat:
            kind = "chat.completion.chunk" if chunk else "chat.completion"
        else:
            kind = "text_completion"
        return {
            "id": f"cmpl-{self._request.attempt_id}",
            "object": kind,
            "created": self._created_s,
            "model": self._request.model,
        }

    def _finish_reason(self) -> str:
        return "length" if self._request.has_token_limit else "stop"

    def _usage(self, generated: int) -> dict:
        """Return the usage block; ``generated`` includes the tokens before a resume point."""
        prompt = self._request.prompt_tokens
        return {
            "prompt_tokens": prompt,
            "completion_tokens": generated,
            "total_tokens": prompt + generated,
        }


def _sse(document: dict) -> bytes:
    return b"data: " + msgspec.json.encode(document) + b"\n\n"
