"""Settings shared by all tests."""

import hypothesis

# Generates the same examples on every run, so that CI results are
# reproducible.
hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("fixed")
