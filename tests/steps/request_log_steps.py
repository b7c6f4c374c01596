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
    "over its limit": [
        _ADMITTED,
        "event=refused request=r1 error=over-limit outcome=not-run held_s=0",
        "event=ended request=r1 outcome=not-run status=429 took_s=0.001"
        " organisation=press",
    ],
    "sent without a key": [
        _ADMITTED,
        "event=refused request=r1 error=unknown-key outcome=not-run held_s=0",
        "event=ended request=r1 outcome=not-run status=401 took_s=0.001",
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


class _RecordingHandler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.requests = []

    def emit(self, record):
        self.requests.append(record.msg["request"])


def _logger(name):
    logger = logging.getLogger(name)
    logger.propagate = False
    logger.setLevel(logging.INFO)
    logger.handlers[:] = [_RecordingHandler()]
    return logger


def _end_request(sampler, logger, request_id, succeeded, now):
    with mock.patch.object(request_log.time, "time", return_value=now):
        log = request_log.RequestLog(request_id, sampler)
        for number in range(4):
            log.add(logger, "step", number=number)
        log.end(succeeded)


@given("a sampler of {lines:d} lines a second")
def _(context, lines):
    context.sampler = request_log.Sampler(lines)
    context.recording_logger = _logger("test.kept")


def _end_requests(context, name, now):
    for number in range(100):
        request_id = f"good {name} {number}"
        _end_request(
            context.sampler, context.recording_logger, request_id, True, now
        )
    for number in range(5):
        request_id = f"bad {name} {number}"
        _end_request(
            context.sampler, context.recording_logger, request_id, False, now
        )


@when("100 successful and 5 failed requests of 4 lines each end in a second")
def _(context):
    _end_requests(context, "a", 1000.5)


@when("another 100 successful and 5 failed requests end a second later")
def _(context):
    _end_requests(context, "b", 1001.5)


def _written(context, prefix):
    request_ids = context.recording_logger.handlers[0].requests
    return [
        request_id
        for request_id in request_ids
        if request_id.startswith(prefix)
    ]


@then("all lines of the failed requests were written")
def _(context):
    assert len(_written(context, "bad")) == 2 * 5 * 4


@then(
    "fewer than {limit:d} lines of the others were written and the rest counted"
)
def _(context, limit):
    count = len(_written(context, "good"))
    assert 0 < count < limit, count
    assert context.sampler.left_out == 800 - count


@given("two samplers of {lines:d} lines a second with different load")
def _(context, lines):
    context.written_by = []
    for load in (4, 1):
        sampler = request_log.Sampler(lines)
        logger = _logger(f"test.kept.{load}")
        for second in range(3):
            logger.handlers[0].requests.clear()
            for number in range(200):
                now = 1000.5 + second
                # The busier process also serves other requests.
                for _ in range(load - 1):
                    sampler.should_write(f"other {number}", 4, now)
                _end_request(sampler, logger, f"r{number}", True, now)
        context.written_by.append(set(logger.handlers[0].requests))


@then("the requests that the busier one writes are also written by the other")
def _(context):
    busier, other = context.written_by
    assert busier < other, (len(busier), len(other))


@given("a log handler whose reader is stalled")
def _(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.handler = log_output.BoundedHandler(writer, 1e9)
    context.handler.setFormatter(logs.KeyValueFormatter("e1"))


@when("{count:d} lines are logged")
def _(context, count):
    logger = logging.getLogger("test.stalled")
    logger.propagate = False
    logger.setLevel(logging.INFO)
    logger.handlers[:] = [context.handler]
    context.logged = count
    start = time.monotonic()
    for number in range(count):
        logger.info(logs.Event("step", number=number))
    context.took_s = time.monotonic() - start


@then("it took less than {max_s:g} s and the dropped lines are counted")
def _(context, max_s):
    assert context.took_s < max_s, context.took_s
    assert 0 < context.handler.left_out < context.logged


@when("the reader of the log resumes")
def _(context):
    received = []

    def read():
        while not context.done.is_set():
            received.append(os.read(context.reader, 1 << 20))

    context.done = threading.Event()
    reader_thread = threading.Thread(target=read, daemon=True)
    reader_thread.start()
    for _ in range(20):
        context.handler.flush()
        time.sleep(0.01)
    context.done.set()
    logging.getLogger("test.stalled").info(logs.Event("step", number=0))
    reader_thread.join(2)
    context.received = b"".join(received)


@then("the lines that the reader receives are whole")
def _(context):
    lines = context.received.decode().splitlines()
    assert len(lines) > 100
    for line in lines[:-1]:
        assert logs.parse_line(line).get("event") in ("step", "message"), line


@given("log lines of a request that was {how}")
def _(context, how):
    context.explained = [
        f"  0.1 e1 {_HEAD.format(n=number)} {line}"
        for number, line in enumerate(_LINES[how])
    ]


@then('its explanation contains "{text}"')
def _(context, text):
    other = _HEAD.format(n=0) + " event=ended request=r2 outcome=answered"
    lines = explain.gather("r1", [*reversed(context.explained), other])
    assert len(lines) == len(context.explained)
    assert text in explain.cause(lines), explain.cause(lines)
