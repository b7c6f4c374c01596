"""Settings of the documentation site."""

project = "hyssopfold"
author = "the hyssopfold authors"
extensions = ["myst_parser"]
source_suffix = {".md": "markdown"}
exclude_patterns = ["_build", "proofs/*"]
html_theme = "alabaster"
html_theme_options = {"description": "Global traffic steering"}
myst_heading_anchors = 3
nitpicky = True
