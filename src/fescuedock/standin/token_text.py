"""The text that the stand-in engine generates, a function of the prompt and the token's index.

Tests can thus predict every byte of an answer, whichever engines generated it.
"""

from hashlib import blake2b

__all__ = ["answer_text", "default_answer_tokens", "prompt_tokens", "token_texts"]

_SYLLABLES = [consonant + vowel for consonant in "bdfklmnprstv" for vowel in "aeiou"]
_CHARS_PER_TOKEN = 4
_MIN_ANSWER_TOKENS = 8
_ANSWER_LENGTHS = 57


def token_texts(prompt: str, first: int, count: int) -> list[str]:
    """Return the texts of ``count`` tokens, starting at index ``first``."""
    return [_token_text(prompt, index) for index in range(first, first + count)]


def answer_text(prompt: str, count: int) -> str:
    """Return the first ``count`` tokens of the answer to ``prompt`` as one text."""
    return "".join(token_texts(prompt, 0, count))


def default_answer_tokens(prompt: str) -> int:
    """Return the length of an answer without a limit by the caller, 8 to 64 tokens."""
    return _MIN_ANSWER_TOKENS + _digest(prompt)[0] % _ANSWER_LENGTHS


def prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt, at least 1."""
    return max(1, -(-len(prompt) // _CHARS_PER_TOKEN))


def _token_text(prompt: str, index: int) -> str:
    digest = blake2b(b"%d" % index, digest_size=3, key=_digest(prompt)).digest()
    word = "".join(_SYLLABLES[byte % len(_SYLLABLES)] for byte in digest)
    return word if index == 0 else f" {word}"


def _digest(prompt: str) -> bytes:
    return blake2b(prompt.encode(), digest_size=16).digest()
