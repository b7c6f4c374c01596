"""Hooks of behave: what every scenario starts with."""

import pathlib
import sys

import hypothesis

# The adapter's package lies in a folder of its own.
sys.path.append(str(pathlib.Path(__file__).parent.parent / "platform"))

# The same examples on every run; long runs are made by `make soak`.
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("ci")
