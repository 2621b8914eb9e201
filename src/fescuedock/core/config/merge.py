"""JSON merge patches (RFC 7396)."""

from collections.abc import Mapping

__all__ = ["JsonValue", "merge_patch"]

JsonValue = object


def merge_patch(target: JsonValue, patch: JsonValue) -> JsonValue:
    """Return ``target`` changed by ``patch``; neither argument is changed.

    A member that is null in the patch is removed, an object is merged, any other value replaces.
    """
    if not isinstance(patch, Mapping):
        return patch
    merged = dict(target) if isinstance(target, Mapping) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged
