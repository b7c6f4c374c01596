"""Steps of logs.feature."""

import collections
import json
import logging
import os
import re

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hyssopfold import log_output
from hyssopfold import logs

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^" ]*)(?: |\Z)')


def _read(line):
    """Parse a line as operators' tools do; return its fields in order."""
    fields, position = [], 0
    while position < len(line):
        match = _FIELD.match(line, position)
        assert match, line[position:]
        value = match.group(2)
        if value.startswith('"'):
            value = json.loads(value)
        fields.append((match.group(1), value))
        position = match.end()
    return fields


def _line(event):
    record = logging.LogRecord("x", logging.INFO, "", 0, event, None, None)
    return logs.KeyValueFormatter("entry-1").format(record)


@when("log events with random values are written")
def _(context):
    context.checked = 0
    text = strategies.one_of(
        strategies.text(),
        strategies.sampled_from(["a\nlevel=error", 'x" event="y', "", "\\"]),
    )

    @hypothesis.given(text, text)
    @hypothesis.settings(max_examples=500)
    def check(path, header):
        line = _line(logs.Event("served", path=path, header=header))
        assert line.isascii() and line.isprintable(), line
        fields = _read(line)
        names = [name for name, _ in fields]
        assert names == [
            "time", "level", "instance", "logger", "event", "path", "header"
        ], names  # fmt: skip
        assert dict(fields)["path"] == path
        assert dict(fields)["header"] == header
        context.checked += 1

    check()


@then("each log line contains exactly the values that were written")
def _(context):
    assert context.checked >= 500, context.checked


@when("100 decision lines and 3 other lines are logged at one in 10")
def _(context):
    sampling_filter = logs.SamplingFilter(10)
    names = ["place-decision"] * 100 + ["started"] * 3
    context.written = [
        name
        for name in names
        if sampling_filter.filter(
            logging.LogRecord(
                "x", logging.INFO, "", 0, logs.Event(name), None, None
            )
        )
    ]


@then("10 decision lines and 3 other lines were written")
def _(context):
    assert context.written.count("place-decision") == 10
    assert context.written.count("started") == 3


@when("{many:d} lines of one logger and then {few:d} of another are written in"
      " a second")  # fmt: skip
def _(context, many, few):
    reader, writer = os.pipe()
    handler = log_output.BoundedHandler(writer, lines_per_s=100)
    names = ["gossip"] * many + ["instance"] * few
    for name in names:
        record = logging.LogRecord(name, logging.INFO, "", 0, name, None, None)
        record.created = 1.0
        handler.emit(record)
    os.close(writer)
    with os.fdopen(reader) as output:
        context.written = collections.Counter(output.read().split())


@then("{many:d} lines of the one and {few:d} of the other are written at"
      " {limit:d} in a second")  # fmt: skip
def _(context, many, few, limit):
    written = context.written
    assert written == {"gossip": many, "instance": few}, written
    assert written.total() <= limit
