"""Makes property tests take the same examples in every run."""

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, database=None, deadline=None
)
hypothesis.settings.load_profile("ci")
