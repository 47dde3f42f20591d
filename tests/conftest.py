"""What all tests share."""

import hypothesis

# The same examples on every run, so that CI gives the same verdict.
hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("fixed")
