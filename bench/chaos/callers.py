"""Callers and operators of a failure run, and what they note down."""

import itertools
import json
import random

import h11
import trio
import yaml

from bench.chaos import books
from bench.chaos import layout
from bench.load import connection

HOST = "mrema.example"
EXAMPLE = "examples/mrema.yaml"
_TIMEOUT_S = 15.0
_TRIES = 6
_UPLOAD_BYTES = 1_000_000
_UPLOAD_PAUSE_S = 0.1
FAILURES = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    h11.ProtocolError,
    ValueError,
)


async def ask(
    address: str,
    method: str,
    target: str,
    body_size: int = 0,
    headers: tuple[tuple[str, str], ...] = (),
    pause_s: float = 0.0,
) -> connection.Answer:
    """Return the answer to one request on a connection of its own.

    Raises:
        OSError: or another of `FAILURES`, when no whole answer came.
    """
    caller = connection.Connection(address)
    try:
        with trio.fail_after(_TIMEOUT_S):
            named = [("host", HOST), ("connection", "close"), *headers]
            return await caller.request(
                method, target, named, body_size, pause_s
            )
    finally:
        caller.close()


class Callers:
    """Read, pay and upload until told to stop.

    Args:
        notes: Where what was told is noted.
        rng: Source of choices.
        began: Time at which the run began.
    """

    def __init__(
        self, notes: books.Books, rng: random.Random, began: float
    ) -> None:
        self._notes = notes
        self._rng = rng
        self._began = began
        self._numbers = itertools.count()

    async def _entry(self, path: str) -> str | None:
        """Return the entry that some entry's look-up names."""
        asked = self._rng.choice(layout.names(layout.ENTRY))
        target = f"/hyssop/v1/lookup?host={HOST}&path={path}&client=127.0.0.1"
        try:
            answer = await ask(layout.http_address(asked), "GET", target)
            named = json.loads(answer.body)["entries"]
            return str(self._rng.choice(named[:2])["address"])
        except (*FAILURES, LookupError, TypeError):
            await trio.sleep(0.05)
            return None

    async def read(self) -> None:
        """Read one page after another; each must be the one asked for."""
        while True:
            path = f"/catalogue/{next(self._numbers)}"
            entry = await self._entry(path)
            if entry is None:
                continue
            try:
                answer = await ask(entry, "GET", path)
            except connection.NotConnectedError:
                continue
            except FAILURES:
                self._notes.reads[books.LOST] += 1
                continue
            self._notes.reads[str(answer.status)] += 1
            if answer.status == 200 and json.loads(answer.body)["path"] != path:
                self._notes.crossed.append(path)

    async def pay(self) -> None:
        """Pay; try again only when told that it did not run."""
        while True:
            key = f"payment-{next(self._numbers)}"
            told = await self._pay(key)
            self._notes.payments[key] = books.Payment(key, told)

    async def _pay(self, key: str) -> str:
        told = books.NOT_RUN
        path = f"/payments/{key}"
        headers = (("idempotency-key", key),)
        for _ in range(_TRIES):
            entry = await self._entry(path)
            if entry is None:
                continue
            try:
                answer = await ask(entry, "POST", path, 200, headers)
            except connection.NotConnectedError:
                continue
            except FAILURES:
                return books.LOST
            told = _told(answer)
            if told != books.NOT_RUN:
                return told
            await trio.sleep(0.2)
        return told

    async def upload(self) -> None:
        """Upload slowly, so that planned stops come in the midst of it."""
        while True:
            path = f"/books/{next(self._numbers)}"
            entry = await self._entry(path)
            if entry is None:
                continue
            began = trio.current_time() - self._began
            try:
                answer = await ask(
                    entry, "PUT", path, _UPLOAD_BYTES, (), _UPLOAD_PAUSE_S
                )
                told = _told(answer)
            except connection.NotConnectedError:
                continue
            except FAILURES:
                told = books.LOST
            ended = trio.current_time() - self._began
            upload = books.Upload(path, began, ended, told)
            self._notes.uploads.append(upload)


def _told(answer: connection.Answer) -> str:
    outcome = answer.headers.get(b"hyssop-outcome")
    if outcome is not None:
        return outcome.decode("latin-1")
    return books.ANSWERED if answer.status == 200 else books.UNKNOWN


class Operators:
    """Race each other with edits of one revision.

    Args:
        notes: Where what was accepted is noted.
        rng: Source of choices.
    """

    def __init__(self, notes: books.Books, rng: random.Random) -> None:
        self._notes = notes
        self._rng = rng
        self._numbers = itertools.count(1)
        with open(EXAMPLE, encoding="utf-8") as file:
            self._tables = yaml.safe_load(file)

    async def race(self) -> None:
        """Send two edits of the same revision at once, over and over."""
        while True:
            revision = await self.revision()
            if revision is not None:
                number = next(self._numbers)
                async with trio.open_nursery() as nursery:
                    for side in ("a", "b"):
                        change_id = f"edit-{number}-{side}"
                        nursery.start_soon(self._edit, change_id, revision)
            await trio.sleep(self._rng.uniform(0.5, 1.5))

    async def revision(self) -> int | None:
        """Return the revision in force, as some control instance reads it."""
        control = self._rng.choice(layout.names(layout.CONTROL))
        try:
            answer = await ask(
                layout.http_address(control), "GET", "/hyssop/v1/tables"
            )
            return int(json.loads(answer.body)["revision"])
        except (*FAILURES, LookupError):
            return None

    async def _edit(self, change_id: str, expect: int) -> None:
        """Send an edit until it is settled, as an operator would."""
        text = self._text()
        for _ in range(_TRIES):
            control = self._rng.choice(layout.names(layout.CONTROL))
            try:
                answer = await put_tables(control, change_id, expect, text)
            except FAILURES:
                await trio.sleep(0.3)
                continue
            if answer.status == 200:
                revision = int(json.loads(answer.body)["revision"])
                self._notes.accept(change_id, revision)
            if answer.status < 500:
                return
            await trio.sleep(0.3)

    def _text(self) -> str:
        changed = json.loads(json.dumps(self._tables))
        for pool in changed["pools"]:
            pool["headroom"] = round(self._rng.uniform(0.0, 0.2), 3)
        return str(yaml.safe_dump(changed))


async def put_tables(
    control: str, change_id: str, expect: int, text: str
) -> connection.Answer:
    """Send an edit to one control instance.

    Raises:
        OSError: or another of `FAILURES`, when no whole answer came.
    """
    body = {"expect": expect, "change_id": change_id, "tables": text}
    caller = connection.Connection(layout.http_address(control))
    try:
        with trio.fail_after(_TIMEOUT_S):
            return await caller.send_bytes(
                "PUT", "/hyssop/v1/tables", HOST, json.dumps(body).encode()
            )
    finally:
        caller.close()
