"""Lists the available models, and finds the service that offers a model."""

from fescuedock.entry.context import EntryContext
from fescuedock.entry.routes import Route
from fescuedock.faults import Fault
from fescuedock.net.http_server import Request, Responder
from fescuedock.schema.config import Configuration, ServiceKind
from fescuedock.schema.result_codes import ResultCode

__all__ = ["routes", "service_of_model"]


def service_of_model(configuration: Configuration, model: str) -> str | None:
    """Return the service that offers the model or adapter ``model``, or None."""
    for service, spec in configuration.services.items():
        if spec.kind is not ServiceKind.MODEL:
            continue
        if model in spec.models:
            return service
        if any(model in item.adapters for item in spec.models.values()):
            return service
    return None


def routes(context: EntryContext) -> list[Route]:
    """Return the routes under ``/v1/models``."""

    async def list_models(_request: Request, responder: Responder, _values: dict[str, str]) -> None:
        data = _model_objects(context.view.configuration)
        await responder.send_json(200, {"object": "list", "data": data})

    async def get_model(_request: Request, responder: Responder, values: dict[str, str]) -> None:
        for item in _model_objects(context.view.configuration):
            if item["id"] == values["model"]:
                await responder.send_json(200, item)
                return
        fault = Fault(ResultCode.UNKNOWN_MODEL, f"no service offers {values['model']!r}")
        await responder.send_fault(fault)

    return [
        Route("GET", "/v1/models", list_models),
        Route("GET", "/v1/models/{model*}", get_model),
    ]


def _model_objects(configuration: Configuration) -> list[dict[str, object]]:
    """Return the models and their adapters in OpenAI's format, each name once."""
    objects: dict[str, dict[str, object]] = {}
    for service, spec in configuration.services.items():
        if spec.kind is not ServiceKind.MODEL:
            continue
        for model, item in spec.models.items():
            objects.setdefault(model, _model_object(model, service, None))
            for adapter in item.adapters:
                objects.setdefault(adapter, _model_object(adapter, service, model))
    return list(objects.values())


def _model_object(name: str, service: str, parent: str | None) -> dict[str, object]:
    value: dict[str, object] = {"id": name, "object": "model", "created": 0, "owned_by": service}
    if parent is not None:
        value["parent"] = parent
    return value
