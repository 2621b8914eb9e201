"""Drains a spool machine that the operator wants to remove, and reports when it is empty.

Spools hold jobs only while the metadata store is unreachable, and store them when it returns.  One
node, chosen by hashing, makes the spool accept no more jobs, waits until it holds none and writes
the status.
"""

import trio
from result import Ok

from fescuedock.agent.link import FleetView
from fescuedock.core.rendezvous import choose_name
from fescuedock.kv import KvEntry, KvStore
from fescuedock.log import log_event
from fescuedock.node.replicas import Replicas
from fescuedock.node.spools import Spools
from fescuedock.platform import records
from fescuedock.schema.view import Program

__all__ = ["Retirement"]

_RETRY_INTERVAL_S = 0.5


class Retirement:
    """Answers the operator's requests to drain a spool machine."""

    def __init__(self, kv: KvStore, replicas: Replicas, view: FleetView, spools: Spools) -> None:
        self._kv = kv
        self._spools = spools
        self._replicas = replicas
        self._view = view
        # By the key of a request, the revision that was answered for good.
        self._answered: dict[str, int] = {}

    async def run(self) -> None:
        """Answer requests until cancelled."""
        table = self._replicas.tables[records.OPERATOR_PREFIX]
        while True:
            seen = self._replicas.version
            for key, entry in list(table.entries.items()):
                node = records.retired_node(key)
                if node is not None and self._answered.get(key) != entry.mod_revision:
                    await self._answer(key, node, entry.mod_revision)
            with trio.move_on_after(_RETRY_INTERVAL_S):
                await self._replicas.wait_changed(seen)

    async def _answer(self, key: str, node: str, revision: int) -> None:
        chosen = choose_name(node, [vm.vm_id for vm in self._view.live_vms(Program.BATCH)])
        if chosen != self._view.vm_id:
            return
        pending = await self._spools.drain(node)
        is_empty = pending == 0
        value = (
            records.encode_retirement_completed()
            if is_empty
            else records.encode_retirement_running()
        )
        log_event("machine_emptying", node=node, pending=pending)
        if is_empty and not await self._unregister(node):
            return
        if await self._write(records.retirement_status_key(node), value, revision) and is_empty:
            self._answered[key] = revision

    async def _unregister(self, node: str) -> bool:
        """Remove a spool's record, so that no node calls a machine that is gone."""
        entry = self._spools.entry_of(node)
        if entry is None:
            return True
        removed = await self._kv.delete_if(entry.key, entry.mod_revision)
        return isinstance(removed, Ok)

    async def _write(self, key: str, value: bytes, revision: int) -> bool:
        """Write a status unless it is stored already; False when it may not be stored.

        ``revision`` is that of the request.  Once another node has reported the machine empty after
        the request, the machine may be gone; that it does not answer must not revert the status.
        """
        found = await self._kv.get(key)
        if not isinstance(found, Ok):
            return False
        if found.ok_value is not None and found.ok_value.value == value:
            return True
        if found.ok_value is not None and _reports_empty(found.ok_value, revision):
            return False
        before = found.ok_value.mod_revision if found.ok_value else 0
        written = await self._kv.put_if(key, value, before)
        return isinstance(written, Ok)


def _reports_empty(status: KvEntry, revision: int) -> bool:
    """Whether a status reports the machine empty in answer to the request of ``revision``."""
    return status.value == records.encode_retirement_completed() and status.mod_revision > revision
