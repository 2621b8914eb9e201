"""The configuration under lost answers, outages, late writes and restarts, with an oracle."""

import itertools

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    precondition,
    rule,
)

from fescuedock.core.config.node import Pull, PushTo, ReadRecord, ReadRevision
from fescuedock.core.config.record import Refusal, decode_record, empty_record
from fescuedock.core.config.writer import Accepted, PatchWriter, Put, Read
from fescuedock.schema.config import ConfigPull
from fescuedock.schema.result_codes import ResultCode
from tests.builders.config import CallOutcome, KvCell, member_patch, node_of, vm_record

VMS = [vm_record(f"vm-{n}", "hall") for n in range(4)]
INDEXES = st.integers(0, len(VMS) - 1)
CALL_OUTCOMES = st.sampled_from([*[CallOutcome.ANSWERED] * 6, *CallOutcome])
NOT_RUN = (
    ResultCode.STALE_VERSION,
    ResultCode.INVALID_PATCH,
    ResultCode.KV_UNAVAILABLE,
    ResultCode.CONFIG_REVERTED,
    ResultCode.PATCH_ID_REUSED,
)


class Change:
    """One patch being written by one VM."""

    def __init__(self, vm_index, writer):
        self.vm_index = vm_index
        self.writer = writer
        self.step = Read()


class ConfigMachine(RuleBasedStateMachine):
    """The oracle consists of the writes that took effect and the answers given to operators."""

    changes = Bundle("changes")
    messages = Bundle("messages")

    def __init__(self):
        super().__init__()
        self.cell = KvCell()
        self.nodes = [node_of(vm, VMS, n) for n, vm in enumerate(VMS)]
        self.now_ms = 0.0
        self.names = itertools.count()
        self.reported_accepted = {}
        self.uses_not_run = set()
        self.bases = {}
        self.highest = [0] * len(VMS)
        self.records = [empty_record()]

    # --- operators -----------------------------------------------------------------------------

    @rule(target=changes, vm_index=INDEXES, behind=st.integers(0, 1), share=st.integers(-1, 2))
    def submit(self, vm_index, behind, share):
        node = self.nodes[vm_index]
        request = member_patch(max(0, node.version - behind), f"patch-{next(self.names)}", share)
        self.bases[request.patch_id] = request.base_version
        return Change(vm_index, PatchWriter(request, node.replica, next(self.names)))

    @rule(target=changes, vm_index=INDEXES, call_outcome=CALL_OUTCOMES, gives_up=st.booleans())
    def submit_and_write(self, vm_index, call_outcome, gives_up):
        """Submit a patch and execute its read and its write, whose answer may be lost."""
        change = self.submit(vm_index, 0, 1)
        for step_outcome in (CallOutcome.ANSWERED, call_outcome):
            if not isinstance(change.step, Accepted | Refusal):
                self.execute_step(change, step_outcome)
        if gives_up:
            self.give_up(change)
        return change

    @rule(target=changes, change=changes, vm_index=INDEXES)
    def resend(self, change, vm_index):
        replica = self.nodes[vm_index].replica
        return Change(vm_index, PatchWriter(change.writer.request, replica, next(self.names)))

    @rule(target=changes, change=consumes(changes), call_outcome=CALL_OUTCOMES)
    def execute_step(self, change, call_outcome):
        """Execute the next step of a change."""
        step = change.step or Read()
        if isinstance(step, Accepted | Refusal):
            return multiple()
        if change.writer.replica is not self.nodes[change.vm_index].replica:
            # The VM was restarted, so the operator gets no answer.
            return multiple()
        self.now_ms += 1
        if isinstance(step, Put):
            self.cell.now_ms = self.now_ms
            outcome = self.cell.put(step.value, step.expected_revision, call_outcome)
            change.step = change.writer.on_put(outcome, self.now_ms)
        elif call_outcome is CallOutcome.ANSWERED:
            change.step = change.writer.on_read(self.cell.value, self.cell.revision, self.now_ms)
        else:
            change.step = None
        return self._after_step(change)

    @rule(change=consumes(changes))
    def give_up(self, change):
        if not isinstance(change.step, Accepted | Refusal):
            self._record_answer(change, change.writer.give_up())

    def _after_step(self, change):
        if isinstance(change.step, Accepted | Refusal):
            self._record_answer(change, change.step)
            return multiple()
        return change

    def _record_answer(self, change, answer):
        request = change.writer.request
        if isinstance(answer, Accepted):
            assert (
                self.reported_accepted.setdefault(request.patch_id, answer.version)
                == answer.version
            )
        elif answer.code in NOT_RUN:
            self.uses_not_run.add(change.writer.accepted_at_s)

    # --- platform ------------------------------------------------------------------------------

    @precondition(lambda self: self.cell.late)
    @rule()
    def land_late_writes(self):
        self.now_ms += 1
        self.cell.now_ms = self.now_ms
        late, self.cell.late = self.cell.late, []
        for write in late:
            write()

    @rule(vm_index=INDEXES)
    def restart(self, vm_index):
        self.nodes[vm_index] = node_of(VMS[vm_index], VMS, vm_index)
        self.highest[vm_index] = 0

    # --- spread --------------------------------------------------------------------------------

    @rule(target=messages, vm_index=INDEXES, later_ms=st.integers(1, 5000), kv_up=st.booleans())
    def tick(self, vm_index, later_ms, kv_up):
        self.now_ms += later_ms
        node = self.nodes[vm_index]
        return multiple(*self._perform(node, node.tick(self.now_ms), kv_up))

    def _perform(self, node, actions, kv_up):
        for action in actions:
            match action:
                case ReadRevision():
                    revision = self.cell.revision if kv_up else None
                    yield from self._perform(node, node.on_revision(revision, self.now_ms), kv_up)
                case ReadRecord() if kv_up:
                    node.on_record(self.cell.value, self.cell.revision, self.now_ms)
                case Pull(vm, message):
                    answer = self.nodes[VMS.index(vm)].on_pull(message, self.now_ms)
                    yield (VMS.index(vm_of(node)), answer, self.now_ms)
                case PushTo(vms, message):
                    yield from ((VMS.index(vm), message, float("-inf")) for vm in vms)

    @rule(message=messages)
    def deliver(self, message):
        """Deliver a message, possibly again; messages that are never chosen are lost."""
        vm_index, push, requested_at_ms = message
        self.nodes[vm_index].on_push(push, requested_at_ms, self.now_ms)

    @rule(target=messages, sender=INDEXES, receiver=INDEXES, full=st.booleans())
    def pull(self, sender, receiver, full):
        """Pull the current state, to be delivered at any later time."""
        self.now_ms += 1
        message = ConfigPull(0 if full else self.nodes[receiver].version, whole_record=full)
        return (receiver, self.nodes[sender].on_pull(message, self.now_ms), self.now_ms)

    @rule(sender=INDEXES, receiver=INDEXES)
    def gossip(self, sender, receiver):
        self.nodes[receiver].on_peer_version(VMS[sender], self.nodes[sender].version, self.now_ms)

    # --- invariants ----------------------------------------------------------------------------

    @invariant()
    def promises_hold(self):
        for value in self.cell.writes[len(self.records) - 1 :]:
            self._check_write(decode_record(value))
        self._check_reported()
        for index, node in enumerate(self.nodes):
            self._check_node(index, node)

    def _check_write(self, record):
        """Check that versions are linear: each write builds on the previous one."""
        former = self.records[-1]
        assert record.version == former.version + 1
        assert self.bases[record.patches[-1].patch_id] == former.version
        assert [item.patch_id for item in record.patches[:-1]] == [
            item.patch_id for item in former.patches
        ]
        assert record.patches[-1].accepted_at_s not in self.uses_not_run
        self.records.append(record)

    def _check_reported(self):
        """Check that no accepted patch is lost by later writes."""
        made = {item.patch_id: item.version for item in self.records[-1].patches}
        for patch_id, version in self.reported_accepted.items():
            assert made[patch_id] == version
        members = msgspec.json.decode(self.records[-1].document).get("members", {})
        assert set(members) == set(made)
        assert not self.uses_not_run & {item.accepted_at_s for item in self.records[-1].patches}

    def _check_node(self, index, node):
        assert node.version >= self.highest[index]
        self.highest[index] = node.version
        assert node.replica.record == self.records[node.version]
        assert node.replica.alarm is None
        # A confirmation means that no later version existed at that time.
        confirmed_at_ms = node.replica.confirmed_at_ms
        assert node.version >= self.version_at(confirmed_at_ms)

    def version_at(self, at_ms):
        return sum(written_ms < at_ms for written_ms in self.cell.written_ms)


def vm_of(node):
    return next(vm for vm in VMS if vm.vm_id == node.vm_id)


ConfigMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=60, derandomize=True, deadline=None, database=None
)
ConfigTest = ConfigMachine.TestCase
