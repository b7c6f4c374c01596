"""Hooks of behave: what every scenario starts with."""

import hypothesis

# The same examples on every run; long runs are made by `make soak`.
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("ci")
