"""Steps of examples/embedding.feature."""

import contextlib
import io
import runpy

from behave import then
from behave import when


@when('the example "{path}" is run')
def _(context, path):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        runpy.run_path(path, run_name="__main__")
    context.printed = output.getvalue()


@then("the example prints")
def _(context):
    assert context.printed.strip() == context.text.strip(), context.printed
