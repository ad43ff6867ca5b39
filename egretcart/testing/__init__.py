"""Stand-ins for backend servers and the platform, and a clock for tests."""

from egretcart.testing.backend import BackendStandIn
from egretcart.testing.clock import ManualClock
from egretcart.testing.platform import PlatformStandIn

__all__ = ["BackendStandIn", "ManualClock", "PlatformStandIn"]
