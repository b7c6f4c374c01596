"""The file of client blocks: built once, loaded at start, changed by a tail."""

import hashlib
import logging
import pathlib
from typing import BinaryIO

import msgspec
import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.core.steering import client_blocks

logger = logging.getLogger(__name__)

CHANGES_SUFFIX = ".changes"
PERIOD_S = 5.0
_DIGEST_BYTES = 32
_LENGTH_BYTES = 4


def build(source: str, target: str) -> int:
    """Build the table of a text file into a file; return its bytes.

    Raises:
        InvalidDocumentError: naming the first line that is wrong.
    """
    with open(source, encoding="utf-8") as lines:
        table = client_blocks.parse(lines, source)
    header = msgspec.msgpack.encode(table.header())
    parts = [len(header).to_bytes(_LENGTH_BYTES, "big"), header]
    parts += [one.tobytes() for one in table.arrays()]
    data = b"".join(parts)
    pathlib.Path(target).write_bytes(_digest(data).digest() + data)
    return len(data) + _DIGEST_BYTES


def load(path: str) -> client_blocks.Table:
    """Return the table in a file that `build` wrote.

    Raises:
        InvalidDocumentError: if the file is missing, cut short or no table.
    """
    try:
        with open(path, "rb") as file:
            return _read(file)
    except (OSError, ValueError, EOFError, msgspec.DecodeError) as exc:
        allowed = "a file written by `hyssopctl blocks build`"
        fault = errors.Fault(path, 1, "client_blocks", str(exc), allowed)
        raise errors.InvalidDocumentError([fault]) from exc


def _read(file: BinaryIO) -> client_blocks.Table:
    """Read a table straight into its arrays: no second copy is ever held."""
    expected = file.read(_DIGEST_BYTES)
    length = file.read(_LENGTH_BYTES)
    encoded = file.read(int.from_bytes(length, "big"))
    found = _digest(length)
    found.update(encoded)
    header = msgspec.msgpack.decode(encoded, type=client_blocks.Header)
    arrays = client_blocks.empty_arrays(header)
    for one, count in zip(arrays, header.counts, strict=True):
        one.fromfile(file, count)
        found.update(one)
    if found.digest() != expected or file.read(1):
        raise ValueError("a file whose checksum fits")
    return client_blocks.from_arrays(header, arrays)


def _digest(data: bytes) -> "hashlib.blake2b":
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES)


class ClientBlocks:
    """Keep a table of client blocks and apply the changes appended to it.

    Args:
        path: File that `build` wrote; empty when there is none.
    """

    def __init__(self, path: str) -> None:
        self._changes = pathlib.Path(path + CHANGES_SUFFIX)
        self._offset = 0
        self.table = load(path) if path else client_blocks.Table()

    def region_of(self, client: str) -> str | None:
        """Return the region at home for a client, or None if not known."""
        site = self.table.site_of(client)
        return None if site is None else site.region

    async def run(self) -> None:
        """Apply whole lines that were appended, for as long as it runs."""
        while True:
            self.apply_changes()
            await trio.sleep(PERIOD_S)

    def apply_changes(self) -> int:
        """Apply the lines appended since the last time; return their count."""
        try:
            size = self._changes.stat().st_size
        except OSError:
            return 0
        if size < self._offset:
            # Someone began the file anew: all of its lines are later ones.
            self._offset = 0
        with self._changes.open("rb") as file:
            file.seek(self._offset)
            whole = file.read(size - self._offset).rpartition(b"\n")[0]
        if not whole:
            return 0
        self._offset += len(whole) + 1
        text = whole.decode("utf-8", "replace").splitlines()
        source = str(self._changes)
        try:
            count = client_blocks.apply(self.table, text, source)
        except errors.InvalidDocumentError as exc:
            logger.warning(logs.Event("bad-client-blocks", error=exc.summary))
            return 0
        logger.info(logs.Event("client-blocks-changed", lines=count))
        return count
