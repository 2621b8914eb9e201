"""A VM must not consider the key-value service unavailable to all while it answers some VM."""

import unittest

from fescuedock.core.config.node import ConfigNode, Pull, ReadRevision
from fescuedock.schema.settings import BatchSettings
from tests.builders.config import node_of, records, vm_record

VMS = 6
STEP_MS = 50.0
RUN_MS = 120_000.0
# Maximum age of a record on which a runner begins items, and duration of the check after that.
RECORD_AGE_MS = BatchSettings(port=1).record_age_ms
CHECK_MS = 500.0


class PartialOutageTest(unittest.TestCase):
    """The service refuses five of six VMs and serves the sixth, which records a cancel.

    All six VMs can reach each other.  If one of the five concluded that the service answers no VM,
    its runner would begin items on records of any age, also after the cancel.
    """

    def test_no_vm_reports_an_outage_while_a_reachable_one_is_answered(self) -> None:
        vms = [vm_record(f"vm-{number}") for number in range(VMS)]
        nodes = {vm.vm_id: node_of(vm, vms, seed) for seed, vm in enumerate(vms)}
        record = records(1)[-1]
        for node in nodes.values():
            node.replica.offer_record(record, "start", 3)
            node.replica.confirm(0.0)
        # Not a watcher, as the other VMs of the domain query the watchers.
        served = self.not_watching(nodes)
        answered_ms = 0.0
        wrong_ms: list[float] = []
        now_ms = 0.0
        while now_ms < RUN_MS:
            now_ms += STEP_MS
            for node in nodes.values():
                answered = self.act(nodes, node, served, now_ms)
                answered_ms = now_ms if answered else answered_ms
            if answered_ms and 0 <= now_ms - answered_ms - RECORD_AGE_MS <= CHECK_MS:
                wrong_ms += [now_ms for node in nodes.values() if node.kv_away(now_ms)]
        self.assertGreater(answered_ms, 0.0)
        self.assertEqual(wrong_ms, [])

    def not_watching(self, nodes: dict[str, ConfigNode]) -> ConfigNode:
        for node in nodes.values():
            if not any(isinstance(item, ReadRevision) for item in node._confirm(0.0)):
                node._confirm_due_ms = 0.0
                return node
        raise AssertionError("all watch")

    def act(
        self, nodes: dict[str, ConfigNode], node: ConfigNode, served: ConfigNode, now_ms: float
    ) -> bool:
        """Execute the actions due at a node; return whether the service answered it."""
        answered = False
        actions = node.tick(now_ms)
        while actions:
            match actions.pop(0):
                case ReadRevision():
                    answered = answered or node is served
                    actions += node.on_revision(3 if node is served else None, now_ms)
                case Pull(vm, message):
                    node.on_push(nodes[vm.vm_id].on_pull(message, now_ms), now_ms, now_ms)
        return answered


if __name__ == "__main__":
    unittest.main()
