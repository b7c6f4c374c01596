"""Steps of settings.feature."""

import pathlib
import shutil
import tempfile

from behave import given
from behave import then
from behave import when

from hyssopfold import errors
from hyssopfold import security
from hyssopfold import settings

ENTRY = {
    "name": "entry-1",
    "region": "dar",
    "failure_domain": "dar-1",
    "http_address": "127.0.0.1:7000",
    "gossip_address": "127.0.0.1:7001",
    "control": "[{name: control-1, rpc_address: '127.0.0.1:7002'}]",
}
FAULTY = """name: control-9
region: dar
failure_domain: dar-1
http_address: 127.0.0.1:0
rpc_address: 127.0.0.1:7002
gossip_address: nowhere
lease_s: 1
lease_s: 9
colour: blue
data_folder: data
tls_key_file: key.pem
control:
  - {name: control-1, rpc_address: 127.0.0.1:7002}
  - {name: control-1, rpc_address: 127.0.0.1:7003}
"""
# Line and key of each fault above.
EXPECTED = {
    (4, "http_address"),
    (6, "gossip_address"),
    (7, "lease_s"),
    (8, "lease_s"),
    (9, "colour"),
    (1, "tls_certificate_file"),
    (12, "control"),
}


def _write(context, text):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    context.settings = pathlib.Path(folder) / "settings.yaml"
    context.settings.write_text(text, encoding="utf-8")


@given("control settings with faults of many kinds")
def _(context):
    _write(context, FAULTY)
    context.load = settings.load_control


@given('entry settings in which "{key}" is "{value}"')
def _(context, key, value):
    fields = {**ENTRY, key: value}
    _write(context, "\n".join(f"{key}: {fields[key]}" for key in fields))
    context.load = settings.load_entry


@when("the faulty settings are checked")
def _(context):
    context.faults = []
    try:
        context.load(str(context.settings))
    except errors.InvalidDocumentError as exc:
        context.faults = exc.faults


@then("every settings fault is reported once with its line and what is allowed")
def _(context):
    reported = [(fault.line, fault.where) for fault in context.faults]
    assert set(reported) == EXPECTED, reported
    # `control` has two faults: a duplicate name and this instance's absence.
    assert len(reported) == len(EXPECTED) + 1, reported
    assert all(fault.allowed for fault in context.faults)


@then('the settings fault names "{key}" and allows "{allowed}"')
def _(context, key, allowed):
    reported = [str(fault) for fault in context.faults]
    assert any(key in text and allowed in text for text in reported), reported


@then("the settings have the warning that anyone may announce")
def _(context):
    warnings = security.unprotected(settings.load_entry(str(context.settings)))
    assert warnings == ["anyone may announce; set announce_token_file"], (
        warnings
    )
