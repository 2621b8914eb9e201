"""The token-time model, the prefix cache with its event log, and the generated text."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescuedock.backing.engine_wire import BLOCK_CHARS, CacheEvent, prefix_hashes
from fescuedock.standin.prefix_cache import CacheEventLog, PrefixCache
from fescuedock.standin.token_text import answer_text, default_answer_tokens, token_texts
from fescuedock.standin.token_time import EngineProfile, Sequence, TokenTimeModel

PROFILE = EngineProfile(
    step_ms=10.0,
    step_ms_per_sequence=1.0,
    prefill_ms_per_token=0.1,
    max_prefill_tokens=100,
    max_sequences=4,
    kv_tokens=1000,
)


def model_with(*sequences: Sequence) -> TokenTimeModel:
    model = TokenTimeModel(PROFILE)
    for sequence in sequences:
        model.admit(sequence)
    return model


def sequence(name: str, prompt: int = 10, answer: int = 5, cached: int = 0) -> Sequence:
    return Sequence(name, prompt, answer, cached)


def first_token_ms(model: TokenTimeModel, name: str) -> float:
    """Step until ``name`` has its first token and return the elapsed time."""
    total_ms = 0.0
    while True:
        result = model.step()
        total_ms += result.duration_ms
        if name in [each.sequence_id for each in result.produced]:
            return total_ms


class TokenTimeModelTest(unittest.TestCase):
    def test_time_of_one_sequence(self):
        model = model_with(sequence("a"))
        # The step that completes the prefill produces the first token; each later step, one more.
        self.assertEqual(model.step().duration_ms, 10.0 + 10 * 0.1)
        self.assertEqual(model.step().duration_ms, 10.0 + 1.0)

    def test_time_between_tokens_grows_with_running_sequences(self):
        isolated = model_with(sequence("a"))
        crowded = model_with(*(sequence(name) for name in "abcd"))
        for model in (isolated, crowded):
            model.step()
        self.assertEqual(crowded.step().duration_ms - isolated.step().duration_ms, 3.0)

    def test_long_prompt_slows_the_tokens_of_other_sequences(self):
        model = model_with(sequence("a", answer=50))
        model.step()
        quiet_ms = model.step().duration_ms
        model.admit(sequence("long", prompt=250))
        self.assertEqual(model.step().duration_ms - quiet_ms, 100 * 0.1)

    def test_a_first_token_waits_for_the_prompts_before_it(self):
        isolated_ms = first_token_ms(model_with(sequence("b")), "b")
        behind = model_with(sequence("a", prompt=300), sequence("b"))
        self.assertGreater(first_token_ms(behind, "b"), 3 * isolated_ms)

    def test_cached_prefix_shortens_the_time_to_first_token(self):
        cold_ms = first_token_ms(model_with(sequence("a", prompt=300)), "a")
        warm_ms = first_token_ms(model_with(sequence("a", prompt=300, cached=300)), "a")
        self.assertLess(warm_ms, cold_ms / 3)

    def test_sequences_wait_while_the_engine_is_full(self):
        model = model_with(*(sequence(name, answer=2) for name in "abcde"))
        self.assertEqual((len(model.running), len(model.waiting)), (4, 1))
        model.step()
        model.step()
        self.assertEqual(list(model.running), ["e"])

    def test_kv_memory_limits_running_sequences(self):
        model = model_with(sequence("a", prompt=600), sequence("b", prompt=600))
        self.assertEqual(list(model.running), ["a"])
        self.assertEqual(model.kv_use, 0.605)
        self.assertTrue(model.cancel("a"))
        self.assertEqual(list(model.running), ["b"])

    def test_sequence_larger_than_the_engine_runs_in_isolation(self):
        model = model_with(sequence("huge", prompt=5000), sequence("b"))
        self.assertEqual(list(model.running), ["huge"])

    @given(
        st.lists(
            st.tuples(
                st.integers(1, 400), st.integers(1, 12), st.integers(0, 400), st.integers(0, 9)
            ),
            min_size=1,
            max_size=12,
        ),
        st.sets(st.integers(0, 11)),
    )
    def test_every_sequence_gets_exactly_its_tokens(self, drawn, cancelled):
        model = TokenTimeModel(PROFILE)
        tokens = dict.fromkeys(map(str, range(len(drawn))), 0)
        waiting = [(at, str(n), p, a, c) for n, (p, a, c, at) in enumerate(drawn)]
        for step in range(10_000):
            for at, name, prompt, answer, cached in waiting:
                if at == step:
                    model.admit(Sequence(name, prompt, answer, cached))
                if at + 1 == step and int(name) in cancelled:
                    model.cancel(name)
            if step > 10 and model.is_idle:
                break
            self.assertLessEqual(len(model.running), PROFILE.max_sequences)
            for each in model.step().produced:
                tokens[each.sequence_id] += 1
        self.assertFalse(model.waiting)
        for _, name, _, answer, _ in waiting:
            if int(name) in cancelled:
                self.assertLessEqual(tokens[name], answer)
            else:
                self.assertEqual(tokens[name], answer)


class PrefixCacheTest(unittest.TestCase):
    def test_least_recently_used_blocks_are_evicted(self):
        cache = PrefixCache(max_blocks=3)
        self.assertEqual(cache.store(["a", "b", "c"]), CacheEvent(0, ("a", "b", "c"), ()))
        self.assertEqual(cache.cached_prefix_length(["a", "x", "b"]), 1)
        self.assertEqual(cache.store(["d"]), CacheEvent(0, ("d",), ("b",)))
        self.assertEqual(cache.select_cached(["a", "b", "c", "d"]), ("a", "c", "d"))

    def test_prompts_share_the_hashes_of_their_common_prefix(self):
        common = "x" * (2 * BLOCK_CHARS)
        one = list(prefix_hashes(common + "1" * BLOCK_CHARS))
        other = list(prefix_hashes(common + "2" * BLOCK_CHARS + "a tail shorter than a block"))
        self.assertEqual(one[:2], other[:2])
        self.assertNotEqual(one[2], other[2])
        self.assertEqual((len(one), len(other)), (3, 3))

    def test_events_are_delayed_and_may_have_gaps(self):
        log = CacheEventLog(delay_ms=100, lose_every=3, max_events=3)
        for number in range(1, 6):
            log.add(CacheEvent(0, (f"block-{number}",)), now_ms=number * 10)
        self.assertEqual(log.read(0, now_ms=109).events, ())
        page = log.read(1, now_ms=1000)
        # Event 3 was lost and event 1 was evicted.
        self.assertEqual([event.seq for event in page.events], [2, 4, 5])
        self.assertEqual((page.last_seq, page.first_kept), (5, 2))


class TokenTextTest(unittest.TestCase):
    @given(st.text(max_size=40), st.integers(0, 30), st.integers(0, 30))
    def test_text_depends_only_on_prompt_and_index(self, prompt, first, count):
        all_tokens = token_texts(prompt, 0, first + count)
        self.assertEqual(all_tokens[first:], token_texts(prompt, first, count))
        self.assertEqual(answer_text(prompt, first + count), "".join(all_tokens))
        self.assertIn(default_answer_tokens(prompt), range(8, 65))

    def test_answers_to_different_prompts_differ(self):
        answers = {answer_text(f"prompt {number}", 4) for number in range(200)}
        self.assertEqual(len(answers), 200)
