"""Stand-ins of outside systems, clocks and assertions for tests."""

from egretcart.testing.backend import BackendStandIn
from egretcart.testing.clock import ManualClock
from egretcart.testing.platform import PlatformStandIn

__all__ = ["BackendStandIn", "ManualClock", "PlatformStandIn"]
