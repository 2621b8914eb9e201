"""A program's fleet view: a full snapshot, then changes; it always equals the agent's view."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fescuedock.agent.view_history import ViewHistory
from fescuedock.schema.view import UpstreamKind, UpstreamRecord, VmRecord, VmState

NAMES = ("a", "b", "c", "d")
FIRST_VERSION = 1000


def _vm(name: str, incarnation: int) -> VmRecord:
    return VmRecord(name, "r", "d", "10.0.0.1", incarnation, VmState.ALIVE)


def _upstream(name: str, port: int) -> UpstreamRecord:
    return UpstreamRecord(name, "r", "d", "10.0.0.2", port, UpstreamKind.ENGINE, "llm")


_SNAPSHOT = st.dictionaries(st.sampled_from(NAMES), st.integers(1, 3))


class TestHistory(unittest.TestCase):
    @settings(max_examples=200)
    @given(st.lists(st.tuples(_SNAPSHOT, _SNAPSHOT, st.booleans()), max_size=90))
    def test_changes_lead_to_the_same_view_from_any_version(self, steps) -> None:
        history = ViewHistory()
        vms, upstreams, version = {}, {}, FIRST_VERSION
        seen_version, seen_vms, seen_upstreams = 0, {}, {}
        for numbers, ports, polls in steps:
            new_vms = {name: _vm(name, number) for name, number in numbers.items()}
            new_upstreams = {name: _upstream(name, port) for name, port in ports.items()}
            version += 1
            history.record(version, (vms, new_vms), (upstreams, new_upstreams))
            vms, upstreams = new_vms, new_upstreams
            if not polls:
                continue
            changes = history.since(seen_version)
            if changes is None:
                seen_vms, seen_upstreams = dict(vms), dict(upstreams)
            else:
                _apply(seen_vms, changes.vm_ids, vms)
                _apply(seen_upstreams, changes.upstream_ids, upstreams)
            seen_version = version
            self.assertEqual((vms, upstreams), (seen_vms, seen_upstreams))

    def test_a_version_of_an_earlier_process_gets_everything(self) -> None:
        history = ViewHistory()
        history.record(FIRST_VERSION + 1, ({}, {"a": _vm("a", 1)}), ({}, {}))
        history.record(FIRST_VERSION + 2, ({"a": _vm("a", 1)}, {}), ({}, {}))
        for seen_version in (0, 1, FIRST_VERSION - 5, FIRST_VERSION + 9):
            self.assertIsNone(history.since(seen_version))
        self.assertEqual({"a"}, history.since(FIRST_VERSION + 1).vm_ids)
        self.assertEqual(set(), history.since(FIRST_VERSION + 2).vm_ids)


def _apply(seen: dict, changed: set[str], current: dict) -> None:
    for name in changed:
        if name in current:
            seen[name] = current[name]
        else:
            # It may have been added and removed between two polls.
            seen.pop(name, None)


if __name__ == "__main__":
    unittest.main()
