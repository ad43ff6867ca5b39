"""Hypothesis settings of all features: the same examples in every run."""

import os

from hypothesis import HealthCheck
from hypothesis import settings

settings.register_profile(
    "egretcart",
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "egretcart"))
