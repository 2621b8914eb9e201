"""Single decisions about the configuration: patches, checks, restored services, cut-off VMs."""

import hashlib
import unittest
from math import inf

import msgspec
from result import Err

from fescuedock.core.config.check import find_problems
from fescuedock.core.config.merge import merge_patch
from fescuedock.core.config.node import Pull, ReadRevision
from fescuedock.core.config.record import (
    MAX_PATCHES,
    MAX_RECORD_BYTES,
    BadRecordError,
    Refusal,
    apply_request,
    decode_record,
    empty_record,
    encode_record,
)
from fescuedock.core.config.replica import AlarmKind, OfferResult, Replica
from fescuedock.core.config.republish import plan_republish
from fescuedock.core.config.spread import (
    ConfirmationState,
    confirmation_state,
    is_serving,
    watchers_of,
)
from fescuedock.core.config.writer import Accepted, PatchWriter, Put, Read
from fescuedock.faults import Fault
from fescuedock.schema.config import ConfigPull, PatchRequest
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import CutOff
from fescuedock.schema.view import VmState
from tests.builders.config import config_document, member_patch, node_of, records, vm_record

UNKNOWN = Err(Fault(ResultCode.KV_UNKNOWN, "lost"))


class PatchTest(unittest.TestCase):
    def test_merge_follows_the_examples_of_rfc_7396(self):
        cases = [
            ({"a": "b"}, {"a": "c"}, {"a": "c"}),
            ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
            ({"a": "b"}, {"a": None}, {}),
            ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
            ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
            ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
            ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
            ({"a": "foo"}, None, None),
            ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
            ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
        ]
        for target, patch, merged in cases:
            self.assertEqual(merge_patch(target, patch), merged)

    def test_every_problem_is_reported_and_no_key_is_shown(self):
        document = {
            "servces": {},
            "services": {
                "a/b": {"kind": "plan"},
                "d": {"kind": "model", "models": {"m": {"version": "", "adapters": [1]}}},
                "e": {},
            },
            "members": {"x": {"key_hashes": ["a key in clear"], "share": 0}},
            "upstreams": {"u": {"drain": "yes"}},
        }
        problems = find_problems(document)
        paths = sorted(problem.split(":")[0] for problem in problems)
        self.assertEqual(
            paths,
            [
                "members.x.key_hashes[0]",
                "members.x.share",
                "servces",
                "services.a/b.kind",
                "services.d.models.m.adapters[0]",
                "services.d.models.m.version",
                "services.e.kind",
                "upstreams.u.drain",
            ],
        )
        self.assertNotIn("clear", " ".join(problems))

    def test_references_and_names_are_checked_across_the_document(self):
        hashed = hashlib.sha256(b"key").hexdigest()
        document = {
            "services": {
                "a/b": {"kind": "plain", "non_idempotent": ["post bookings"]},
                "c": {"kind": "model", "models": {"m": {"version": "1", "adapters": ["m"]}}},
                "p": {"kind": "plain", "models": {"q": {"version": "1"}}},
            },
            "members": {"x": {"key_hashes": [hashed]}, "y": {"key_hashes": [hashed]}},
            "upstreams": {"not-listed-yet": {"models": ["m", "nowhere"]}},
        }
        paths = sorted(problem.split(":")[0] for problem in find_problems(document))
        self.assertEqual(
            paths,
            [
                "members.y.key_hashes[0]",
                "services.a/b",
                "services.a/b.non_idempotent[0]",
                "services.c.models.m.adapters[0]",
                "services.p.models",
                "upstreams.not-listed-yet.models[1]",
            ],
        )

    def test_a_check_of_changed_entries_finds_the_same_as_a_full_check(self):
        former = config_document(members=3, models=2)
        patches = [
            {"members": {"member-00001": {"share": 0}}},
            {"members": {"new": {"shar": 1}}},
            {"services": {"service-0": {"kind": None}}},
            {"services": {"service-1": {"models": {"model-0": {"version": "1"}}}}},
            {"upstreams": {"u": {"models": ["model-9"]}}},
            {"nothing": {}},
            {"members": []},
            {"members": {"member-00002": None}},
        ]
        for patch in patches:
            document = merge_patch(former, patch)
            self.assertEqual(find_problems(document, former), find_problems(document))

    def test_a_full_fleet_fits_into_one_value(self):
        document = config_document(members=2700, models=35, keys=2)
        record = empty_record()
        record, _ = apply_request(record, PatchRequest(0, "all", document), 0).unwrap()
        remembered = records(MAX_PATCHES + 1, "patch-0123456789abcdef")[-1].patches
        self.assertEqual(len(remembered), MAX_PATCHES)
        record = msgspec.structs.replace(record, patches=remembered)
        self.assertLess(len(encode_record(record)), MAX_RECORD_BYTES / 2)

    def test_a_record_over_the_limit_is_refused(self):
        limit = MAX_RECORD_BYTES
        names = [hashlib.sha512(str(n).encode()).hexdigest() for n in range(limit // 64)]
        patch = {"members": {name: {} for name in names}}
        refusal = apply_request(empty_record(), PatchRequest(0, "big", patch), 0).err_value
        self.assertEqual(refusal.code, ResultCode.INVALID_PATCH)
        self.assertIn(str(MAX_RECORD_BYTES), refusal.problems[0])


class WriterTest(unittest.TestCase):
    def setUp(self):
        self.chain = records(3)
        self.replica = Replica(record=self.chain[3])

    def writer(self, request):
        return PatchWriter(request, self.replica, 0)

    def test_a_resend_gets_its_version_and_other_content_is_refused(self):
        current = encode_record(self.chain[3])
        again = self.writer(member_patch(1, "patch-1")).on_read(current, 7, 0)
        self.assertEqual(again, Accepted(2))
        other = self.writer(member_patch(1, "patch-1", share=9)).on_read(current, 7, 0)
        self.assertEqual(other, Refusal(ResultCode.PATCH_ID_REUSED, 3))

    def test_an_uncertain_write_dropped_from_the_record_stays_unknown(self):
        writer = self.writer(member_patch(3, "mine"))
        self.assertIsInstance(writer.on_read(encode_record(self.chain[3]), 7, 0), Put)
        writer.on_put(UNKNOWN, 0)
        later = records(3 + MAX_PATCHES + 1)[-1]
        self.assertNotIn(4, [item.version for item in later.patches])
        step = writer.on_read(encode_record(later), 300, 1)
        self.assertEqual(step.code, ResultCode.KV_UNKNOWN)

    def test_no_patch_is_built_on_a_restored_record(self):
        step = self.writer(member_patch(2, "new")).on_read(encode_record(self.chain[2]), 9, 0)
        self.assertEqual(step, Refusal(ResultCode.CONFIG_REVERTED, 3))
        self.assertEqual(self.replica.alarm.kind, AlarmKind.REVERTED)
        self.assertEqual(self.replica.version, 3)

    def test_a_restarted_vm_refuses_a_record_older_than_its_peers_have(self):
        self.replica = Replica()
        self.replica.record_peer_version(3, 10)
        old = encode_record(self.chain[2])
        step = self.writer(member_patch(2, "new")).on_read(old, 9, 11)
        self.assertEqual(step.code, ResultCode.CONFIG_REVERTED)
        self.assertEqual(self.replica.version, 0)

    def test_a_read_that_began_before_a_peer_version_proves_nothing(self):
        self.replica = Replica()
        self.replica.record_peer_version(3, 10)
        offer = self.replica.observe_kv(self.chain[2], 9, requested_at_ms=9)
        self.assertEqual(offer, OfferResult.APPLIED)

    def test_garbage_in_the_service_raises_an_alarm_and_is_no_base(self):
        step = self.writer(member_patch(3, "new")).on_read(b"garbage", 9, 0)
        self.assertEqual(step.code, ResultCode.CONFIG_REVERTED)
        self.assertEqual(self.replica.alarm.kind, AlarmKind.CORRUPT)

    def test_republishing_needs_the_highest_version_of_the_same_chain(self):
        old = encode_record(self.chain[1])
        self.assertEqual(plan_republish(self.replica, old, 5), Put(encode_record(self.chain[3]), 5))
        self.assertEqual(plan_republish(self.replica, encode_record(self.chain[3]), 5), Accepted(3))
        fork = encode_record(records(2, "fork")[2])
        refused = plan_republish(self.replica, fork, 5)
        self.assertEqual(refused.code, ResultCode.CONFIG_REVERTED)
        self.replica.record_peer_version(4, 0)
        self.assertEqual(plan_republish(self.replica, old, 5).code, ResultCode.CONFIG_UNCONFIRMED)


class OvertakenReadTest(unittest.TestCase):
    """A read of the service in progress while another VM writes and pushes the next version."""

    def setUp(self):
        vms = [vm_record("vm-a"), vm_record("vm-b")]
        self.chain = records(3)
        self.node, writer = (node_of(vm, vms) for vm in vms)
        self.node.replica.offer_record(self.chain[2], "vm-b", 7)
        writer.replica.offer_record(self.chain[3], "own write", 8)
        pushed = writer.on_pull(ConfigPull(2), now_ms=10)
        self.assertEqual(self.node.on_push(pushed, -inf, now_ms=10), OfferResult.APPLIED)
        self.assertEqual(self.node.version, 3)

    def test_an_overtaken_read_does_not_indicate_a_restored_service(self):
        older = encode_record(self.chain[2])
        self.node.on_record(older, 7, requested_at_ms=5)
        self.assertIsNone(self.node.replica.alarm)
        self.assertFalse(self.node.replica.ever_confirmed)
        self.node.on_record(older, 7, requested_at_ms=15)
        self.assertEqual(self.node.replica.alarm.kind, AlarmKind.REVERTED)

    def test_a_patch_is_built_on_a_new_read_after_an_overtaken_one(self):
        writer = PatchWriter(member_patch(3, "new"), self.node.replica, 0)
        self.assertEqual(writer.on_read(encode_record(self.chain[2]), 7, 5), Read())
        self.assertIsInstance(writer.on_read(encode_record(self.chain[3]), 8, 15), Put)


class ReplicaTest(unittest.TestCase):
    def test_a_fork_is_refused_at_any_version(self):
        replica = Replica(record=records(3)[3])
        for version in (3, 5):
            offer = replica.offer_record(records(5, "fork")[version], "vm-b")
            self.assertEqual(offer, OfferResult.REFUSED)
            self.assertEqual(replica.alarm.kind, AlarmKind.FORKED)
        self.assertEqual(replica.version, 3)

    def test_a_delta_of_another_chain_or_beyond_the_next_version_is_a_gap(self):
        chain = records(3)
        request = member_patch(3, "next")
        _, delta = apply_request(chain[3], request, 0).unwrap()
        self.assertEqual(Replica(record=chain[2]).offer_delta(delta), OfferResult.GAP)
        fork = Replica(record=records(3, "fork")[3])
        self.assertEqual(fork.offer_delta(delta), OfferResult.GAP)
        self.assertEqual(fork.version, 3)
        self.assertEqual(Replica(record=chain[3]).offer_delta(delta), OfferResult.APPLIED)

    def test_a_record_with_a_changed_document_is_rejected(self):
        record = records(2)[2]
        changed = msgspec.structs.replace(record, document=b'{"members":{}}')
        with self.assertRaises(BadRecordError):
            decode_record(encode_record(changed))

    def test_an_answer_confirms_only_up_to_the_confirmation_of_its_sender(self):
        vms = [vm_record("vm-a"), vm_record("vm-b")]
        puller, watcher = (node_of(vm, vms) for vm in vms)
        watcher.replica.confirm(1000)
        answer = watcher.on_pull(ConfigPull(0), now_ms=5000)
        puller.on_push(answer, requested_at_ms=4990, now_ms=5010)
        self.assertAlmostEqual(puller.replica.confirmed_at_ms, 990, delta=2)

    def test_a_silent_vm_with_a_newer_version_is_not_queried_forever(self):
        vms = [vm_record(f"vm-{n}") for n in range(4)]
        node = node_of(vms[0], vms)
        node.tick(0)
        node.on_peer_version(vms[1], 5, 10)
        pull = Pull(vms[1], ConfigPull(0))
        self.assertIn(pull, node.tick(400))
        node.on_pull_failed(vms[1])
        self.assertNotIn(pull, node.tick(1500))
        node.on_peer_version(vms[2], 5, 1600)
        self.assertIn(Pull(vms[2], ConfigPull(0)), node.tick(2000))

    def test_a_vm_without_confirmation_from_watchers_queries_the_service(self):
        vms = [vm_record(f"vm-{n}") for n in range(4)]
        watchers = watchers_of(vms, vms[0].failure_domain, 2)
        node = node_of(next(vm for vm in vms if vm.vm_id not in watchers), vms)
        node.replica.offer_record(records(1)[1], "vm-b")
        node.replica.confirm(0)
        queried = {now_ms: ReadRevision() in node.tick(now_ms) for now_ms in (100, 7400, 12100)}
        self.assertEqual(queried, {100: False, 7400: False, 12100: True})


class ConfirmationStateTest(unittest.TestCase):
    def test_the_service_is_away_when_no_reachable_vm_has_an_answer(self):
        vms = [vm_record(f"vm-{n}") for n in range(4)]
        node = node_of(vms[0], vms)
        self.assertFalse(node.kv_away(60_000), "nothing was ever confirmed")
        node.replica.offer_record(records(1)[1], "vm-b")
        node.replica.confirm(0)
        self.assertFalse(node.kv_away(7500))
        self.assertTrue(node.kv_away(7501))
        vms += [msgspec.structs.replace(vm, state=VmState.GONE) for vm in vms]
        self.assertFalse(node.kv_away(7501), "half of the VMs may know better")

    def judge(self, age_ms, version, reached, known):
        return confirmation_state(age_ms, 15000, version, reached, known)

    def test_state_and_service_of_a_vm_without_confirmation(self):
        cases = [
            (self.judge(15000, 7, 1, 9), ConfirmationState.CONFIRMED, {*CutOff}),
            (
                self.judge(15001, 7, 5, 9),
                ConfirmationState.UNCONFIRMED,
                {CutOff.SERVE, CutOff.MAJORITY},
            ),
            (self.judge(15001, 7, 4, 8), ConfirmationState.CUT_OFF, {CutOff.SERVE}),
            (self.judge(15001, 0, 9, 9), ConfirmationState.EMPTY, set()),
        ]
        for found, expected, serving in cases:
            self.assertEqual(found, expected)
            self.assertEqual({item for item in CutOff if is_serving(found, item)}, serving)

    def test_the_number_of_watchers_per_domain_is_independent_of_fleet_size(self):
        for size in (9, 370):
            vms = [vm_record(f"vm-{n}", f"hall-{n % 3}") for n in range(size)]
            self.assertEqual(len(watchers_of(vms, "hall-1", 2)), 2)
