"""Steps of control/quarantine_records.feature."""

import shutil
import tempfile

from behave import given
from behave import then
from behave import when
import trio

from hyssopfold.control import quarantine_records
from hyssopfold.core.attempts import quarantine
from hyssopfold.storage import folder

_REQUEST = b"0123456789abcdef"


def _make_folder(context):
    path = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, path)
    data = folder.DataFolder(path)
    context.add_cleanup(data.close)
    return data


@given("{count:d} of the instances have disks")
def _(context, count):
    async def step(network, nursery):
        names = list(network.reports)[-count:]
        network.kill_all()
        network.folders = {name: _make_folder(context) for name in names}
        network.start_all(nursery)
        await trio.sleep(1)

    context.script.append(step)


@when("{wait:g} s later all instances lose power and restart")
def _(context, wait):
    async def step(network, nursery):
        await trio.sleep(wait)
        network.kill_all()
        await trio.sleep(2)
        network.start_all(nursery)

    context.script.append(step)


class _Clock:
    def __init__(self):
        self.now = 1_000.0

    def __call__(self):
        return self.now


@given(
    "a quarantine record that was written {ago:g} s ago, {age:g} s after a"
    " crash"
)
def _(context, ago, age):
    clock = _Clock()
    context.data = _make_folder(context)
    context.records = quarantine_records.QuarantineRecords(context.data, clock)

    async def write():
        table = quarantine.Quarantine("c1")
        now = trio.current_time()
        table.record_crash(_REQUEST, 1, now - age)
        table.record_crash(_REQUEST, 2, now - age)
        context.records.schedule_write(table)
        with trio.move_on_after(2 * quarantine_records.BATCH_S):
            await context.records.run()

    trio.run(write)
    clock.now += ago


@when("the record is read")
def _(context):
    context.read = context.records.load()


@when("the record is corrupted")
def _(context):
    path = context.data.path / quarantine_records.RECORD
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(data)


@then("the crash is {age:g} s ago")
def _(context, age):
    (report,) = context.read
    assert report.crashed == (1, 2)
    # The record is written some tenths of a second after the crash report.
    assert abs(report.age_s - age) < 1, report


@then("no reports are read")
def _(context):
    assert context.read == ()
