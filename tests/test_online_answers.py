"""Tests non-streamed answers that are assembled from events."""

import unittest

import msgspec

from fescuedock.core.answers import AnswerCollector, can_be_collected, streamed_body


def event(**fields: object) -> bytes:
    head = {"id": "a1", "object": "chunk", "created": 7, "model": "m"}
    return b"data: " + msgspec.json.encode({**head, **fields}) + b"\n\n"


class CollectorTest(unittest.TestCase):
    """The answer that the caller receives instead of the events."""

    def answer(self, *events: bytes, chat: bool = True) -> dict:
        collector = AnswerCollector(chat=chat)
        for data in events:
            collector.add(data)
        return msgspec.json.decode(collector.answer("hello"))

    def test_finish_reason_and_token_counts_come_from_the_last_events(self) -> None:
        usage = {"prompt_tokens": 1, "completion_tokens": 2, "total_tokens": 3}
        answer = self.answer(
            event(choices=[{"delta": {"role": "assistant"}}], system_fingerprint="fp"),
            event(choices=[{"delta": {"content": "hello"}, "finish_reason": None}]),
            event(choices=[{"delta": {}, "finish_reason": "length"}]),
            event(choices=[], usage=usage),
        )
        self.assertEqual(answer["choices"][0]["message"], {"role": "assistant", "content": "hello"})
        self.assertEqual(answer["choices"][0]["finish_reason"], "length")
        self.assertEqual((answer["usage"], answer["system_fingerprint"]), (usage, "fp"))
        self.assertEqual((answer["id"], answer["object"]), ("a1", "chat.completion"))

    def test_without_token_counts_the_answer_has_no_usage(self) -> None:
        last = event(choices=[{"text": "", "finish_reason": "stop"}])
        answer = self.answer(event(choices=[{"text": "hello"}]), last, chat=False)
        self.assertNotIn("usage", answer)
        self.assertEqual(answer["choices"][0]["text"], "hello")
        self.assertEqual(answer["choices"][0]["finish_reason"], "stop")

    def test_answers_of_more_than_one_text_are_not_collected(self) -> None:
        self.assertTrue(can_be_collected({"n": 1, "prompt": ["one"], "tools": []}))
        for fields in ({"n": 2}, {"best_of": 3}, {"echo": True}, {"tools": [{}]}, {"logprobs": 1}):
            self.assertFalse(can_be_collected(fields), fields)
        self.assertFalse(can_be_collected({"prompt": ["one", "two"]}))

    def test_the_request_body_is_not_modified(self) -> None:
        body = {"model": "m", "stream": False}
        self.assertIs(streamed_body(body)["stream"], True)
        self.assertEqual(body, {"model": "m", "stream": False})
