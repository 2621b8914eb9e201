"""Copies on several real stores: lost stores, damage, full disks, logs and repair."""

import unittest
from hashlib import sha256

from result import Ok

from fescuedock.schema.batch import SegmentRef
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.store import DropSegments, GetSegment, PutSegment, ReadLog
from tests.builders.store import NOW_S, StoreFleet, StoreNode, at_stores, until

SITES = {"vm-1": "chipre", "vm-2": "chipre", "vm-3": "palermo", "vm-4": "villamaria"}
BODY = b'{"custom_id": "a"}\n' * 100


def domains(fleet: StoreFleet, ref: SegmentRef) -> set[str]:
    return {SITES[vm_id] for vm_id in fleet.holders(ref.segment_hash)}


def records_of(node: StoreNode) -> list[bytes]:
    return node.logs.read(ReadLog(job_id="job-1")).records


def damage(node: StoreNode, ref: SegmentRef) -> None:
    path = node.folder / "segments" / ref.segment_hash
    content = path.read_bytes()
    path.write_bytes(content[:-1] + bytes([content[-1] ^ 1]))


class CopiesTest(unittest.TestCase):
    @at_stores(SITES)
    async def test_copies_are_in_distinct_failure_domains(self, fleet: StoreFleet) -> None:
        for number in range(20):
            body = BODY + bytes([number])
            ref = (await fleet.client.put_segment(body, 100)).unwrap()
            self.assertEqual(sorted(ref.copies), fleet.holders(ref.segment_hash))
            self.assertEqual(domains(fleet, ref), set(SITES.values()))
            self.assertEqual((ref.items, ref.size_bytes), (100, len(body)))

    @at_stores(SITES)
    async def test_damaged_copies_are_skipped(self, fleet: StoreFleet) -> None:
        ref = (await fleet.client.put_segment(BODY)).unwrap()
        for vm_id in ref.copies[:2]:
            damage(fleet.nodes[vm_id], ref)
        self.assertEqual(await fleet.client.get_segment(ref), Ok(BODY))
        damage(fleet.nodes[ref.copies[2]], ref)
        lost = await fleet.client.get_segment(ref)
        self.assertEqual(lost.err_value.code, ResultCode.STORES_UNAVAILABLE)

    @at_stores(SITES)
    async def test_reply_with_other_bytes_is_rejected(self, fleet: StoreFleet) -> None:
        ref = (await fleet.client.put_segment(BODY)).unwrap()
        for vm_id in ref.copies[:2]:
            fleet.nodes[vm_id].corrupts_replies = True
        self.assertEqual(await fleet.client.get_segment(ref), Ok(BODY))
        fleet.nodes[ref.copies[2]].corrupts_replies = True
        self.assertTrue((await fleet.client.get_segment(ref)).is_err())

    @at_stores(SITES)
    async def test_segment_survives_the_loss_of_two_stores(self, fleet: StoreFleet) -> None:
        ref = (await fleet.client.put_segment(BODY)).unwrap()
        for vm_id in ref.copies[:2]:
            fleet.lose(vm_id)
        self.assertEqual(await fleet.client.get_segment(ref), Ok(BODY))
        fleet.lose(ref.copies[2])
        lost = await fleet.client.get_segment(ref)
        self.assertEqual(lost.err_value.code, ResultCode.STORES_UNAVAILABLE)

    @at_stores(SITES)
    async def test_leaving_store_gets_no_writes_and_is_still_read(self, fleet: StoreFleet) -> None:
        ref = (await fleet.client.put_segment(BODY)).unwrap()
        await fleet.client.append_log("job-1", [b"record"])
        for vm_id in fleet.nodes:
            fleet.leave(vm_id)
        self.assertTrue((await fleet.client.put_segment(BODY + b"more")).is_err())
        self.assertEqual(await fleet.client.get_segment(ref), Ok(BODY))
        found: list[bytes] = []
        await fleet.client.read_log("job-1", found.extend)
        self.assertEqual(found, [b"record", b"record"])

    @at_stores(SITES)
    async def test_store_that_died_unnoticed_is_replaced_and_then_avoided(
        self, fleet: StoreFleet
    ) -> None:
        fleet.lose("vm-3", in_view=False)
        ref = (await fleet.client.put_segment(BODY)).unwrap()
        self.assertEqual(domains(fleet, ref), {"chipre", "villamaria"})
        # Now the silent store is tried last, so that no call waits for it.
        ref = (await fleet.client.put_segment(BODY + b"more")).unwrap()
        self.assertEqual(len(ref.copies), 3)

    @at_stores({"vm-1": "chipre", "vm-2": "chipre"})
    async def test_too_few_failure_domains_are_refused(self, fleet: StoreFleet) -> None:
        refused = await fleet.client.put_segment(BODY)
        self.assertEqual(refused.err_value.code, ResultCode.STORES_UNAVAILABLE)

    @at_stores(SITES)
    async def test_full_store_is_skipped_and_full_stores_are_reported(
        self, fleet: StoreFleet
    ) -> None:
        fleet.nodes["vm-3"].usage.max_bytes = 0
        ref = (await fleet.client.put_segment(BODY)).unwrap()
        self.assertEqual(fleet.holders(ref.segment_hash), ["vm-1", "vm-2", "vm-4"])
        for node in fleet.nodes.values():
            node.usage.max_bytes = 0
        refused = await fleet.client.put_segment(BODY + b"more")
        self.assertEqual(refused.err_value.code, ResultCode.DISK_FULL)

    @at_stores(SITES)
    async def test_renewal_returns_the_holders_of_each_segment(self, fleet: StoreFleet) -> None:
        ref = (await fleet.client.put_segment(BODY)).unwrap()
        other = SegmentRef(segment_hash="0" * 64, items=0, size_bytes=0, copies=[])
        held = await fleet.client.have_segments([ref, other], renew=True)
        names = sorted(vm.vm_id for vm in held[ref.segment_hash])
        self.assertEqual(names, sorted(ref.copies))
        self.assertEqual(held[other.segment_hash], [])
        drop = DropSegments(segment_hashes=[ref.segment_hash])
        await fleet.client.call(fleet.view.vms[names[0]], drop)
        self.assertEqual(fleet.holders(ref.segment_hash), names[1:])


class LogTest(unittest.TestCase):
    @at_stores(SITES)
    async def test_log_survives_the_loss_of_a_store(self, fleet: StoreFleet) -> None:
        records = [b"%d" % number for number in range(50)]
        for start in range(0, 50, 10):
            chunk = records[start : start + 10]
            self.assertEqual(await fleet.client.append_log("job-1", chunk), Ok(2))
        holders = [name for name, node in fleet.nodes.items() if records_of(node)]
        self.assertEqual(len({SITES[vm_id] for vm_id in holders}), 2)
        fleet.lose(holders[0])
        found: list[bytes] = []
        self.assertEqual(await fleet.client.read_log("job-1", found.extend), Ok(3))
        self.assertEqual(found, records)
        await fleet.client.drop_log("job-1")
        found.clear()
        await fleet.client.read_log("job-1", found.extend)
        self.assertEqual(found, [])


class RepairTest(unittest.TestCase):
    @at_stores(SITES | {"vm-5": "palermo", "vm-6": "villamaria"})
    async def test_copies_are_restored_after_the_loss_of_one_and_of_two_stores(
        self, fleet: StoreFleet
    ) -> None:
        refs = [
            (await fleet.client.put_segment(BODY + bytes([number]))).unwrap()
            for number in range(12)
        ]
        for lost in (["vm-1"], ["vm-3", "vm-6"]):
            for vm_id in lost:
                fleet.lose(vm_id)
            for vm_id in fleet.nodes:
                await fleet.start_repair(vm_id).sweep()
            for ref in refs:
                self.assertEqual(len(fleet.holders(ref.segment_hash)), 3)
        for ref in refs:
            body = await fleet.client.get_segment(ref)
            self.assertIsInstance(body, Ok)

    @at_stores(SITES)
    async def test_sweep_without_losses_copies_nothing(self, fleet: StoreFleet) -> None:
        for number in range(10):
            await fleet.client.put_segment(BODY + bytes([number]))
        for vm_id in fleet.nodes:
            repair = fleet.start_repair(vm_id)
            await repair.sweep(check_content=True)
            self.assertEqual((repair.counts.copied, repair.counts.fetched), (0, 0))

    @at_stores(SITES)
    async def test_damaged_segment_is_fetched_from_another_store(self, fleet: StoreFleet) -> None:
        ref = (await fleet.client.put_segment(BODY)).unwrap()
        node = fleet.nodes[ref.copies[0]]
        repair = fleet.start_repair(ref.copies[0])
        damage(node, ref)
        vm = fleet.view.vms[ref.copies[0]]
        message = GetSegment(segment_hash=ref.segment_hash)
        reply = await fleet.client.call(vm, message)
        self.assertEqual(reply.code, ResultCode.CORRUPT_SEGMENT)
        self.assertEqual(await fleet.client.get_segment(ref), Ok(BODY))
        await until(lambda: repair.counts.fetched)
        self.assertEqual(node.segments.get(ref.segment_hash), Ok(BODY))

    @at_stores(SITES)
    async def test_content_check_finds_damage_in_segments_that_are_not_read(
        self, fleet: StoreFleet
    ) -> None:
        ref = (await fleet.client.put_segment(BODY)).unwrap()
        repair = fleet.start_repair(ref.copies[1])
        damage(fleet.nodes[ref.copies[1]], ref)
        await repair.sweep(check_content=True)
        await until(lambda: repair.counts.fetched)
        self.assertEqual(len(fleet.holders(ref.segment_hash)), 3)

    @at_stores(SITES)
    async def test_copy_retains_the_age_of_the_segment(self, fleet: StoreFleet) -> None:
        segment_hash = sha256(BODY).hexdigest()
        old = PutSegment(segment_hash=segment_hash, body=BODY, kept_since_s=1000)
        fleet.nodes["vm-1"].segments.put(old, lambda: NOW_S)
        for vm_id in fleet.nodes:
            await fleet.start_repair(vm_id).sweep()
        holders = fleet.holders(segment_hash)
        self.assertEqual(len(holders), 3)
        for vm_id in holders:
            file = fleet.nodes[vm_id].segments.status(segment_hash)
            self.assertEqual(file.modified_s, 1000)

    @at_stores({"vm-1": "chipre", "vm-2": "palermo", "vm-3": "villamaria"})
    async def test_store_that_returns_with_an_empty_disk_is_refilled(
        self, fleet: StoreFleet
    ) -> None:
        ref = (await fleet.client.put_segment(BODY)).unwrap()
        repairs = [fleet.start_repair(vm_id, repair_after_ms=0) for vm_id in fleet.nodes]
        await until(lambda: all(repair.counts.sweeps for repair in repairs))
        # The membership does not show this change.
        fleet.nodes["vm-2"].segments.drop(ref.segment_hash)
        fleet.start_repair("vm-2", repair_after_ms=0)
        await until(lambda: len(fleet.holders(ref.segment_hash)) == 3)

    @at_stores(SITES)
    async def test_lasting_loss_of_a_store_starts_a_sweep(self, fleet: StoreFleet) -> None:
        ref = (await fleet.client.put_segment(BODY)).unwrap()
        fleet.lose(ref.copies[0])
        for vm_id in fleet.nodes:
            fleet.start_repair(vm_id, repair_after_ms=50)
        await until(lambda: len(fleet.holders(ref.segment_hash)) == 3)


if __name__ == "__main__":
    unittest.main()
