"""Callers and operators of a chaos test; they record what they receive."""

import itertools
import json
import pathlib
import random

import h11
import trio
import yaml

from bench.chaos import history
from bench.chaos import layout
from bench.load import connection

HOST = "mrema.example"
_EXAMPLE = "examples/mrema.yaml"
# Organisations of the run, beside the tables of the example.
_ORGANISATIONS = """
organisations:
  - {name: press, keys: [press-key], rate: 200, burst: 100}
  - {name: school, keys: [school-key]}
"""
ORGANISATION = "press"
KEY = "press-key"
# What a stranger sends instead of a key.
_STRANGER_HEADERS = (
    (),
    (("hyssop-key", "press-key-"),),
    (("hyssop-key", "press-key"), ("hyssop-key", "school-key")),
    (("hyssop-organisation", "press"),),
)
STRANGERS_PATH = "/catalogue/stranger-"
_TIMEOUT_S = 15.0
_MAX_TRIES = 6
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


async def send_request(
    address: str,
    method: str,
    target: str,
    body_bytes: int = 0,
    headers: tuple[tuple[str, str], ...] = (),
    pause_s: float = 0.0,
    credentials: tuple[tuple[str, str], ...] = (("hyssop-key", KEY),),
) -> connection.Answer:
    """Return the answer to one request, sent on a new connection.

    Args:
        address: Address of the server.
        method: Method of the request.
        target: Path and query.
        body_bytes: Size of the body.
        headers: Headers besides host and connection.
        pause_s: Seconds between the parts of the body.
        credentials: Headers that say which organisation the caller belongs to.

    Raises:
        OSError: or another of `FAILURES`: no complete answer was received.
    """
    conn = connection.Connection(address)
    try:
        with trio.fail_after(_TIMEOUT_S):
            all_headers = [
                ("host", HOST),
                ("connection", "close"),
                *credentials,
                *headers,
            ]
            return await conn.request(
                method, target, all_headers, body_bytes, pause_s
            )
    finally:
        conn.close()


class Callers:
    """Callers that read, pay and upload until they are cancelled.

    Args:
        run_history: Records the outcomes.
        rng: Source of random choices.
        start_time: Time at which the run began.
    """

    def __init__(
        self,
        run_history: history.History,
        rng: random.Random,
        start_time: float,
    ) -> None:
        self._history = run_history
        self._rng = rng
        self._start_time = start_time
        self._numbers = itertools.count()

    async def _look_up_entry(self, path: str) -> str | None:
        """Return an entry, looked up at a random one, or None if that fails."""
        lookup_entry = self._rng.choice(layout.names(layout.ENTRY))
        target = f"/hyssop/v1/lookup?host={HOST}&path={path}&client=127.0.0.1"
        try:
            answer = await send_request(
                layout.http_address(lookup_entry), "GET", target
            )
            entries = json.loads(answer.body)["entries"]
            return str(self._rng.choice(entries[:2])["address"])
        except (*FAILURES, LookupError, TypeError):
            await trio.sleep(0.05)
            return None

    async def read(self) -> None:
        """Read pages and check that each response is for the requested path."""
        while True:
            path = f"/catalogue/{next(self._numbers)}"
            entry = await self._look_up_entry(path)
            if entry is None:
                continue
            try:
                answer = await send_request(entry, "GET", path)
            except connection.NotConnectedError:
                continue
            except FAILURES:
                self._history.reads[history.LOST] += 1
                continue
            self._history.reads[str(answer.status)] += 1
            if answer.status == 200 and json.loads(answer.body)["path"] != path:
                self._history.misdelivered_paths.append(path)

    async def intrude(self) -> None:
        """Send requests without a valid key, of which none may run."""
        while True:
            number = next(self._numbers)
            path = f"{STRANGERS_PATH}{number}"
            entry = await self._look_up_entry(path)
            if entry is None:
                continue
            headers = _STRANGER_HEADERS[number % len(_STRANGER_HEADERS)]
            try:
                answer = await send_request(
                    entry, "GET", path, credentials=headers
                )
            except (connection.NotConnectedError, *FAILURES):
                continue
            self._history.strangers[str(answer.status)] += 1
            await trio.sleep(0.05)

    async def pay(self) -> None:
        """Send payments; repeat one only if it certainly did not run."""
        while True:
            key = f"payment-{next(self._numbers)}"
            outcome = await self._pay(key)
            self._history.payments[key] = history.Payment(key, outcome)

    async def _pay(self, key: str) -> str:
        outcome = history.NOT_RUN
        path = f"/payments/{key}"
        headers = (("idempotency-key", key),)
        for _ in range(_MAX_TRIES):
            entry = await self._look_up_entry(path)
            if entry is None:
                continue
            try:
                answer = await send_request(entry, "POST", path, 200, headers)
            except connection.NotConnectedError:
                continue
            except FAILURES:
                return history.LOST
            outcome = _read_outcome(answer)
            if outcome != history.NOT_RUN:
                return outcome
            await trio.sleep(0.2)
        return outcome

    async def upload(self) -> None:
        """Upload slowly, so that planned stops occur during uploads."""
        while True:
            path = f"/books/{next(self._numbers)}"
            entry = await self._look_up_entry(path)
            if entry is None:
                continue
            start_s = trio.current_time() - self._start_time
            try:
                answer = await send_request(
                    entry, "PUT", path, _UPLOAD_BYTES, (), _UPLOAD_PAUSE_S
                )
                outcome = _read_outcome(answer)
            except connection.NotConnectedError:
                continue
            except FAILURES:
                outcome = history.LOST
            end_s = trio.current_time() - self._start_time
            upload = history.Upload(path, start_s, end_s, outcome)
            self._history.uploads.append(upload)


def _read_outcome(answer: connection.Answer) -> str:
    outcome = answer.headers.get(b"hyssop-outcome")
    if outcome is not None:
        return outcome.decode("latin-1")
    return history.ANSWERED if answer.status == 200 else history.UNKNOWN


class Operators:
    """Operators that send concurrent edits based on the same revision.

    Args:
        run_history: Records the accepted edits.
        rng: Source of random choices.
    """

    def __init__(
        self, run_history: history.History, rng: random.Random
    ) -> None:
        self._history = run_history
        self._rng = rng
        self._numbers = itertools.count(1)
        self._tables = yaml.safe_load(first_tables())

    async def race_edits(self) -> None:
        """Repeatedly send two concurrent edits based on the same revision."""
        while True:
            revision = await self.revision()
            if revision is not None:
                number = next(self._numbers)
                async with trio.open_nursery() as nursery:
                    for suffix in ("a", "b"):
                        change_id = f"edit-{number}-{suffix}"
                        nursery.start_soon(self._edit, change_id, revision)
            await trio.sleep(self._rng.uniform(0.5, 1.5))

    async def revision(self) -> int | None:
        """Return the revision in force, read at a random control instance.

        Returns:
            The revision, or None if the instance gave no valid answer.
        """
        control = self._rng.choice(layout.names(layout.CONTROL))
        try:
            answer = await send_request(
                layout.http_address(control), "GET", "/hyssop/v1/tables"
            )
            return int(json.loads(answer.body)["revision"])
        except (*FAILURES, LookupError):
            return None

    async def _edit(self, change_id: str, expect: int) -> None:
        """Send an edit until answered below 500, at most `_MAX_TRIES` times."""
        text = self._edited_tables()
        for _ in range(_MAX_TRIES):
            control = self._rng.choice(layout.names(layout.CONTROL))
            try:
                answer = await put_tables(control, change_id, expect, text)
            except FAILURES:
                await trio.sleep(0.3)
                continue
            if answer.status == 200:
                revision = int(json.loads(answer.body)["revision"])
                self._history.record_accepted(change_id, revision)
            if answer.status < 500:
                return
            await trio.sleep(0.3)

    def _edited_tables(self) -> str:
        tables = json.loads(json.dumps(self._tables))
        for pool in tables["pools"]:
            pool["headroom"] = round(self._rng.uniform(0.0, 0.2), 3)
        return str(yaml.safe_dump(tables))


def first_tables() -> str:
    """Return the tables that the run begins with."""
    example = pathlib.Path(_EXAMPLE).read_text(encoding="utf-8")
    return example + _ORGANISATIONS


async def put_tables(
    control: str, change_id: str, expect: int, text: str
) -> connection.Answer:
    """Send an edit to one control instance and return the answer.

    Args:
        control: Name of the control instance.
        change_id: Id of the change.
        expect: Revision that the edit is based on.
        text: The tables.

    Raises:
        OSError: or another of `FAILURES`: no complete answer was received.
    """
    body = {"expect": expect, "change_id": change_id, "tables": text}
    conn = connection.Connection(layout.http_address(control))
    try:
        with trio.fail_after(_TIMEOUT_S):
            return await conn.send_bytes(
                "PUT", "/hyssop/v1/tables", HOST, json.dumps(body).encode()
            )
    finally:
        conn.close()
