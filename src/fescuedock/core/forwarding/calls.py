"""What is known of a call and of an upstream's answer without understanding their bodies."""

import msgspec

__all__ = ["AnswerHead", "CallHead"]


class CallHead(msgspec.Struct, frozen=True):
    """What a client says of its call."""

    request_id: str
    # How long the client will wait, in all; None when it does not say.
    patience_ms: float | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    # Identity and tokens of each part of the prompt, in order; the last is the call's own.
    prompt_parts: tuple[tuple[str, int], ...] = ()
    # Number of the last event that the client has of an earlier answer; below 0 for none.
    last_event: int = -1
    # The client's attempt that brought that stream's first event; empty when it does not say.
    resumes: str = ""

    @property
    def shared_parts(self) -> tuple[tuple[str, int], ...]:
        """The parts of the prompt that other calls may begin with too."""
        return self.prompt_parts[:-1]

    @property
    def shared_tokens(self) -> int:
        return sum(tokens for _, tokens in self.shared_parts)


class AnswerHead(msgspec.Struct, frozen=True):
    """What an upstream's answer says before its body.

    ``not_run`` is the upstream's promise that it did not run the request; without it any answer
    means that it may have.
    """

    status: int
    request_id: str
    not_run: bool
    # Bears the mark by which clients know an answer as an upstream's.
    sealed: bool

    @property
    def is_success(self) -> bool:
        return 200 <= self.status < 300

    @property
    def is_forged(self) -> bool:
        """Whether it looks like a success but bears no mark, so that no client may get it."""
        return self.is_success and not self.sealed

    def answers(self, request_id: str) -> bool:
        """Whether it belongs to ``request_id``; one without an identity is taken to."""
        return self.request_id in ("", request_id)
