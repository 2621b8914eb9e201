"""What is known about a call and an upstream's answer without interpreting their bodies."""

import msgspec

__all__ = ["AnswerHead", "CallHead"]


class CallHead(msgspec.Struct, frozen=True):
    """What a client states about its call."""

    request_id: str
    # Total time that the client will wait; None if it does not say.
    patience_ms: float | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    # Identity and token count of each prompt part, in order; only this call has the last one.
    prompt_parts: tuple[tuple[str, int], ...] = ()
    # Number of the last event that the client received of an earlier answer; below 0 for none.
    last_event: int = -1
    # Request id of the attempt that delivered the stream's first event; empty if not stated.
    resumed_request_id: str = ""

    @property
    def shared_parts(self) -> tuple[tuple[str, int], ...]:
        """The leading prompt parts that other calls may share."""
        return self.prompt_parts[:-1]

    @property
    def shared_tokens(self) -> int:
        return sum(tokens for _, tokens in self.shared_parts)


class AnswerHead(msgspec.Struct, frozen=True):
    """What an upstream's answer states before its body.

    ``not_run`` is the upstream's promise that it did not run the request; without it the request
    may have run, whatever the answer.
    """

    status: int
    request_id: str
    not_run: bool
    # Has the seal by which clients recognize an upstream's answer.
    sealed: bool

    @property
    def is_success(self) -> bool:
        return 200 <= self.status < 300

    @property
    def is_forged(self) -> bool:
        """Whether it looks like a success but has no seal, so that it must not reach a client."""
        return self.is_success and not self.sealed

    def answers(self, request_id: str) -> bool:
        """Whether it belongs to ``request_id``; an answer without a request id is assumed to."""
        return self.request_id in ("", request_id)
