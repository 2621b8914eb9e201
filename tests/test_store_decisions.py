"""The pure decisions of stores: placement, repair, splitting into segments, and keys."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.job_keys import member_job_created_s, member_job_id, member_job_key
from fescuedock.core.repair import ByteRateLimiter, StableSites, find_shortages
from fescuedock.core.segments import LineReader, SegmentCutter, item_lines
from fescuedock.core.store_placement import CopyPlan, StoreSite, rank_stores
from fescuedock.schema.result_codes import ResultCode

DOMAINS = ["chipre", "palermo", "villamaria"]
SITES = st.lists(st.sampled_from(DOMAINS), min_size=1, max_size=8).map(
    lambda domains: [StoreSite(f"vm-{number}", domain) for number, domain in enumerate(domains)]
)


class PlacementTest(unittest.TestCase):
    @given(SITES, st.text(max_size=5), st.integers(1, 4))
    def test_first_copies_take_as_many_domains_as_there_are(
        self, sites: list[StoreSite], key: str, copies: int
    ) -> None:
        ranked = rank_stores(key, sites)
        self.assertCountEqual(ranked, sites)
        domains = {site.failure_domain for site in sites}
        first = {site.failure_domain for site in ranked[:copies]}
        self.assertEqual(len(first), min(copies, len(domains)))

    def test_keys_spread_evenly_and_move_little_when_a_store_is_lost(self) -> None:
        sites = [StoreSite(f"vm-{number}", DOMAINS[number % 3]) for number in range(6)]
        keys = [f"key-{number}" for number in range(600)]
        before = {key: set(rank_stores(key, sites)[:3]) for key in keys}
        loads = Counter(site for chosen in before.values() for site in chosen)
        self.assertLess(max(loads.values()), 1.25 * 300)
        after = {key: set(rank_stores(key, sites[1:])[:3]) for key in keys}
        moved = sum(len(after[key] - before[key]) for key in keys)
        self.assertEqual(moved, loads[sites[0]])

    @given(
        SITES,
        st.lists(st.booleans(), min_size=8, max_size=8),
        st.lists(st.booleans(), min_size=8, max_size=8),
        st.integers(1, 3),
        st.randoms(),
    )
    def test_plan_finds_enough_copies_whenever_there_are_enough_stores(
        self, sites, answers, avoidance, min_copies, rng
    ) -> None:
        accepting = {site for site, answer in zip(sites, answers, strict=False) if answer}
        avoided = {site.vm_id for site, avoid in zip(sites, avoidance, strict=False) if avoid}
        plan = CopyPlan(rank_stores("key", sites), 3, min_copies, avoided)
        waiting = plan.next_sites()
        requested = list(waiting)
        while waiting:
            site = waiting.pop(rng.randrange(len(waiting)))
            if site in accepting:
                plan.record_written(site)
            else:
                plan.record_refusal(site, ResultCode.DISK_FULL)
            more = plan.next_sites()
            requested += more
            waiting += more
        self.assertEqual(len(requested), len(set(requested)))
        held_domains = {site.failure_domain for site in plan.held}
        accepting_domains = {site.failure_domain for site in accepting}
        self.assertEqual(plan.is_sufficient, len(held_domains) >= min_copies)
        self.assertEqual(plan.is_sufficient, len(accepting_domains) >= min_copies)
        self.assertGreaterEqual(len(plan.held), min(3, len(accepting)))
        if not avoided:
            self.assertEqual(len(held_domains), min(3, len(accepting_domains)))

    def test_an_avoided_store_is_used_only_when_others_do_not_suffice(self) -> None:
        sites = [StoreSite("vm-0", "palermo"), *(StoreSite(f"vm-{n}", "chipre") for n in (1, 2, 3))]
        two_domains = CopyPlan([*sites, StoreSite("vm-4", "villamaria")], 3, 2, {"vm-0"})
        self.assertNotIn(sites[0], two_domains.next_sites())
        self.assertIn(sites[0], CopyPlan(sites, 3, 2, {"vm-0"}).next_sites())

    def test_avoided_stores_come_last(self) -> None:
        sites = [StoreSite(f"vm-{number}", DOMAINS[number % 3]) for number in range(6)]
        ranked = rank_stores("key", sites, {"vm-0", "vm-1"})
        self.assertEqual({site.vm_id for site in ranked[4:]}, {"vm-0", "vm-1"})


class RepairDecisionTest(unittest.TestCase):
    @given(SITES, st.data(), st.integers(1, 4))
    def test_exactly_one_holder_copies_and_then_nothing_is_short(
        self, sites: list[StoreSite], data: st.DataObject, copies: int
    ) -> None:
        names = data.draw(st.sets(st.sampled_from([site.vm_id for site in sites]), min_size=1))
        found = {me: find_shortages(me, {"hash": names}, sites, copies) for me in names}
        acting = [me for me in names if found[me]]
        self.assertLessEqual(len(acting), 1)
        made = {
            site.vm_id for me in acting for site in found[me][0].targets[: found[me][0].missing]
        }
        self.assertFalse(made & names)
        held = [site for site in sites if site.vm_id in names | made]
        domains = {site.failure_domain for site in sites}
        self.assertGreaterEqual(len(held), min(copies, len(sites)))
        self.assertGreaterEqual(
            len({site.failure_domain for site in held}), min(copies, len(domains))
        )
        for me in names | made:
            self.assertEqual(find_shortages(me, {"hash": names | made}, sites, copies), [])

    @given(st.lists(st.integers(1, 5000), min_size=2), st.lists(st.floats(0, 500), min_size=2))
    def test_the_rate_limiter_never_exceeds_its_rate(
        self, sizes: list[int], gaps_ms: list[float]
    ) -> None:
        limiter = ByteRateLimiter(bytes_per_s=1000)
        now_ms = 0.0
        passed = []
        for size_bytes, gap_ms in zip(sizes, gaps_ms, strict=False):
            now_ms += gap_ms
            now_ms += limiter.delay_ms(size_bytes, now_ms)
            passed.append((now_ms, size_bytes))
        for number, (start_ms, _) in enumerate(passed):
            for last in range(number + 1, len(passed)):
                between = sum(size_bytes for _, size_bytes in passed[number:last])
                self.assertLessEqual(between, (passed[last][0] - start_ms) + 1e-6)

    def test_restart_within_the_time_copies_nothing(self) -> None:
        one, two = StoreSite("vm-1", "chipre"), StoreSite("vm-2", "palermo")
        sites = StableSites(after_ms=1000)
        self.assertEqual(sites.observe([one, two], 0), 1000)
        self.assertEqual(sites.observe([one, two], 1000), 0)
        sites.accept_change()
        self.assertIsNone(sites.observe([one, two], 1500))
        self.assertEqual(sites.observe([one], 2000), 1000)
        self.assertIsNone(sites.observe([two, one], 2900))
        self.assertEqual(sites.observe([one], 3000), 1000)
        self.assertEqual(sites.observe([one], 4000), 0)


class SegmentCutTest(unittest.TestCase):
    @given(
        st.lists(st.sampled_from([b"", b" ", b"a", b"bb", b"x" * 7, b"y" * 30, b"\r"])),
        st.booleans(),
        st.lists(st.integers(1, 9), min_size=1),
        st.integers(1, 4),
        st.integers(8, 20),
    )
    def test_segments_are_the_stream_and_keep_their_bounds(
        self, lines, ends_open, sizes, max_items, max_bytes
    ) -> None:
        stream = b"\n".join(lines) + (b"" if ends_open else b"\n")
        reader, cutter = LineReader(12), SegmentCutter(max_items, max_bytes)
        lines_read: list[bytes] = []
        remaining, index = stream, 0
        while remaining:
            size = sizes[index % len(sizes)]
            lines_read += reader.feed(remaining[:size])
            remaining, index = remaining[size:], index + 1
        lines_read += reader.finish()
        cuts = [cut for cut in map(cutter.add, lines_read) if cut] + [cutter.finish()]
        segments = [cut for cut in cuts if cut]
        self.assertEqual(b"".join(cut.body for cut in segments), stream)
        self.assertTrue(all(len(line) <= 14 for line in lines_read))
        for cut in segments:
            self.assertLessEqual(cut.items, max_items)
            self.assertLessEqual(len(cut.body), max(max_bytes, 14))
        if all(len(line) <= 12 for line in lines):
            items = [line for cut in segments for line in item_lines(cut.body)]
            self.assertEqual(items, [line for line in lines if line.strip()])
            self.assertEqual(sum(cut.items for cut in segments), len(items))


class JobKeyTest(unittest.TestCase):
    @given(st.text(min_size=1), st.integers(0, 4_000_000_000), st.integers(0, 4_000_000_000))
    def test_member_keys_sort_youngest_first_and_can_be_read_back(
        self, member: str, one_s: int, other_s: int
    ) -> None:
        one = member_job_key("/p/", member, one_s, "batch_1")
        other = member_job_key("/p/", member, other_s, "batch_1")
        self.assertEqual(one < other, one_s > other_s)
        self.assertEqual(member_job_created_s(one), one_s)
        self.assertEqual(member_job_id(one), "batch_1")


if __name__ == "__main__":
    unittest.main()
