"""Copies on several stores: placement, losses, corruption, full disks, logs."""

import tempfile
import unittest
from hashlib import sha256
from pathlib import Path

from fescuedock.schema.result_codes import ResultCode
from tests.builders.store import StoreFleet, open_stores, run

SITES = {"vm-1": "chipre", "vm-2": "chipre", "vm-3": "palermo", "vm-4": "villamaria"}
BODY = b'{"custom_id": "a"}\n' * 100


class StoreClientTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)

    def test_copies_are_in_distinct_failure_domains(self) -> None:
        async def test() -> None:
            async with open_stores(self.root, SITES) as fleet:
                ref = (await fleet.client.put_segment(BODY, 100)).unwrap()
                self.assertEqual(
                    {fleet.view.vms[vm_id].failure_domain for vm_id in ref.copies},
                    {"chipre", "palermo", "villamaria"},
                )
                self.assertEqual(ref.segment_hash, sha256(BODY).hexdigest())
                self.assertEqual((await fleet.client.get_segment(ref)).unwrap(), BODY)

        run(test)


if __name__ == "__main__":
    unittest.main()
