"""Steps of entry/dialect.feature."""

from behave import then
from behave import when

from hyssopfold.core.balancing import messages
from hyssopfold.entry import answers
from hyssopfold.entry import dialect
from hyssopfold.entry import http1

_DIALECT = dialect.Dialect(
    request_id=b"request-id",
    load=b"load",
    rate_limit=b"limit",
    signature_header=b"signature",
    object_cookie=b"book",
    keeps_request_id=True,
    requires_request_id_echo=True,
    misdirected_status=421,
    states_not_run=lambda status, headers: b"refused" in headers,
)


class _Exchange:
    dialect = _DIALECT
    method = "GET"
    request_id = "r1"


@when('a request\'s cookies are "{cookies}"')
def _(context, cookies):
    headers = [(b"accept", b"book=9"), (b"cookie", cookies.encode())]
    context.object = _DIALECT.parse_object_key(headers)


@then('its object is "{expected}" if the object cookie is "book"')
def _(context, expected):
    assert context.object == expected, context.object


@then('its object is "" if the object cookie is "book"')
def _(context):
    assert context.object == "", context.object


@when('an answer reports the load "{text}"')
def _(context, text):
    context.load = _DIALECT.parse_load({b"load": text.encode()})


@then("the parsed load is {read}")
def _(context, read):
    expected = None
    if read != "none":
        expected = messages.Load(*map(int, read.split()))
    assert context.load == expected, context.load


@when('an answer of status {status:d} has the headers "{names}"')
def _(context, status, names):
    _read_answer(context, status, names.split(","))


@when('an answer of status {status:d} has the headers ""')
def _(context, status):
    _read_answer(context, status, [])


def _read_answer(context, status, names):
    headers = [(name.encode(), b"r1") for name in names]
    headers.append((b"content-length", b"0"))
    answer = http1.Answer(status, headers, body=None)
    context.event = answers.answer_began(_Exchange(), answer)


@then("it is signed {signed}, not run {not_run}, misdirected {misdirected}")
def _(context, signed, not_run, misdirected):
    event = context.event
    actual = (event.is_signed, event.not_run, event.misdirected)
    assert [str(value) for value in actual] == [signed, not_run, misdirected], (
        event
    )
    if event.not_run:
        # A refusal without an id belongs to the waiting request.
        assert event.echoed == "r1"


@when('an answer names the rate limit "{text}"')
def _(context, text):
    context.rate_limit = _DIALECT.parse_rate_limit({b"limit": text.encode()})


@when('an answer names the rate limit ""')
def _(context):
    context.rate_limit = _DIALECT.parse_rate_limit({b"limit": b""})


@then("the parsed rate limit is {expected}")
def _(context, expected):
    value = None if expected == "none" else float(expected)
    assert context.rate_limit == value, context.rate_limit


@when('an answer with status {status:d} has retry-after "{text}"')
def _(context, status, text):
    headers = {b"retry-after": text.encode()}
    context.rest_s = dialect.DEFAULT_DIALECT.parse_rest_s(status, headers)


@when('an answer with status {status:d} has retry-after ""')
def _(context, status):
    context.rest_s = dialect.DEFAULT_DIALECT.parse_rest_s(status, {})


@then("the server wants no requests for {seconds:g} s")
def _(context, seconds):
    assert context.rest_s == seconds, context.rest_s
