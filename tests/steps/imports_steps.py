"""Steps of imports.feature."""

import subprocess
import sys

from behave import then
from behave import when

_MODULES = {
    "entry": ("hyssopfold.cmd.entry", "hyssopfold.entry_components"),
    "control instance": (
        "hyssopfold.cmd.control",
        "hyssopfold.control_components",
    ),
}


@when("the modules of an {daemon} are loaded in a fresh process")
def _(context, daemon):
    names = ", ".join(_MODULES[daemon])
    code = f"import sys, {names}; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    context.loaded = done.stdout.split()


@then('none of them begins with "{foreign}"')
def _(context, foreign):
    found = [name for name in context.loaded if name.startswith(foreign)]
    # A daemon's own `hyssopfold.control_components` is no part of `control`.
    found = [name for name in found if f"{name}.".startswith(f"{foreign}.")]
    assert not found, found
