"""Accepts a batch job: validation, copies on disk, record, index, and then the acknowledgement.

Every step may be repeated by a concurrent resend through any entry: the job's identity is derived
from the request, so all of them arrive at the same record.
"""

from collections.abc import Sequence

from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.core.acceptance import SERVICE_PREFIX, check_file
from fescuedock.core.batch.takeover import RunnerName, preferred_runner
from fescuedock.core.claims import is_non_idempotent
from fescuedock.core.job_identity import (
    JobRequest,
    check_same_job,
    check_same_job_by_file,
    job_identity,
    new_record,
)
from fescuedock.entry.context import EntryContext
from fescuedock.entry.job_records import create_job, ensure_listed, read_stored
from fescuedock.entry.models import service_of_model
from fescuedock.faults import Fault
from fescuedock.schema.batch import FileRecord, JobPush, JobRecord, SegmentRef
from fescuedock.schema.config import ServiceKind
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import Program, VmRecord

__all__ = ["accept_job", "find_accepted", "push_job"]


async def accept_job(
    context: EntryContext, request: JobRequest, file: FileRecord
) -> Result[JobRecord, Fault]:
    """Return the record of the accepted job, which may exist already, or why it is not accepted."""
    found = await read_stored(context, job_identity(request))
    if isinstance(found, Err):
        return found
    if found.ok_value is not None:
        return await _acknowledged_if_same(context, request, found.ok_value.record)
    record = await _checked_record(context, request, file)
    if isinstance(record, Err):
        return record
    copied = await _ensure_copies(context, file.segments)
    if isinstance(copied, Err):
        return copied
    created = await create_job(context, record.ok_value)
    if isinstance(created, Err):
        return created
    return await _acknowledged_if_same(context, request, created.ok_value)


async def find_accepted(
    context: EntryContext, request: JobRequest, file_id: str
) -> Result[JobRecord | None, Fault]:
    """Return the job that was accepted under the idempotency key and whose file was deleted since.

    Return ``Ok(None)`` if there is none, and ``KEY_REUSED`` if the job was a different one.
    """
    found = await read_stored(context, job_identity(request))
    if isinstance(found, Err) or found.ok_value is None:
        return found
    record = found.ok_value.record
    same = check_same_job_by_file(record, request, file_id)
    return same if isinstance(same, Err) else await _acknowledged(context, record)


async def push_job(context: EntryContext, record: JobRecord, *, cancelled: bool = False) -> None:
    """Notify the runners that own or should own the job; scanners make up for lost messages."""
    runners = context.view.live_vms(Program.BATCH)
    chosen = preferred_runner(record.job_id, runners)
    owner_id = RunnerName.parse(record.owner).vm_id
    notified = {vm.vm_id: vm for vm in runners if vm.vm_id == owner_id or vm == chosen}
    message = JobPush(job_id=record.job_id, cancelled=cancelled)
    for vm in notified.values():
        await _push(context, vm, message)


async def _push(context: EntryContext, vm: VmRecord, message: JobPush) -> None:
    client = await context.stores.channels.client(Address(vm.host, vm.batch_port))
    client.push(message)


async def _acknowledged_if_same(
    context: EntryContext, request: JobRequest, record: JobRecord
) -> Result[JobRecord, Fault]:
    same = check_same_job(record, request)
    return same if isinstance(same, Err) else await _acknowledged(context, record)


async def _acknowledged(context: EntryContext, record: JobRecord) -> Result[JobRecord, Fault]:
    listed = await ensure_listed(context, record)
    if isinstance(listed, Err):
        return listed
    await push_job(context, record)
    return Ok(record)


async def _checked_record(
    context: EntryContext, request: JobRequest, file: FileRecord
) -> Result[JobRecord, Fault]:
    configuration = context.view.configuration
    service = check_file(
        file, request.endpoint, lambda model: service_of_model(configuration, model)
    )
    if isinstance(service, Err):
        return service
    non_idempotent = False
    if request.endpoint.startswith(SERVICE_PREFIX):
        spec = configuration.services.get(service.ok_value)
        if spec is None or spec.kind is not ServiceKind.PLAIN:
            text = f"no plain service {service.ok_value!r}"
            return Err(Fault(ResultCode.UNKNOWN_SERVICE, text))
        path = request.endpoint.removeprefix(f"{SERVICE_PREFIX}{service.ok_value}")
        non_idempotent = is_non_idempotent(spec.non_idempotent, "POST", path)
    now_s = context.unix_clock()
    return Ok(new_record(request, file, service.ok_value, now_s, non_idempotent=non_idempotent))


async def _ensure_copies(
    context: EntryContext, segments: Sequence[SegmentRef]
) -> Result[None, Fault]:
    """Ensure that enough failure domains have the input on disk now, not only at its upload.

    The retention of the copies restarts now.
    """
    needed = context.settings.batch.min_copies
    holders = await context.stores.have_segments(segments, renew=True)
    for ref in segments:
        domains = {vm.failure_domain for vm in holders[ref.segment_hash]}
        if len(domains) >= needed:
            continue
        body = await context.stores.get_segment(ref)
        if isinstance(body, Err):
            return body
        written = await context.stores.put_segment(body.ok_value, ref.items)
        if isinstance(written, Err):
            return written
    return Ok(None)
