"""Steps of storage/records.feature."""

import pathlib
import random
import shutil
import tempfile

from behave import given
from behave import then
from behave import when

from hyssopfold import errors
from hyssopfold.core.consensus import messages
from hyssopfold.storage import folder
from hyssopfold.storage import records
from tests.support import fake_disk

_SEED_COUNT = 4
_ADDRESS = "127.0.0.1:1"


def _ballot(counter):
    return messages.Ballot(counter, "control-1#a")


def _register(counter):
    return messages.Register(counter, b"x" * 200 * counter, cluster="c")


def _open(context, name="control-1"):
    data = folder.DataFolder(context.records_path, context.disk)
    bits = random.Random(1).getrandbits
    return data, records.MemberRecords(data, name, bits)


def _create_folder(context):
    context.records_path = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, context.records_path)


def _vote(member_records, confirmed):
    """Save votes one after another; record each in `confirmed`."""
    for counter in (1, 2, 3):
        member_records.save_promise(_ballot(counter))
        confirmed.append((_ballot(counter), None))
        member_records.save_register(_ballot(counter), _register(counter))
        confirmed.append((_ballot(counter), _ballot(counter)))


def _crash_once(context, operation, seed, disk_class):
    """Crash at one disk operation.

    Returns whether a crash happened and whether all confirmed votes are loaded.
    """
    context.disk = disk_class(random.Random(seed))
    context.disk.crash_at = operation
    confirmed = []
    data, member_records = _open(context)
    try:
        member_records.open(_ADDRESS)
        _vote(member_records, confirmed)
    except fake_disk.CrashError:
        crashed = True
    else:
        crashed = False
    data.close()
    context.disk.crash()
    data, member_records = _open(context)
    try:
        _, durable = member_records.open(_ADDRESS)
    except errors.CorruptStorageError:
        return crashed, False
    finally:
        data.close()
    return crashed, _contains(durable, confirmed)


def _contains(durable, confirmed):
    if durable.accepted != messages.NO_BALLOT:
        assert durable.register == _register(durable.accepted.counter)
    return all(
        durable.promised >= promised
        and (accepted is None or durable.accepted >= accepted)
        for promised, accepted in confirmed
    )


def _crash_everywhere(context, disk_class):
    _create_folder(context)
    context.intact = []
    for seed in range(_SEED_COUNT):
        for operation in range(1, 1000):
            crashed, intact = _crash_once(context, operation, seed, disk_class)
            if not crashed:
                break
            context.intact.append(intact)


@when("votes are saved with a crash at each disk operation in turn")
def _(context):
    _crash_everywhere(context, fake_disk.FakeDisk)


@when("votes are saved on a disk without syncs, with a crash at each operation")
def _(context):
    _crash_everywhere(context, fake_disk.UnsyncedDisk)


@then("after each of at least {count:d} crashes every confirmed vote is intact")
def _(context, count):
    assert len(context.intact) >= count, len(context.intact)
    assert all(context.intact)


@then("some confirmed vote is missing")
def _(context):
    assert not all(context.intact)


@given("records with a vote saved")
def _(context):
    _create_folder(context)
    context.disk = fake_disk.FakeDisk(random.Random(1))
    data, member_records = _open(context)
    member_records.open(_ADDRESS)
    member_records.save_promise(_ballot(1))
    member_records.save_register(_ballot(1), _register(1))
    data.close()


@when("the disk under the records is full")
def _(context):
    context.disk.full = True


@then("saving a vote fails and the error names the remedy")
def _(context):
    context.disk.full = False
    data, member_records = _open(context)
    member_records.open(_ADDRESS)
    context.disk.full = True
    try:
        member_records.save_register(_ballot(2), _register(2))
    except errors.StorageWriteError as exc:
        assert "free space" in exc.remedy
    else:
        raise AssertionError("the vote was saved")
    finally:
        data.close()


@when("the disk under the records has free space again")
def _(context):
    context.disk.full = False


@then("the previous vote is loaded")
def _(context):
    data, member_records = _open(context)
    _, durable = member_records.open(_ADDRESS)
    data.close()
    assert durable.accepted == _ballot(1)
    assert durable.register == _register(1)


def _path(context, name):
    return pathlib.Path(context.records_path) / name


@when('a byte of the record file "{name}" flips')
def _(context, name):
    path = _path(context, name)
    data = bytearray(context.disk.read(path))
    data[-1] ^= 1
    context.disk.write(path, bytes(data))


@when('the record file "{name}" has format {number:d}')
def _(context, name, number):
    path = _path(context, name)
    data = bytearray(context.disk.read(path))
    data[6:8] = number.to_bytes(2, "big")
    context.disk.write(path, bytes(data))


@when('the record file "{name}" is missing')
def _(context, name):
    context.disk.remove(_path(context, name))


def _refusal(context, name="control-1"):
    data, member_records = _open(context, name)
    try:
        member_records.open(_ADDRESS)
    except errors.CorruptStorageError as exc:
        return exc
    finally:
        data.close()
    raise AssertionError("the records were opened")


@then('opening the records names "{name}" and the remedy "{remedy}"')
def _(context, name, remedy):
    exc = _refusal(context)
    assert str(_path(context, name)) in exc.summary, exc
    assert remedy in exc.remedy, exc


@then('opening the records as "{name}" names its owner')
def _(context, name):
    assert "control-1" in _refusal(context, name).summary
