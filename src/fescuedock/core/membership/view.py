"""Converts members to the records of the fleet view."""

from fescuedock.core.membership.listing import VmListing
from fescuedock.core.membership.table import Member, MemberTable
from fescuedock.schema.membership import MemberState
from fescuedock.schema.view import Program, VmRecord, VmState

__all__ = ["vm_records"]


def vm_records(table: MemberTable, listing: VmListing) -> list[VmRecord]:
    """Return the members, including gone ones, ordered by identity.

    A VM that the VM list shows as leaving counts as leaving, whatever it reports itself.
    """
    members = sorted(table, key=lambda member: member.vm_id)
    return [_cached_record(member, listing.lists_as_leaving(member.vm_id)) for member in members]


def _cached_record(member: Member, listed_leaving: bool) -> VmRecord:
    leaving = listed_leaving and member.state is not MemberState.GONE
    state = VmState.LEAVING if leaving else VmState(member.state.value)
    if member.record is None or member.record.state is not state:
        member.record = _build_record(member, state)
    return member.record


def _build_record(member: Member, state: VmState) -> VmRecord:
    profile = member.profile
    return VmRecord(
        vm_id=member.vm_id,
        region=profile.region,
        failure_domain=profile.failure_domain,
        host=profile.host,
        incarnation=member.incarnation,
        state=state,
        entry_port=profile.entry_port,
        agent_port=profile.agent_port,
        batch_port=profile.batch_port,
        store_port=profile.store_port,
        ready=[Program(program.value) for program in profile.ready],
        entry_load=profile.entry_load,
        config_version=profile.config_version,
        config_confirmed=profile.config_confirmed,
    )
