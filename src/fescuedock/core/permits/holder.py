"""The holder's side: permits that an entry or batch runner holds, renews and reports on."""

from collections.abc import Iterator

import msgspec

from fescuedock.schema.permits import EndedPermit, HeldPermit, PermitAsk, WorkClass
from fescuedock.schema.settings import AgentSettings

__all__ = ["GrantRegistry", "HeldGrant", "LocalLimit", "lapsed_by_ms", "validity_ms"]


class HeldGrant(msgspec.Struct):
    """One permit of this process and the known state of its attempt."""

    request: PermitAsk
    granted_ms: float
    # Counted from before the request or renewal was sent, so it ends before the owner's own count.
    valid_until_ms: float
    # When to renew; validity differs between owners, which state it with each permit.
    renew_at_ms: float = 0.0
    local: bool = False
    # A request was sent to the upstream under this permit.
    sent: bool = False
    first_token_ms: float = -1.0
    generated_tokens: int = 0
    # When the permit has certainly expired at its owner if it is never renewed.
    lapsed_by_ms: float = 0.0
    # Identities of the prompt parts that this work may share with others.
    parts: tuple[str, ...] = ()
    # The response has neither a length nor chunks, so its end cannot be distinguished from the end
    # of the upstream.
    unframed: bool = False
    # The incarnation of the upstream that answered, if it was identified.  The one that the permit
    # names may have been replaced before this VM knew.
    answered_by: str = ""

    @property
    def sendable_until_ms(self) -> float:
        """When the latest attempt may start under this permit."""
        return max(self.valid_until_ms, self.lapsed_by_ms)

    def as_held(self, now_ms: float) -> HeldPermit:
        """Return the entry of this permit in a renewal message."""
        return HeldPermit(
            permit_id=self.request.attempt_id,
            upstream_id=self.request.upstream_id,
            attempt_id=self.request.attempt_id,
            service=self.request.service,
            member=self.request.member,
            work_class=self.request.work_class,
            slack_ms=self.request.slack_ms - int(now_ms - self.granted_ms),
            stage=self.request.stage,
            left_ms=self._left_ms(now_ms),
            prompt_tokens=self.request.prompt_tokens,
            generated_tokens=self.generated_tokens,
            first_token_ms=self.first_token_ms,
            alone=self.request.alone,
            priority=self.request.priority,
            barren_runs=self.request.barren_runs,
        )

    def _left_ms(self, now_ms: float) -> int:
        if not self.request.left_ms:
            return 0
        return max(self.request.left_ms - int(now_ms - self.granted_ms), 1)


def validity_ms(settings: AgentSettings, vms: int) -> int:
    """Return the permit validity in a fleet of ``vms`` VMs.

    A holder renews with each owner separately, and in a large fleet nearly every permit has a
    different owner.  With a fixed validity, renewals would grow with the number of permits a VM
    holds until they took most of its control budget, although they only serve to free the permits
    of a holder that died.
    """
    return max(settings.permit_valid_ms, settings.permit_valid_per_vm_ms * vms)


def lapsed_by_ms(sent_ms: float, arrived_ms: float, wait_ms: float, valid_ms: float) -> float:
    """Return when a permit has certainly expired, given when its request was sent and answered.

    Its owner counts from the grant, which happened before the answer arrived and no later than the
    request may wait.  Counting from the sending, a permit that was queued for its whole validity
    would never be used; counting only from the answer, a permit whose answer was not read for long
    would be used after its expiry.
    """
    return min(arrived_ms, sent_ms + wait_ms) + valid_ms


class GrantRegistry(msgspec.Struct):
    """All permits of one process."""

    _grants: dict[str, HeldGrant] = msgspec.field(default_factory=dict)
    _ended: list[EndedPermit] = msgspec.field(default_factory=list)

    def __iter__(self) -> Iterator[HeldGrant]:
        return iter(tuple(self._grants.values()))

    def __len__(self) -> int:
        return len(self._grants)

    def get(self, permit_id: str) -> HeldGrant | None:
        return self._grants.get(permit_id)

    def add(self, grant: HeldGrant) -> None:
        self._grants[grant.request.attempt_id] = grant

    def end(self, ended: EndedPermit) -> HeldGrant | None:
        """Remove a permit and store its end for the next report; None when it was not held."""
        grant = self._grants.pop(ended.permit_id, None)
        if grant is not None and not grant.local:
            self._ended.append(ended)
        return grant

    def abandon(self, ended: EndedPermit) -> None:
        """Report the end of an unanswered request, as its permit may have been granted."""
        self._ended.append(ended)

    def drain_ended(self) -> list[EndedPermit]:
        """Return the unreported ends and forget them."""
        ended, self._ended = self._ended, []
        return ended

    def record_renewal(
        self, permit_ids: list[str], valid_until_ms: float, renew_at_ms: float = 0.0
    ) -> None:
        """Extend the permits that their owner has renewed."""
        for permit_id in permit_ids:
            grant = self._grants.get(permit_id)
            if grant is not None:
                grant.valid_until_ms = valid_until_ms
                grant.renew_at_ms = renew_at_ms

    def lapsed(self, now_ms: float) -> list[str]:
        """Return the batch permits that were not renewed in time; online attempts continue."""
        return [
            permit_id
            for permit_id, grant in self._grants.items()
            if grant.request.work_class is WorkClass.BATCH and grant.valid_until_ms <= now_ms
        ]


class LocalLimit(msgspec.Struct):
    """Counts this holder's attempts at each upstream whose owner does not respond."""

    limit: int
    _running: dict[str, int] = msgspec.field(default_factory=dict)

    def try_acquire(self, upstream_id: str) -> bool:
        running = self._running.get(upstream_id, 0)
        if running >= self.limit:
            return False
        self._running[upstream_id] = running + 1
        return True

    def release(self, upstream_id: str) -> None:
        running = self._running.get(upstream_id, 0) - 1
        if running > 0:
            self._running[upstream_id] = running
        else:
            self._running.pop(upstream_id, None)
