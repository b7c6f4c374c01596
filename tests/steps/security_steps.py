"""Steps of security.feature."""

import contextlib
import os
import pathlib
import random
import shutil
import ssl
import tempfile

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import trio

from hyssopfold import access
from hyssopfold import application
from hyssopfold import certificates
from hyssopfold import errors
from hyssopfold import reloading
from hyssopfold import security
from hyssopfold import settings
from hyssopfold.transport import auth
from hyssopfold.transport import rpc
from tests.steps.transport import rpc_steps
from tests.support import loopback

KEYS = pathlib.Path(__file__).parents[1] / "support" / "keys"
KEY = b"a-key-of-our-processes"
KIND = "Datagram"


class Clock:
    def __init__(self):
        self.now = 1_000_000.0

    def __call__(self):
        return self.now


def _refuses(keyring, sealed, kind=KIND):
    try:
        keyring.open(kind, sealed)
    except auth.UnauthenticatedError:
        return True
    return False


@given("a keyring and messages sealed by a peer with the same key")
def _(context):
    context.clock = Clock()
    context.keyring = auth.Keyring((KEY,), clock=context.clock)
    context.peer = auth.Keyring((KEY,), clock=context.clock)


@then("the keyring opens each sealed message once")
def _(context):
    for number in range(3):
        sealed = context.peer.seal(KIND, b"%d" % number)
        assert context.keyring.open(KIND, sealed) == b"%d" % number
        assert _refuses(context.keyring, sealed), "accepted twice"
        context.clock.now += auth.MAX_AGE_S / 2
        assert _refuses(context.keyring, sealed), "accepted twice, later"


@then(
    "the keyring refuses changed, cut, old and early messages and other types"
)
def _(context):
    sealed = context.peer.seal(KIND, b"message")
    for position in range(len(sealed)):
        changed = bytearray(sealed)
        changed[position] ^= 1
        assert _refuses(context.keyring, bytes(changed)), position
        assert _refuses(context.keyring, sealed[:position]), position
    assert _refuses(context.keyring, sealed, "Poll")
    context.clock.now += auth.MAX_AGE_S + 1
    assert _refuses(context.keyring, sealed)
    context.clock.now -= 2 * auth.MAX_AGE_S + 2
    assert _refuses(context.keyring, sealed)


@then("the keyring without keys opens sealed and plain messages")
def _(context):
    plain = auth.Keyring()
    assert plain.open(KIND, context.peer.seal(KIND, b"message")) == b"message"
    assert plain.open(KIND, plain.seal(KIND, b"\x93")) == b"\x93"
    lenient = auth.Keyring((KEY,), required=False, clock=context.clock)
    assert lenient.open(KIND, b"\x93") == b"\x93"
    assert _refuses(context.keyring, b"\x93")


@then("the keyring remembers no more MACs than its limit")
def _(context):
    auth.MAX_REMEMBERED_MACS, original = 50, auth.MAX_REMEMBERED_MACS
    try:
        for _ in range(200):
            context.keyring.open(KIND, context.peer.seal(KIND, b"m"))
            context.clock.now += 0.001
        assert len(context.keyring._seen_macs) <= 50
    finally:
        auth.MAX_REMEMBERED_MACS = original
    context.clock.now += 3 * auth.MAX_AGE_S
    context.keyring.open(KIND, context.peer.seal(KIND, b"m"))
    assert len(context.keyring._seen_macs) == 1


@then("the keyring refuses random bytes with its own error")
def _(context):
    @hypothesis.given(strategies.binary(max_size=80), strategies.booleans())
    @hypothesis.settings(max_examples=300)
    def check(data, marked):
        assert _refuses(context.keyring, b"\xc1" + data if marked else data)

    check()


@given('a token guard with tokens "{one}" and "{two}"')
def _(context, one, two):
    context.guard = access.Guard((one.encode(), two.encode()), "ask")


def _scope(header):
    headers = [] if header == "none" else [(b"authorization", header.encode())]
    return {"headers": headers}


@when('a request has the authorization header "{header}"')
def _(context, header):
    context.answer = context.guard.refuse(_scope(header))


@then('the result of the token guard is "{result}"')
def _(context, result):
    actual = "passes" if context.answer is None else str(context.answer.status)
    assert actual == result, actual


def _folder(context):
    folder = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, folder)
    return pathlib.Path(folder)


@given("a token guard loaded from a token file")
def _(context):
    context.path = _folder(context) / "tokens"
    context.path.write_text("# ours\nthe-first-token-of-ours\n")
    context.guard = access.load(str(context.path), "ask")
    context.reloader = reloading.Reloader()

    def reload_tokens():
        context.guard.replace(auth.read_keys(str(context.path)))

    context.reloader.watch((str(context.path),), reload_tokens)


def _passes(guard, token):
    return guard.refuse(_scope(f"Bearer {token}")) is None


@when("the token file is replaced, then damaged, then removed, then restored")
def _(context):
    context.accepted = []
    steps = (
        "the-first-token-of-ours\nthe-second-token-of-ours\n",
        "short\n",
        None,
        "the-second-token-of-ours\n",
    )
    for text in steps:
        if text is None:
            context.path.unlink()
        else:
            new_file = context.path.with_suffix(".new")
            new_file.write_text(text)
            os.replace(new_file, context.path)
        context.reloader.check()
        context.accepted.append(
            [
                _passes(context.guard, f"the-{name}-token-of-ours")
                for name in ("first", "second")
            ]
        )


@then("the token guard used each valid file and kept the last valid tokens")
def _(context):
    both, second = [True, True], [False, True]
    assert context.accepted == [both, both, both, second], context.accepted


def _copy(name, folder):
    for ending in (".pem", "-key.pem"):
        source = KEYS / f"{name}{ending}"
        target = folder / f"shown{ending}"
        shutil.copyfile(source, target)
    return str(folder / "shown.pem"), str(folder / "shown-key.pem")


@given("a system whose control instance has tokens and a certificate")
def _(context):
    folder = _folder(context)
    context.folder = folder
    (folder / "tokens").write_text("the-operators-token-1\n")
    certificate, key = _copy("one", folder)
    system = loopback.System(folder)
    context.system = system
    system.control_settings()
    with (folder / "control.yaml").open("a") as file:
        file.write(f"\noperators_token_file: {folder}/tokens\n")
        file.write(f"tls_certificate_file: {certificate}\n")
        file.write(f"tls_key_file: {key}\n")
    context.cfg = settings.load_control(str(folder / "control.yaml"))


async def _tls_status(address, token):
    """Return the status of a GET and the name in the server's certificate."""
    context = ssl.create_default_context(cafile=str(KEYS / "ca.pem"))
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    tls = trio.SSLStream(stream, context, server_hostname=host)
    async with tls:
        header = f"authorization: Bearer {token}\r\n" if token else ""
        await tls.send_all(
            f"GET /hyssop/v1/tables HTTP/1.1\r\nhost: x\r\n{header}"
            "connection: close\r\n\r\n".encode()
        )
        head = await tls.receive_some()
        certificate = tls.getpeercert()
    return int(head.split()[1]), certificate["subject"][0][0][1]


@when("operators with and without the token connect over TLS")
def _(context):
    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(application.run_control, context.cfg)
                context.responses = await _connect_operators(context)
                nursery.cancel_scope.cancel()

    reloading.PERIOD_S, original = 0.05, reloading.PERIOD_S
    try:
        trio.run(main)
    finally:
        reloading.PERIOD_S = original


async def _connect_operators(context):
    address = context.system.control
    while True:
        with contextlib.suppress(OSError):
            host, _, port = address.rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.aclose()
            break
        await trio.sleep(0.05)
    token = "the-operators-token-1"
    responses = [
        await _tls_status(address, None),
        await _tls_status(address, token),
    ]
    _copy("two", context.folder)
    while True:
        status, name = await _tls_status(address, token)
        if name == "two":
            return [*responses, (status, name)]
        await trio.sleep(0.05)


@then("only the operator with the token was accepted")
def _(context):
    assert context.responses[:2] == [(401, "one"), (200, "one")], (
        context.responses
    )


@then("new connections get the new certificate after it was replaced")
def _(context):
    assert context.responses[2] == (200, "two"), context.responses


def _files(name):
    return certificates.Files(
        str(KEYS / f"{name}.pem"),
        str(KEYS / f"{name}-key.pem"),
        str(KEYS / "ca.pem"),
    )


@given("an rpc server with a certificate that requires client certificates")
def _(context):
    context.tls = certificates.ServerContext(_files("one")).context


@when("peers with a valid, a foreign and no certificate call the rpc server")
def _(context):
    config = rpc.ConnectionConfig(auth.Keyring(), random.Random(1))
    address = loopback.free_address()
    no_certificate = ssl.create_default_context(cafile=str(KEYS / "ca.pem"))
    contexts = [
        certificates.ClientContext(_files("two")).context,
        certificates.ClientContext(_files("stranger")).context,
        no_certificate,
        None,
    ]

    async def ping(req):
        return rpc_steps.Pong(b"hello")

    async def main():
        context.outcomes = []
        async with rpc.open_loop(), trio.open_nursery() as nursery:
            with trio.fail_after(20):
                await nursery.start(
                    rpc.serve,
                    address,
                    {rpc_steps.PING: ping},
                    config._replace(server_tls=context.tls),
                )
                for tls in contexts:
                    client_config = config._replace(client_tls=tls)
                    client = rpc.Client(address, client_config)
                    context.outcomes.append(
                        await rpc_steps._outcome(client, rpc_steps.Ping(), 1.0)
                    )
            nursery.cancel_scope.cancel()

    trio.run(main)


@then("only the peer with the valid certificate was answered")
def _(context):
    first, *others = context.outcomes
    assert first == rpc_steps.Pong(b"hello"), first
    for other in others:
        assert isinstance(other, errors.PeerUnavailableError), other


@when("settings name a short key, a missing token file and a certificate")
def _(context):
    folder = _folder(context)
    (folder / "keys").write_text("tooshort\n")
    system = loopback.System(folder)
    cfg = system.control_settings()
    unusable = (
        {"peer_key_file": f"{folder}/keys"},
        {"operators_token_file": f"{folder}/none"},
        {
            "tls_certificate_file": str(KEYS / "one.pem"),
            "tls_key_file": str(KEYS / "two-key.pem"),
        },
    )
    context.texts = []
    for fields in unusable:
        try:
            security.load(cfg._replace(**fields), random.Random(1))
        except errors.InvalidDocumentError as exc:
            context.texts.append(str(exc))


@then("each unusable file is reported with a remedy and no key is shown")
def _(context):
    keys, token, certificate = context.texts
    assert "16 characters or more" in keys, keys
    assert "tooshort" not in keys, keys
    assert "readable" in token, token
    assert "whose certificate and key match" in certificate, certificate


class SealedSystem(loopback.System):
    """A small system whose processes authenticate each other."""

    def _common(self, *arguments):
        fields = super()._common(*arguments)
        fields["peer_key_file"] = self.folder / "keys"
        fields["peer_certificate_file"] = KEYS / "one.pem"
        fields["peer_certificate_key_file"] = KEYS / "one-key.pem"
        fields["peer_issuers_file"] = KEYS / "ca.pem"
        return fields


@given("a system whose processes share keys and use certificates")
def _(context):
    folder = _folder(context)
    (folder / "keys").write_text("the-key-of-all-our-processes\n")
    context.system = SealedSystem(folder)
    context.pools = ("catalogue", "ledger")
