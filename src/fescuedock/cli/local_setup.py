"""The fixed setup of ``fescuedock local``: VMs, upstreams and the initial configuration."""

from pathlib import Path

from fescuedock.cli.local_vm import VmPlace
from fescuedock.schema.config import PatchRequest
from fescuedock.schema.settings import StandinSettings, VmSettings
from fescuedock.standin.platform import Standins

__all__ = [
    "CHAT_MODEL",
    "PLACES",
    "PLAIN_SERVICE",
    "TRIP_MODEL",
    "add_upstreams",
    "initial_patch",
    "log_settings",
    "standin_settings",
]

REGION = "caldas"
PLACES = (
    VmPlace("vm-chipre", REGION, "sala-chipre", "127.0.0.1"),
    VmPlace("vm-palermo", REGION, "sala-palermo", "127.0.0.2"),
    VmPlace("vm-villamaria", REGION, "sala-villamaria", "127.0.0.3"),
)
CHAT_MODEL = "admision-llm-7b"
TRIP_MODEL = "trip-desk-7b"
PLAIN_SERVICE = "coach-booking"
_SERVICES = {"admision-llm": CHAT_MODEL, "trip-desk": TRIP_MODEL}
_VERSION = "1"
_WEIGHTS_BYTES = 64 * 1024 * 1024


def standin_settings() -> StandinSettings:
    """Return the settings of the stand-ins without upstreams, which ``add_upstreams`` starts."""
    models = ",".join(f"{model}={_VERSION}" for model in _SERVICES.values())
    return StandinSettings(
        region=REGION,
        failure_domains=",".join(place.failure_domain for place in PLACES),
        engines=0,
        plain_services=0,
        models=models,
    )


def log_settings(log_file: Path) -> VmSettings:
    """Return VM settings with which all programs of the system log to one file."""
    return VmSettings(
        vm_id="local",
        host=PLACES[0].host,
        region=REGION,
        failure_domain="local",
        log_file=str(log_file),
    )


async def add_upstreams(standins: Standins) -> None:
    """Start one engine per model service and failure domain, and one plain service."""
    for service in _SERVICES:
        for number, place in enumerate(PLACES, start=1):
            name = f"worker-{service}-{number}"
            await standins.add_engine(name, place.failure_domain, service=service)
    await standins.add_plain("booking-1", PLACES[0].failure_domain, service=PLAIN_SERVICE)


def initial_patch() -> PatchRequest:
    """Return the patch of the empty configuration that creates the three services."""
    services = {
        "admision-llm": _model_service(CHAT_MODEL, online_weight=0.9),
        "trip-desk": _model_service(TRIP_MODEL, online_weight=0.2),
        PLAIN_SERVICE: {"kind": "plain", "non_idempotent": ["POST /bookings"]},
    }
    return PatchRequest(
        base_version=0,
        patch_id="local-initial",
        patch={"services": services},
        actor="fescuedock local",
    )


def _model_service(model: str, online_weight: float) -> dict[str, object]:
    return {
        "kind": "model",
        "models": {model: {"version": _VERSION, "weights_bytes": _WEIGHTS_BYTES}},
        "objectives": {"online_weight": online_weight},
        "order_check": "fenced",
    }
