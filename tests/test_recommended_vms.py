"""Tests which VMs clients should use."""

import unittest

from fescuedock.core.entry_choice import recommended_vms
from fescuedock.schema.view import VmRecord, VmState


def vms(alive: int, suspected: int) -> list[VmRecord]:
    states = [VmState.ALIVE] * alive + [VmState.SUSPECT] * suspected
    return [
        VmRecord(f"vm-{number}", "r", "d", f"10.0.0.{number}", 1, state)
        for number, state in enumerate(states)
    ]


class RecommendedVmsTest(unittest.TestCase):
    def recommended(self, alive: int, suspected: int) -> list[str]:
        return [vm.vm_id for vm in recommended_vms(vms(alive, suspected))]

    def test_a_suspected_vm_is_not_recommended(self) -> None:
        self.assertEqual(self.recommended(3, 1), ["vm-0", "vm-1", "vm-2"])
        self.assertEqual(self.recommended(2, 2), ["vm-0", "vm-1"])

    def test_all_vms_are_recommended_when_most_are_suspected(self) -> None:
        self.assertEqual(len(self.recommended(1, 2)), 3)
        self.assertEqual(len(self.recommended(0, 1)), 1)

    def test_no_vm_is_recommended_without_live_vms(self) -> None:
        self.assertEqual(self.recommended(0, 0), [])


if __name__ == "__main__":
    unittest.main()
