"""Membership under any sequence of joins, losses, leaves, pauses and partitions."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.builders.membership import Fleet, Node, vm_name

_FIRST_VMS = 6
_MAX_VMS = 9
_CONVERGED_MS = 90000


class FleetMachine(RuleBasedStateMachine):
    """Random faults; once they end, every running VM must see exactly the running VMs."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(_FIRST_VMS)
        self.fleet.run(8000)
        self.blocked: set[tuple[str, str]] = set()
        self.islands: dict[str, int] = {}
        self.fleet.reaches = self._reaches

    def _reaches(self, sender: Node, receiver: Node) -> bool:
        pair = (sender.vm_id, receiver.vm_id)
        same = self.islands.get(pair[0], 0) == self.islands.get(pair[1], 0)
        return same and pair not in self.blocked

    def _pick(self, index: int) -> Node:
        running = self.fleet.running()
        return running[index % len(running)]

    @rule(listed=st.booleans())
    @precondition(lambda self: len(self.fleet.nodes) < _MAX_VMS)
    def join(self, listed: bool) -> None:
        self.fleet.start(len(self.fleet.nodes), listed=listed)

    @rule(index=st.integers(0, 20))
    @precondition(lambda self: any(node.down for node in self.fleet.nodes.values()))
    def restart(self, index: int) -> None:
        down = [node for node in self.fleet.nodes.values() if node.down]
        self.fleet.start(down[index % len(down)].number)

    @rule(index=st.integers(0, 20))
    @precondition(lambda self: len(self.fleet.running()) > 3)
    def kill(self, index: int) -> None:
        self.fleet.kill(self._pick(index).vm_id)

    @rule(index=st.integers(0, 20), wait_ms=st.sampled_from([0, 3000]))
    @precondition(lambda self: len(self.fleet.running()) > 3)
    def stop(self, index: int, wait_ms: float) -> None:
        vm_id = self._pick(index).vm_id
        self.fleet.leave(vm_id)
        self.fleet.run(wait_ms)
        self.fleet.finish(vm_id)

    @rule(index=st.integers(0, 20), duration_ms=st.sampled_from([300, 2500, 9000]))
    def pause(self, index: int, duration_ms: float) -> None:
        vm_id = self._pick(index).vm_id
        self.fleet.pause(vm_id)
        self.fleet.run(duration_ms)
        self.fleet.wake(vm_id)

    @rule(split=st.lists(st.integers(0, 1), min_size=_MAX_VMS, max_size=_MAX_VMS))
    def partition(self, split: list[int]) -> None:
        self.islands = {vm_name(number): side for number, side in enumerate(split)}

    @rule(pair=st.tuples(st.integers(0, 20), st.integers(0, 20)))
    def block_one_way(self, pair: tuple[int, int]) -> None:
        sender, receiver = (self._pick(index).vm_id for index in pair)
        self.blocked.add((sender, receiver))

    @rule()
    def heal(self) -> None:
        self.islands = {}
        self.blocked.clear()

    @rule(loss=st.sampled_from([0.0, 0.05, 0.3]), repeat=st.sampled_from([0.0, 0.5]))
    def degrade(self, loss: float, repeat: float) -> None:
        self.fleet.loss = loss
        self.fleet.repeat = repeat

    @rule(duration_ms=st.sampled_from([100, 1000, 12000]))
    def pass_time(self, duration_ms: float) -> None:
        self.fleet.run(duration_ms)

    @rule(index=st.integers(0, 199), receiver=st.integers(0, 20))
    def replay(self, index: int, receiver: int) -> None:
        recorded = self.fleet.recorded
        data, source, _ = recorded[index % len(recorded)]
        self.fleet.inject(self._pick(receiver), data, source)

    @invariant()
    def knows_itself(self) -> None:
        for node in self.fleet.running():
            assert node.vm_id in node.view()

    def teardown(self) -> None:
        self.heal()
        self.degrade(0.0, 0.0)
        took_ms = self.fleet.run_until(self.fleet.agrees, _CONVERGED_MS)
        views = {node.vm_id: sorted(node.live()) for node in self.fleet.running()}
        assert took_ms < _CONVERGED_MS, views


FleetMachine.TestCase.settings = settings(max_examples=30, stateful_step_count=12)
TestFleet = FleetMachine.TestCase


if __name__ == "__main__":
    unittest.main()
