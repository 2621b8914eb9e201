"""The limit for online attempts that start without their upstream's owner."""

import msgspec

__all__ = ["LocalLimit"]


class LocalLimit(msgspec.Struct):
    """Counts the attempts of one holder at each upstream whose owner is silent."""

    limit: int
    _running: dict[str, int] = msgspec.field(default_factory=dict)

    def try_take(self, upstream_id: str) -> bool:
        running = self._running.get(upstream_id, 0)
        if running >= self.limit:
            return False
        self._running[upstream_id] = running + 1
        return True

    def give_back(self, upstream_id: str) -> None:
        running = self._running.get(upstream_id, 0) - 1
        if running > 0:
            self._running[upstream_id] = running
        else:
            self._running.pop(upstream_id, None)
