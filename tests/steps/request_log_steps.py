"""Steps of request_log.feature."""

import logging
import os
import threading
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from hyssopfold import log_output
from hyssopfold import logs
from hyssopfold import request_log
from hyssopfold.cmd import explain

_HEAD = "time=2026-01-01T00:00:0{n}.000Z level=info instance=e1 logger=x"
_ADMITTED = "event=admitted request=r1 route=pay pool=ledger version=7"
_SENT = (
    "event=routing-decision request=r1 server=s1 region=dar reason=affinity"
    " load=0.67 load_age_s=0.2"
)
_LINES = {
    "overfull": [
        _ADMITTED,
        "event=refused request=r1 error=no-slot outcome=not-run held_s=0.001",
        "event=ended request=r1 outcome=not-run status=503 took_s=0.001",
    ],
    "held back": [
        _ADMITTED,
        "event=refused request=r1 error=quarantined outcome=not-run held_s=0",
        "event=ended request=r1 outcome=not-run status=503 took_s=0.001",
    ],
    "lost": [
        _ADMITTED,
        _SENT,
        'event=attempt-ended request=r1 result=failed detail="ReadError reset"',
        "event=refused request=r1 error=attempt-failed outcome=unknown",
        "event=ended request=r1 outcome=unknown status=502 took_s=0.2",
    ],
    "late": [
        _ADMITTED,
        _SENT,
        'event=attempt-ended request=r1 result=failed detail="no answer in time"',
        "event=refused request=r1 error=deadline-passed outcome=unknown",
        "event=ended request=r1 outcome=unknown status=504 took_s=1.2",
    ],
    "answered": [
        _ADMITTED,
        _SENT,
        "event=ended request=r1 outcome=answered status=200 took_s=0.1",
    ],
    "unknown": [],
    "unended": [_ADMITTED, _SENT],
}


class _Kept(logging.Handler):
    def __init__(self):
        super().__init__()
        self.requests = []

    def emit(self, record):
        self.requests.append(record.msg["request"])


def _logger(name):
    logger = logging.getLogger(name)
    logger.propagate = False
    logger.setLevel(logging.INFO)
    logger.handlers[:] = [_Kept()]
    return logger


def _end(sampler, logger, request_id, good, at):
    with mock.patch.object(request_log.time, "time", return_value=at):
        log = request_log.RequestLog(request_id, sampler)
        for number in range(4):
            log.add(logger, "step", number=number)
        log.end(good)


@given("a sampler of {lines:d} lines a second")
def _(context, lines):
    context.sampler = request_log.Sampler(lines)
    context.kept_logger = _logger("test.kept")


def _second(context, name, at):
    for number in range(100):
        request_id = f"good {name} {number}"
        _end(context.sampler, context.kept_logger, request_id, True, at)
    for number in range(5):
        request_id = f"bad {name} {number}"
        _end(context.sampler, context.kept_logger, request_id, False, at)


@when("100 good requests and 5 failed ones of 4 lines each end in a second")
def _(context):
    _second(context, "a", 1000.5)


@when("another 100 good requests and 5 failed ones end a second later")
def _(context):
    _second(context, "b", 1001.5)


def _written(context, word):
    kept = context.kept_logger.handlers[0].requests
    return [one for one in kept if one.startswith(word)]


@then("all lines of the failed ones were written")
def _(context):
    assert len(_written(context, "bad")) == 2 * 5 * 4


@then(
    "fewer than {most:d} lines of the good ones were written, and the rest counted"
)
def _(context, most):
    good = len(_written(context, "good"))
    assert 0 < good < most, good
    assert context.sampler.left_out == 800 - good


@given("two samplers of {lines:d} lines a second with unlike load")
def _(context, lines):
    context.kept_by = []
    for busy in (4, 1):
        sampler = request_log.Sampler(lines)
        logger = _logger(f"test.kept.{busy}")
        for second in range(3):
            logger.handlers[0].requests.clear()
            for number in range(200):
                at = 1000.5 + second
                # The busier one serves others beside.
                for _ in range(busy - 1):
                    sampler.should_write(f"other {number}", 4, at)
                _end(sampler, logger, f"r{number}", True, at)
        context.kept_by.append(set(logger.handlers[0].requests))


@then("what the busier one keeps the other one keeps too")
def _(context):
    busier, other = context.kept_by
    assert busier < other, (len(busier), len(other))


@given("a handler whose reader does not read")
def _(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.bounded = log_output.BoundedHandler(writer, 1e9)
    context.bounded.setFormatter(logs.KeyValueFormatter("e1"))


@when("{count:d} lines are logged")
def _(context, count):
    logger = logging.getLogger("test.stalled")
    logger.propagate = False
    logger.setLevel(logging.INFO)
    logger.handlers[:] = [context.bounded]
    context.logged = count
    began = time.monotonic()
    for number in range(count):
        logger.info(logs.Event("step", number=number))
    context.took_s = time.monotonic() - began


@then("it took less than {most:g} s and the lines left out are counted")
def _(context, most):
    assert context.took_s < most, context.took_s
    assert 0 < context.bounded.left_out < context.logged


@when("the reader reads again")
def _(context):
    got = []

    def read():
        while not context.done.is_set():
            got.append(os.read(context.reader, 1 << 20))

    context.done = threading.Event()
    reading = threading.Thread(target=read, daemon=True)
    reading.start()
    for _ in range(20):
        context.bounded.flush()
        time.sleep(0.01)
    context.done.set()
    logging.getLogger("test.stalled").info(logs.Event("step", number=0))
    reading.join(2)
    context.got = b"".join(got)


@then("the lines that it gets are whole")
def _(context):
    lines = context.got.decode().splitlines()
    assert len(lines) > 100
    for line in lines[:-1]:
        assert logs.parse_line(line).get("event") in ("step", "message"), line


@given("log lines of a request that was {how}")
def _(context, how):
    context.explained = [
        f"  0.1 e1 {_HEAD.format(n=number)} {line}"
        for number, line in enumerate(_LINES[how])
    ]


@then('its explanation holds "{words}"')
def _(context, words):
    other = _HEAD.format(n=0) + " event=ended request=r2 outcome=answered"
    lines = explain.gather("r1", [*reversed(context.explained), other])
    assert len(lines) == len(context.explained)
    assert words in explain.cause(lines), explain.cause(lines)
