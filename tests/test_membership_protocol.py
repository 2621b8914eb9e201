"""Membership protocol: precedence, evidence, replays, forged datagrams, slow VMs and damping."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from fescuedock.address import Address
from fescuedock.core.membership.freshness import Freshness, ReplayWindows
from fescuedock.core.membership.gossip import GossipQueue
from fescuedock.core.membership.health import LocalHealth
from fescuedock.core.membership.suspicion import enough_evidence
from fescuedock.core.membership.table import MemberTable
from fescuedock.net.codec import BadMessageError, Codec, Key
from fescuedock.schema import membership as schema
from fescuedock.schema.membership import (
    DatagramHead,
    Gossip,
    MemberState,
    Probe,
    VmProfile,
    VmUpdate,
)
from fescuedock.schema.view import VmState
from tests.builders.membership import CODEC, Fleet, profile_of, vm_name

UNKNOWN_ADDRESS = Address("10.9.9.9", 9999)
STATES = list(MemberState)


def _update(incarnation: int, state: MemberState, accusers: tuple[str, ...] = ()) -> VmUpdate:
    return VmUpdate("vm-001", incarnation, state, list(accusers), profile_of(incarnation))


def _snapshot(fleet: Fleet) -> list:
    return [msgspec.to_builtins(node.membership.records()) for node in fleet.nodes.values()]


class TestTable(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.integers(1, 4), st.sampled_from(STATES)), min_size=1),
        st.randoms(use_true_random=False),
    )
    def test_updates_in_any_order_give_the_same_table(self, updates, rng) -> None:
        shuffled = list(updates)
        rng.shuffle(shuffled)
        tables = [MemberTable(), MemberTable()]
        for table, order in zip(tables, (updates, shuffled), strict=True):
            table.apply(_update(0, MemberState.ALIVE), 0.0)
            for incarnation, state in order:
                table.apply(_update(incarnation, state), 0.0)
        first, second = (table.get("vm-001") for table in tables)
        best = max((incarnation, STATES.index(state)) for incarnation, state in updates)
        self.assertEqual(best, (first.incarnation, STATES.index(first.state)))
        self.assertEqual(first.update(), second.update())
        self.assertEqual(*(table.bucket_hashes() for table in tables))

    def test_totals_follow_every_change(self) -> None:
        table = MemberTable()
        for number in range(4):
            profile = profile_of(number, 2)
            table.apply(VmUpdate(vm_name(number), 1, MemberState.ALIVE, [], profile), 0.0)
        self.assertEqual(2, table.count_domains("vm-000"))
        table.set_state(table.get("vm-002"), MemberState.GONE, 0.0, local_only=False)
        self.assertEqual(1, table.count_domains("vm-000"))
        self.assertEqual(3, table.present_count)

    def test_a_suspicion_of_one_vm_is_not_spread(self) -> None:
        table = MemberTable()
        table.apply(_update(3, MemberState.ALIVE), 0.0)
        member = table.get("vm-001")
        table.add_accusers(member, ["vm-000"])
        table.set_state(member, MemberState.SUSPECT, 0.0, local_only=True)
        self.assertIs(MemberState.SUSPECT, member.state)
        self.assertIs(MemberState.ALIVE, member.update().state)
        # Once another VM reports it too, it is spread.
        table.apply(_update(3, MemberState.SUSPECT, ("vm-002",)), 0.0)
        self.assertIs(MemberState.SUSPECT, member.update().state)
        self.assertEqual(["vm-000", "vm-002"], member.update().accusers)

    def test_evidence_needs_two_vms_of_two_domains(self) -> None:
        table = MemberTable()
        for number in range(6):
            update = VmUpdate(vm_name(number), 1, MemberState.ALIVE, [], profile_of(number))
            table.apply(update, 0.0)
        self.assertFalse(enough_evidence("vm-000", ["vm-001"], table))
        self.assertFalse(enough_evidence("vm-000", ["vm-001", "vm-004"], table))
        self.assertFalse(enough_evidence("vm-000", ["vm-001", "unknown"], table))
        self.assertTrue(enough_evidence("vm-000", ["vm-001", "vm-002"], table))
        self.assertTrue(enough_evidence("vm-000", ["vm-000"], table))

    def test_evidence_in_one_domain_needs_two_vms(self) -> None:
        table = MemberTable()
        for number in range(3):
            update = VmUpdate(vm_name(number), 1, MemberState.ALIVE, [], profile_of(number, 1))
            table.apply(update, 0.0)
        self.assertFalse(enough_evidence("vm-000", ["vm-001"], table))
        self.assertTrue(enough_evidence("vm-000", ["vm-001", "vm-002"], table))


class TestFreshness(unittest.TestCase):
    @given(st.lists(st.integers(1, 600), max_size=60))
    def test_a_sequence_number_counts_once(self, sequences: list[int]) -> None:
        windows = ReplayWindows()
        windows.prove(DatagramHead("a", "b", 7, 300, 0))
        seen = set(range(301))
        for sequence in sequences:
            verdict = windows.check(DatagramHead("a", "b", 7, sequence, 0))
            if verdict is Freshness.FRESH:
                self.assertNotIn(sequence, seen)
                seen.add(sequence)
            else:
                self.assertTrue(sequence in seen or sequence <= max(seen) - 256)

    def test_another_boot_is_unproven(self) -> None:
        windows = ReplayWindows()
        windows.prove(DatagramHead("a", "b", 7, 1, 0))
        for boot in (6, 8):
            head = DatagramHead("a", "b", boot, 2, 0)
            self.assertIs(Freshness.UNPROVEN, windows.check(head))


class TestGossipQueue(unittest.TestCase):
    def test_updates_fit_and_end(self) -> None:
        queue = GossipQueue()
        for number in range(50):
            queue.add(vm_name(number))

        def make_update(vm_id: str) -> VmUpdate:
            return VmUpdate(vm_id, 1, MemberState.ALIVE, [], profile_of(1))

        rounds = 0
        while queue:
            taken = queue.next_updates(500, 50, make_update)
            size = sum(len(msgspec.msgpack.encode(update)) for update in taken)
            self.assertTrue(0 < size <= 500)
            rounds += 1
            self.assertLess(rounds, 1000)
        self.assertEqual([], queue.next_updates(500, 50, make_update))


class TestHealth(unittest.TestCase):
    def test_pauses_raise_the_score_and_answers_lower_it(self) -> None:
        health = LocalHealth(1000.0)
        self.assertFalse(health.record_lag(100.0))
        self.assertEqual(1, health.multiplier)
        self.assertFalse(health.record_lag(300.0))
        self.assertTrue(health.record_lag(1500.0))
        self.assertEqual(4, health.multiplier)
        self.assertTrue(health.may_accuse)
        health.record_unanswered()
        self.assertFalse(health.may_accuse)
        for _ in range(10):
            health.record_answered()
        self.assertEqual(1, health.multiplier)


class TestHostileDatagrams(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(4)
        self.fleet.run(5000)
        self.node = self.fleet.nodes["vm-000"]
        self.before = _snapshot(self.fleet)

    def _assert_unchanged(self) -> None:
        self.fleet.run(3000)
        self.assertEqual(self.before, _snapshot(self.fleet))

    @given(st.binary(max_size=1400))
    def test_random_bytes_are_no_message(self, data: bytes) -> None:
        with self.assertRaises(BadMessageError):
            CODEC.decode(data)

    @given(st.data())
    def test_a_changed_datagram_is_no_message(self, data: st.DataObject) -> None:
        head = DatagramHead("vm-001", "vm-000", 5, 9, 1)
        encoded = CODEC.encode(Probe(head, 77, [_update(1, MemberState.GONE)]))
        position = data.draw(st.integers(0, len(encoded) - 1))
        flip = data.draw(st.integers(1, 255))
        changed = bytearray(encoded)
        changed[position] ^= flip
        for broken in (bytes(changed), encoded[:position], encoded + b"\0"):
            with self.assertRaises(BadMessageError):
                CODEC.decode(broken)

    @given(st.binary(max_size=300), st.sampled_from(sorted(vars(schema))))
    def test_signed_nonsense_is_no_message(self, body: bytes, name: str) -> None:
        """The bounds of the fields hold even for a sender that has the key."""
        data = msgspec.msgpack.encode((name, msgspec.Raw(body)))
        try:
            message = Codec([schema]).decode(data)
        except BadMessageError:
            return
        # What is decoded is a message within the bounds of its type.
        self.assertEqual(message, CODEC.decode(CODEC.encode(message)))

    def test_values_out_of_bounds_are_refused(self) -> None:
        head = DatagramHead("vm-001", "vm-000", 5, 9, 1)
        bad = [
            Probe(msgspec.structs.replace(head, sequence=0), 1, []),
            Probe(msgspec.structs.replace(head, boot=2**60), 1, []),
            Probe(msgspec.structs.replace(head, sender=""), 1, []),
            Probe(head, -1, []),
            Gossip(head, [VmUpdate("v" * 65, 1, MemberState.ALIVE)]),
            Gossip(head, [VmUpdate("v", 1, MemberState.GONE, ["x"] * 5)]),
            Gossip(head, [VmUpdate("v", 1, MemberState.ALIVE, [], VmProfile("", "", "h", 70000))]),
        ]
        for message in bad:
            with self.subTest(message), self.assertRaises(BadMessageError):
                CODEC.decode(CODEC.encode(message))

    def test_a_datagram_signed_with_another_key_changes_nothing(self) -> None:
        other_key_codec = Codec([schema], [Key("k1", b"another-secret--")])
        boot = self.node.membership.records()[1].incarnation
        for sequence in range(5000, 5010):
            head = DatagramHead("vm-001", "vm-000", boot, sequence, 9)
            updates = [VmUpdate("vm-002", 10**12, MemberState.GONE, ["vm-002"])]
            self.fleet.inject(
                self.node, other_key_codec.encode(Gossip(head, updates)), UNKNOWN_ADDRESS
            )
        self._assert_unchanged()

    def test_replays_change_nothing(self) -> None:
        for data, source, _target in self.fleet.recorded:
            for node in self.fleet.running():
                self.fleet.inject(node, data, source)
        self._assert_unchanged()

    def test_a_replay_is_not_even_answered(self) -> None:
        """A datagram that arrived before its sender's proof may be accepted late, but only once."""
        recorded = list(self.fleet.recorded)
        # Let the datagrams in flight arrive.
        self.fleet.run(100)
        self.assertGreater(len(recorded), 20)
        answers = []
        for data, source, _target in [*recorded, *recorded]:
            message = CODEC.decode(data)
            receiver = self.fleet.nodes[message.head.receiver].membership
            answers.append(receiver.receive(message, source, self.fleet.now_ms))
        self.assertEqual([], [item for item in answers[len(recorded) :] if item])
        self._assert_unchanged()

    def test_a_removal_reported_by_one_vm_is_verified(self) -> None:
        """The accuser is a proven member, but may be cut off itself."""
        latest = next(
            item
            for data, _, _ in reversed(self.fleet.recorded)
            if (item := CODEC.decode(data)).head.sender == "vm-001"
        )
        sequence = latest.head.sequence + 1
        head = DatagramHead("vm-001", "vm-000", latest.head.boot, sequence, 0)
        known = self.node.view()["vm-002"]
        updates = [VmUpdate("vm-002", known.incarnation, MemberState.GONE, ["vm-001"])]
        self.fleet.inject(self.node, CODEC.encode(Gossip(head, updates)), UNKNOWN_ADDRESS)
        self.assertIs(VmState.SUSPECT, self.node.view()["vm-002"].state)
        for _ in range(100):
            self.fleet.run(100)
            self.assertTrue(all("vm-002" in node.view() for node in self.fleet.running()))
        self.assertIs(VmState.ALIVE, self.node.view()["vm-002"].state)
        self.assertGreater(self.node.view()["vm-002"].incarnation, known.incarnation)

    def test_replays_to_a_restarted_vm_change_nothing(self) -> None:
        """A recorded accusation is replayed to a VM that has restarted since."""
        head = DatagramHead("vm-001", "vm-003", 1000, 4000, 0)
        incarnation = self.node.view()["vm-002"].incarnation
        updates = [VmUpdate("vm-002", incarnation, MemberState.GONE, ["vm-001", "vm-000"])]
        recorded = CODEC.encode(Gossip(head, updates))
        self.fleet.kill("vm-003")
        self.fleet.run(9000)
        # The recorded datagram's sender has restarted too, so its boot has changed.
        self.fleet.kill("vm-001")
        self.fleet.run(9000)
        self.fleet.start(1)
        restarted = self.fleet.start(3)
        for _ in range(20):
            self.fleet.inject(restarted, recorded, UNKNOWN_ADDRESS)
            self.fleet.run(300)
            others = [node for node in self.fleet.running() if node.vm_id != "vm-002"]
            for node in others:
                record = node.view().get("vm-002")
                self.assertIn(record.state if record else None, (None, VmState.ALIVE))
        self.assertEqual(incarnation, self.node.view()["vm-002"].incarnation)

    def test_a_datagram_for_another_vm_changes_nothing(self) -> None:
        for data, source, _target in self.fleet.recorded:
            message = CODEC.decode(data)
            others = [node for node in self.fleet.running() if node.vm_id != message.head.receiver]
            for node in others:
                self.assertEqual([], node.membership.receive(message, source, self.fleet.now_ms))
        self._assert_unchanged()

    def test_an_unproven_sender_is_only_probed(self) -> None:
        head = DatagramHead("vm-009", "vm-000", 5, 1, 99)
        updates = [VmUpdate("vm-002", 10**12, MemberState.GONE, ["vm-002"])]
        actions = self.node.membership.receive(
            Gossip(head, updates), UNKNOWN_ADDRESS, self.fleet.now_ms
        )
        self.assertEqual([Probe], [type(action.message) for action in actions])
        self._assert_unchanged()


class TestFailureDetection(unittest.TestCase):
    def test_a_lost_vm_is_removed_everywhere(self) -> None:
        for loss, repeat in ((0.0, 0.0), (0.05, 0.3)):
            fleet = Fleet(9)
            fleet.run_until(fleet.agrees, 30000)
            fleet.loss, fleet.repeat = loss, repeat
            fleet.kill("vm-004")
            self.assertLess(fleet.run_until(fleet.agrees, 30000), 15000)

    def test_a_vm_that_one_other_cannot_reach_stays(self) -> None:
        for both_ways in (True, False):
            fleet = Fleet(6)
            fleet.run_until(fleet.agrees, 30000)
            cut = [("vm-000", "vm-001")] + ([("vm-001", "vm-000")] if both_ways else [])
            fleet.reaches = lambda a, b, cut=cut: (a.vm_id, b.vm_id) not in cut
            for _ in range(600):
                fleet.run(100)
                self.assertTrue(fleet.agrees())

    def test_an_isolated_vm_does_not_remove_others(self) -> None:
        fleet = Fleet(9)
        fleet.run_until(fleet.agrees, 30000)
        fleet.reaches = lambda a, b: "vm-000" not in (a.vm_id, b.vm_id)
        fleet.run(60000)
        isolated = fleet.nodes["vm-000"]
        # Damping: a quarter of nine VMs at most.
        self.assertGreaterEqual(len(isolated.live()), 7)
        incarnations = {name: item.incarnation for name, item in isolated.view().items()}
        fleet.reaches = lambda a, b: True
        for _ in range(300):
            fleet.run(100)
            for node in fleet.running():
                self.assertTrue(node is isolated or len(node.live()) >= 8)
        self.assertTrue(fleet.agrees())
        # No other VM had to refute a suspicion held by the isolated one.
        raised = [
            name
            for name, item in fleet.nodes["vm-001"].view().items()
            if name != "vm-000" and item.incarnation > incarnations.get(name, item.incarnation)
        ]
        self.assertEqual([], raised)

    def test_a_short_isolation_causes_no_suspicion(self) -> None:
        fleet = Fleet(9)
        fleet.run_until(fleet.agrees, 30000)
        fleet.run(3000)
        fleet.reaches = lambda a, b: "vm-000" not in (a.vm_id, b.vm_id)
        for _ in range(20):
            fleet.run(100)
            states = {record.state for record in fleet.nodes["vm-000"].view().values()}
            self.assertEqual({VmState.ALIVE}, states)

    def test_partitions_that_removed_each_other_merge_again(self) -> None:
        fleet = Fleet(8, domains=4)
        fleet.run_until(fleet.agrees, 30000)
        fleet.reaches = lambda a, b: a.number % 2 == b.number % 2
        fleet.run(40000)
        for node in fleet.running():
            self.assertEqual(4, len(node.live()))
        fleet.reaches = lambda a, b: True
        self.assertLess(fleet.run_until(fleet.agrees, 60000), 20000)

    def test_loss_of_a_domain_seen_from_one_domain_only_is_damped(self) -> None:
        fleet = Fleet(12, domains=2)
        fleet.run_until(fleet.agrees, 30000)
        lost = [node.vm_id for node in fleet.running() if node.number % 2]
        for vm_id in lost:
            fleet.kill(vm_id)
        fleet.run(60000)
        for node in fleet.running():
            self.assertGreaterEqual(len(node.live()), 9)
        # The platform's list is independent evidence.
        fleet.listed.difference_update(lost)
        for _ in range(4):
            fleet.publish_list()
            fleet.run(15000)
        self.assertTrue(fleet.agrees())

    def test_a_paused_vm_accuses_no_other_when_it_resumes(self) -> None:
        fleet = Fleet(6)
        fleet.run_until(fleet.agrees, 30000)
        fleet.run(5000)
        before = {name: item.incarnation for name, item in fleet.nodes["vm-001"].view().items()}
        for pause_ms in (900, 2500, 4000):
            fleet.pause("vm-000")
            fleet.run(pause_ms)
            fleet.wake("vm-000")
            for _ in range(100):
                fleet.run(100)
                states = {record.state for record in fleet.nodes["vm-000"].view().values()}
                self.assertEqual({VmState.ALIVE}, states)
        after = {name: item.incarnation for name, item in fleet.nodes["vm-001"].view().items()}
        del before["vm-000"], after["vm-000"]
        self.assertEqual(before, after)

    def test_a_planned_leave_is_known_at_once(self) -> None:
        fleet = Fleet(9)
        fleet.run_until(fleet.agrees, 30000)
        fleet.leave("vm-003")
        spread_ms = fleet.run_until(
            lambda: all("vm-003" not in node.live() for node in fleet.running()), 5000
        )
        self.assertLess(spread_ms, 1500)

    def test_the_list_alone_can_show_a_vm_as_leaving(self) -> None:
        fleet = Fleet(3)
        fleet.run_until(fleet.agrees, 30000)
        leaving = [replace(item, leaving=item.vm_id == "vm-001") for item in fleet.candidates()]
        fleet.nodes["vm-000"].membership.replace_list(leaving, fleet.now_ms)
        self.assertIs(VmState.LEAVING, fleet.nodes["vm-000"].view()["vm-001"].state)
        # The VM itself learns it from its own list, and announces it to VMs with an older list.
        fleet.nodes["vm-001"].membership.replace_list(leaving, fleet.now_ms)
        fleet.run(3000)
        self.assertIs(VmState.LEAVING, fleet.nodes["vm-002"].view()["vm-001"].state)

    def test_table_comparison_finds_updates_that_gossip_missed(self) -> None:
        for seed in range(1, 6):
            # The VM does not exist; the long suspicion keeps it until all tables were compared.
            fleet = Fleet(6, seed=seed, suspicion_ms=60000)
            fleet.run_until(fleet.agrees, 30000)
            fleet.run(5000)
            update = VmUpdate("vm-099", 5, MemberState.LEAVING, [], profile_of(99))
            fleet.learn_silently("vm-003", update)
            self.assertIn("vm-099", fleet.nodes["vm-003"].view())
            took_ms = fleet.run_until(
                lambda fleet=fleet: all("vm-099" in node.view() for node in fleet.running()), 60000
            )
            self.assertLess(took_ms, 60000)

    def test_a_vm_that_is_not_listed_but_answers_is_a_member(self) -> None:
        fleet = Fleet(4)
        fleet.run_until(fleet.agrees, 30000)
        fleet.start(4, listed=False)
        self.assertLess(fleet.run_until(fleet.agrees, 10000), 5000)
        fleet.run(60000)
        self.assertTrue(fleet.agrees())

    def test_idle_nodes_wake_rarely(self) -> None:
        # Ticking at every interval at which something may be due would be 66 ticks per second.
        fleet = Fleet(20, probe_interval_ms=300)
        fleet.run_until(fleet.agrees, 60000)
        fleet.run(30000)
        before = [node.ticks for node in fleet.running()]
        fleet.run(10_000)
        ticks = [node.ticks - first for node, first in zip(fleet.running(), before, strict=True)]
        # 10 ticks per second when nothing is due, plus those for probes and table comparisons.
        self.assertLess(max(ticks), 300)

    def test_load_is_bounded_whatever_the_size(self) -> None:
        rates = []
        for size in (6, 24):
            fleet = Fleet(size)
            fleet.run_until(fleet.agrees, 60000)
            fleet.run(30000)
            before = sum(node.sent for node in fleet.running())
            fleet.run(20000)
            rates.append((sum(node.sent for node in fleet.running()) - before) / size / 20)
        self.assertLess(max(rates), 6.0)


class TestConfigurationVersion(unittest.TestCase):
    def test_every_datagram_carries_it(self) -> None:
        fleet = Fleet(3)
        fleet.run_until(fleet.agrees, 30000)
        newer = msgspec.structs.replace(profile_of(0), config_version=5)
        fleet.nodes["vm-000"].membership.set_profile(newer, fleet.now_ms)
        took_ms = fleet.run_until(
            lambda: all(
                node.versions.get("vm-000") == 5 for node in fleet.running() if node.number
            ),
            5000,
        )
        self.assertLess(took_ms, 3000)
        fleet.run(3000)
        self.assertEqual(5, fleet.nodes["vm-002"].view()["vm-000"].config_version)


if __name__ == "__main__":
    unittest.main()
