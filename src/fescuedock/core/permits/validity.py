"""How long a permit is good without renewal."""

from fescuedock.schema.settings import AgentSettings

__all__ = ["validity_ms"]


def validity_ms(settings: AgentSettings, vms: int) -> int:
    """Return the validity in a fleet of ``vms`` VMs.

    A holder renews with each owner by itself, and in a large fleet nearly every permit has another
    owner.  Were the validity fixed, renewals would grow with the permits that a VM holds until they
    took most of its control budget; they only free the permits of a holder that died.
    """
    return max(settings.permit_valid_ms, settings.permit_valid_per_vm_ms * vms)
