"""Steps of cmd/tables_diff.feature."""

import copy
import pathlib
import tempfile
from unittest import mock

from behave import given
from behave import then
from behave import when
from click import testing
import msgspec
import yaml

from hyssopfold import tables
from hyssopfold.cmd import ctl
from hyssopfold.cmd import tables_diff
from hyssopfold.control import client as control_client

_KEYS = ["press-key-number-one", "press-key-number-two"]
_NEW_KEY = "press-key-number-three"
_TABLES = {
    "routes": [
        {"name": "orders", "path_prefix": "/o/", "pool": "shop"},
        {"name": "other", "pool": "shop"},
    ],
    "pools": [{"name": "shop", "slots": 4}],
    "organisations": [{"name": "press", "keys": _KEYS, "rate": 20.0}],
}


def _set(field, value):
    def edit(edited):
        edited["organisations"][0][field] = value

    return edit


def _remove_route(edited):
    del edited["routes"][0]


def _add_organisation(edited):
    edited["organisations"].append({"name": "radio", "keys": [_NEW_KEY]})


def _remove_organisations(edited):
    del edited["organisations"]


def _change_several(edited):
    _remove_route(edited)
    _set("rate", 30.0)(edited)


_EDITS = {
    "changes nothing": lambda edited: None,
    "sets a rate": _set("rate", 30.0),
    "sets a priority": _set("priority", 2),
    "replaces a key": _set("keys", [_KEYS[0], _NEW_KEY]),
    "reverses the keys": _set("keys", _KEYS[::-1]),
    "removes a route": _remove_route,
    "adds an organisation": _add_organisation,
    "removes the table": _remove_organisations,
    "changes several tables": _change_several,
}


def _plain(document):
    parsed = tables.parse(yaml.safe_dump(document))
    return msgspec.to_builtins(tables.to_plain(parsed))


@given("an edit that {edit}")
def _(context, edit):
    context.edited = copy.deepcopy(_TABLES)
    _EDITS[edit](context.edited)


@when("it is compared with the tables in force")
def _(context):
    context.lines = tables_diff.lines(_plain(_TABLES), _plain(context.edited))


@when("hyssopctl compares the file of the edit with revision {revision:d}")
def _(context, revision):
    body = {"revision": revision, **_plain(_TABLES), "evacuated": []}
    reply = control_client.Reply(200, body)
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "tables.yaml")
        file.write_text(yaml.safe_dump(context.edited), encoding="utf-8")
        with mock.patch.object(
            control_client.Client, "get", return_value=reply
        ):
            context.result = testing.CliRunner().invoke(
                ctl.cli, ["tables", "diff", str(file)]
            )


@then('the differences are "{lines}"')
def _(context, lines):
    assert context.lines == lines.split("; "), context.lines


@then('the differences are ""')
def _(context):
    assert not context.lines, context.lines


@then('it prints "{lines}"')
def _(context, lines):
    assert context.result.exit_code == 0, context.result.output
    assert context.result.output.splitlines() == lines.split("; ")


@then("no key is printed")
def _(context):
    for key in (*_KEYS, _NEW_KEY):
        assert key not in context.result.output
