"""How long to wait for a silent upstream before another one continues the stream."""

import msgspec

from fescuedock.core.forwarding.route_table import Route

__all__ = ["StallLimits"]


class StallLimits(msgspec.Struct, frozen=True):
    """Waits as a share of the route's targets, bounded for routes without or with extreme targets.

    A short wait runs a request twice that was only slow; a long one misses the target.  The default
    share leaves the other upstream the remaining 40% of the target.
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
