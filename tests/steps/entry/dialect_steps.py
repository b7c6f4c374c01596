"""Steps of entry/dialect.feature."""

from behave import then
from behave import when
import httpcore

from hyssopfold.core.balancing import messages
from hyssopfold.entry import answers
from hyssopfold.entry import dialect

_THEIRS = dialect.Dialect(
    request_id=b"request-id",
    load=b"load",
    signature_header=b"signature",
    object_cookie=b"book",
    keeps_request_id=True,
    requires_request_id_echo=True,
    misdirected_status=421,
    states_not_run=lambda status, headers: b"refused" in headers,
)


class _Exchange:
    dialect = _THEIRS
    method = "GET"
    request_id = "r1"


@when('a request\'s cookies are "{cookies}"')
def _(context, cookies):
    headers = [(b"accept", b"book=9"), (b"cookie", cookies.encode())]
    context.object = _THEIRS.parse_object_key(headers)


@then('its object is "{expected}" where the cookie is called "book"')
def _(context, expected):
    assert context.object == expected, context.object


@then('its object is "" where the cookie is called "book"')
def _(context):
    assert context.object == "", context.object


@when('an answer tells the load "{text}"')
def _(context, text):
    context.load = _THEIRS.parse_load({b"load": text.encode()})


@then("the load is read as {read}")
def _(context, read):
    expected = None
    if read != "none":
        expected = messages.Load(*map(int, read.split()))
    assert context.load == expected, context.load


@when('an answer of status {status:d} bears "{names}"')
def _(context, status, names):
    _began(context, status, names.split(","))


@when('an answer of status {status:d} bears ""')
def _(context, status):
    _began(context, status, [])


def _began(context, status, names):
    headers = [(name.encode(), b"r1") for name in names]
    headers.append((b"content-length", b"0"))
    answer = httpcore.Response(status, headers=headers)
    context.began = answers.answer_began(_Exchange(), answer)


@then("it is signed {signed}, not run {not_run}, misdirected {elsewhere}")
def _(context, signed, not_run, elsewhere):
    began = context.began
    found = (began.is_signed, began.not_run, began.misdirected)
    assert [str(one) for one in found] == [signed, not_run, elsewhere], began
    if began.not_run:
        # A refusal without an id is the waiting request's.
        assert began.echoed == "r1"
