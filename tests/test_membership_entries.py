"""Tests which entries callers should use, and how callers are spread over them."""

import random
import unittest
from collections import Counter

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.entry_choice import CallerPlace, eligible_entries, rank_entries
from fescuedock.core.rendezvous import OwnerIndex, choose_name, rank_names
from fescuedock.schema.view import Program, UpstreamKind, UpstreamRecord, VmRecord, VmState


def _vm(number: int, **changes: object) -> VmRecord:
    values = {
        "vm_id": f"vm-{number}",
        "region": "caldas",
        "failure_domain": f"hall-{number % 3}",
        "host": "10.0.0.1",
        "incarnation": 1,
        "state": VmState.ALIVE,
        "entry_port": 80,
        "ready": [Program.ENTRY, Program.AGENT],
        "config_confirmed": True,
    }
    return VmRecord(**(values | changes))


NINE = [_vm(number) for number in range(9)]


def _firsts(vms: list[VmRecord], place: CallerPlace, answers: int = 3000) -> Counter[str]:
    rng = random.Random(5)
    return Counter(rank_entries(vms, place, rng)[0].vm_id for _ in range(answers))


class TestEligible(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.sampled_from(list(VmState)), st.booleans(), st.booleans(), st.booleans()),
            max_size=6,
        )
    )
    def test_leaving_unready_and_unconfirmed_entries_are_never_listed(self, vms) -> None:
        records = [
            _vm(
                number,
                state=state,
                entry_port=80 if runs else 0,
                ready=[Program.ENTRY] if ready else [Program.AGENT],
                config_confirmed=confirmed,
            )
            for number, (state, runs, ready, confirmed) in enumerate(vms)
        ]
        listed = eligible_entries(records)
        serving = [
            vm
            for vm in records
            if vm.state in ("alive", "suspect") and vm.entry_port and "entry" in vm.ready
        ]
        confirmed = [vm for vm in serving if vm.config_confirmed]
        # If no entry is confirmed, none is known to be ahead, and all may serve.
        self.assertEqual(confirmed if confirmed else serving, listed)

    def test_an_unconfirmed_entry_is_not_listed_while_another_is_confirmed(self) -> None:
        behind = _vm(1, config_confirmed=False)
        self.assertEqual([NINE[0]], eligible_entries([NINE[0], behind]))
        self.assertEqual([behind], eligible_entries([behind]))


class TestRanking(unittest.TestCase):
    def test_every_entry_is_named_once(self) -> None:
        ranked = rank_entries(NINE, CallerPlace("hall-1"), random.Random(1))
        self.assertEqual(sorted(vm.vm_id for vm in NINE), sorted(vm.vm_id for vm in ranked))

    def test_callers_without_a_place_spread_evenly(self) -> None:
        counts = _firsts(NINE, CallerPlace())
        self.assertEqual(9, len(counts))
        self.assertLess(max(counts.values()), 1.25 * min(counts.values()))

    def test_near_entries_come_first_for_most(self) -> None:
        counts = _firsts(NINE, CallerPlace("hall-1"))
        near = sum(counts[f"vm-{number}"] for number in (1, 4, 7))
        self.assertGreater(near, 0.75 * counts.total())
        self.assertLess(near, 0.95 * counts.total())

    def test_another_region_is_a_last_choice(self) -> None:
        far = [_vm(number, region="vlaanderen", failure_domain="hal") for number in (10, 11)]
        counts = _firsts([*NINE, *far], CallerPlace("hall-1"))
        self.assertLess(counts["vm-10"] + counts["vm-11"], 0.01 * counts.total())

    def test_each_doubling_of_load_above_four_times_the_lowest_halves_the_share(self) -> None:
        for load, share in ((3, 1 / 2), (5, 1 / 2), (6, 1 / 3), (7, 1 / 5)):
            vms = [_vm(0, entry_load=2), _vm(3, entry_load=load)]
            counts = _firsts(vms, CallerPlace())
            self.assertAlmostEqual(share, counts["vm-3"] / counts.total(), delta=0.03)

    def test_suspected_entries_come_last(self) -> None:
        vms = [*NINE[:4], _vm(4, state=VmState.SUSPECT)]
        for seed in range(50):
            ranked = rank_entries(vms, CallerPlace("hall-1"), random.Random(seed))
            self.assertEqual("vm-4", ranked[-1].vm_id)


class TestRendezvous(unittest.TestCase):
    @given(st.sets(st.text("abc", min_size=1, max_size=3), min_size=1), st.text(max_size=4))
    def test_a_lost_name_moves_only_its_own_keys(self, names: set[str], key: str) -> None:
        ranked = rank_names(key, names)
        self.assertEqual(choose_name(key, names), ranked[0])
        for name in names:
            left = [item for item in ranked if item != name]
            self.assertEqual(left, rank_names(key, names - {name}))

    def test_owners_are_near_and_spread(self) -> None:
        owned: Counter[str] = Counter()
        index = OwnerIndex(NINE)
        for number in range(300):
            domain = f"hall-{number % 3}"
            upstream = UpstreamRecord(
                f"up-{number}", "caldas", domain, "10.1.0.1", 1, UpstreamKind.ENGINE, "llm"
            )
            owner = index.owner_id(upstream)
            self.assertEqual(domain, next(vm for vm in NINE if vm.vm_id == owner).failure_domain)
            owned[owner] += 1
        self.assertEqual(9, len(owned))
        self.assertLess(max(owned.values()), 55)

    def test_without_a_near_vm_one_of_the_region_owns(self) -> None:
        upstream = UpstreamRecord("up", "r2", "x", "10.1.0.1", 1, UpstreamKind.ENGINE, "llm")
        vms = [*NINE, _vm(10, region="r2")]
        self.assertEqual("vm-10", OwnerIndex(vms).owner_id(upstream))
        self.assertIsNotNone(OwnerIndex(NINE).owner_id(upstream))
        self.assertIsNone(OwnerIndex([]).owner_id(upstream))

    def test_order_of_the_vms_does_not_matter(self) -> None:
        upstream = UpstreamRecord("up", "caldas", "x", "10.1.0.1", 1, UpstreamKind.ENGINE, "llm")
        owners = {OwnerIndex(vms).owner_id(upstream) for vms in (NINE, NINE[::-1])}
        self.assertEqual(1, len(owners))

    def test_an_index_holds_until_its_vms_or_their_places_change(self) -> None:
        index = OwnerIndex(NINE)
        self.assertTrue(index.matches([msgspec.structs.replace(vm, entry_load=5) for vm in NINE]))
        self.assertFalse(index.matches(NINE[1:]))
        moved = [_vm(number, failure_domain="hall-9") for number in range(9)]
        self.assertFalse(index.matches(moved))


if __name__ == "__main__":
    unittest.main()
