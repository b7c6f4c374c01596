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


@when("the modules of an {daemon} are imported in a new process")
def _(context, daemon):
    names = ", ".join(_MODULES[daemon])
    code = f"import sys, {names}; print(*sys.modules)"
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    context.imported = process.stdout.split()


@then('no imported module begins with "{foreign}"')
def _(context, foreign):
    names = [name for name in context.imported if name.startswith(foreign)]
    # The daemon's own `hyssopfold.control_components` is not part of `control`.
    names = [name for name in names if f"{name}.".startswith(f"{foreign}.")]
    assert not names, names
