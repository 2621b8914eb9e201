"""How long a silent upstream is waited for before a stream goes on at another one."""

import msgspec

from fescuedock.core.forwarding.route_table import Route

__all__ = ["StallLimits"]


class StallLimits(msgspec.Struct, frozen=True):
    """Shares of the route's own targets, and bounds for routes that name none or odd ones.

    Too early runs a request twice that was only slow; too late costs the target.  At half of it
    the other upstream still has the other half.
    """

    target_share: float = 0.6
    min_ms: float = 100.0
    max_ms: float = 2000.0

    def first_event_ms(self, route: Route) -> float:
        """Return the longest wait for the answer's first event."""
        return self._bounded(self.target_share * route.target_latency_ms)

    def gap_ms(self, route: Route) -> float:
        """Return the longest wait between two events."""
        gap_ms = route.gap_target_ms or route.target_latency_ms
        return self._bounded(self.target_share * gap_ms)

    def _bounded(self, wait_ms: float) -> float:
        return min(max(wait_ms, self.min_ms), self.max_ms)
