"""Steps of storage/folder.feature."""

import shutil
import tempfile

from behave import given
from behave import then
from behave import when

from hyssopfold import errors
from hyssopfold.storage import folder


@given("an empty data folder")
def _(context):
    path = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, path)
    context.folder = folder.DataFolder(path)
    context.add_cleanup(context.folder.close)


@given('the record "{name}" holds "{text}"')
def _(context, name, text):
    context.folder.write(name, text.encode())


@when('the record "{name}" is written as "{first}" and then as "{second}"')
def _(context, name, first, second):
    context.folder.write(name, first.encode())
    context.folder.write(name, second.encode())


@when('a crash leaves a temporary file with half of the record "{name}"')
def _(context, name):
    path = context.folder.path
    whole = (path / name).read_bytes()
    (path / f"{name}.new").write_bytes(whole[: len(whole) // 2])


@when('byte {offset:d} of the record "{name}" flips')
def _(context, offset, name):
    path = context.folder.path / name
    data = bytearray(path.read_bytes())
    data[offset] ^= 0xFF
    path.write_bytes(data)


@then('the record "{name}" is "{text}"')
def _(context, name, text):
    assert context.folder.read(name) == text.encode()


@then('reading the record "{name}" fails as corrupt')
def _(context, name):
    try:
        context.folder.read(name)
    except errors.CorruptStorageError:
        return
    raise AssertionError("the record was read")


@then("opening the folder a second time is refused")
def _(context):
    try:
        folder.DataFolder(str(context.folder.path))
    except errors.StorageBusyError:
        return
    raise AssertionError("the folder was opened twice")
