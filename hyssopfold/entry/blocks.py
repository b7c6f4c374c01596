"""The file of client blocks: built offline, loaded at start.

While an entry runs, it applies the changes that are appended to a second file.
"""

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
    """Build the binary file of client blocks from a text file.

    Args:
        source: Path of the text file, see `client_blocks.parse`.
        target: Path of the file to be written.

    Returns:
        The size of the written file in bytes.

    Raises:
        InvalidDocumentError: naming the first invalid line.
    """
    with open(source, encoding="utf-8") as lines:
        table = client_blocks.parse(lines, source)
    header = msgspec.msgpack.encode(table.header())
    parts = [len(header).to_bytes(_LENGTH_BYTES, "big"), header]
    parts += [items.tobytes() for items in table.arrays()]
    data = b"".join(parts)
    pathlib.Path(target).write_bytes(_new_hash(data).digest() + data)
    return len(data) + _DIGEST_BYTES


def load(path: str) -> client_blocks.Table:
    """Return the table of a file written by `build`.

    Raises:
        InvalidDocumentError: if the file is missing, truncated or no table.
    """
    try:
        with open(path, "rb") as file:
            return _read(file)
    except (OSError, ValueError, EOFError, msgspec.DecodeError) as exc:
        allowed = "a file written by `hyssopctl blocks build`"
        fault = errors.Fault(path, 1, "client_blocks", str(exc), allowed)
        raise errors.InvalidDocumentError([fault]) from exc


def _read(file: BinaryIO) -> client_blocks.Table:
    """Read a table directly into its arrays, without a second copy."""
    expected = file.read(_DIGEST_BYTES)
    length = file.read(_LENGTH_BYTES)
    encoded = file.read(int.from_bytes(length, "big"))
    checksum = _new_hash(length)
    checksum.update(encoded)
    header = msgspec.msgpack.decode(encoded, type=client_blocks.Header)
    arrays = client_blocks.empty_arrays(header)
    for items, count in zip(arrays, header.counts, strict=True):
        items.fromfile(file, count)
        checksum.update(items)
    if checksum.digest() != expected or file.read(1):
        raise ValueError("a file with a wrong checksum")
    return client_blocks.from_arrays(header, arrays)


def _new_hash(data: bytes) -> "hashlib.blake2b":
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES)


class ClientBlocks:
    """Table of client blocks, kept up to date with the file of changes.

    The steering of an entry uses it to find the home region of a caller. The
    file of changes has the path of the table with `CHANGES_SUFFIX` appended.

    Args:
        path: File written by `build`; empty if there is none.

    Attributes:
        table: The table with the changes applied so far.
    """

    def __init__(self, path: str) -> None:
        self._changes_path = pathlib.Path(path + CHANGES_SUFFIX)
        self._offset = 0
        self.table = load(path) if path else client_blocks.Table()

    def region_of(self, client: str) -> str | None:
        """Return the home region of a client's address, or None if unknown."""
        site = self.table.site_of(client)
        return None if site is None else site.region

    async def run(self) -> None:
        """Apply appended changes every `PERIOD_S` until cancelled."""
        while True:
            self.apply_changes()
            await trio.sleep(PERIOD_S)

    def apply_changes(self) -> int:
        """Apply the complete lines appended since the last call.

        Returns:
            The number of changes applied, or 0 if a line is invalid. The lines
            before the invalid one are applied, those after it are skipped.
        """
        try:
            size = self._changes_path.stat().st_size
        except OSError:
            return 0
        if size < self._offset:
            # The file was replaced by a new one, whose lines are all new.
            self._offset = 0
        with self._changes_path.open("rb") as file:
            file.seek(self._offset)
            complete_lines = file.read(size - self._offset).rpartition(b"\n")[0]
        if not complete_lines:
            return 0
        self._offset += len(complete_lines) + 1
        lines = complete_lines.decode("utf-8", "replace").splitlines()
        source = str(self._changes_path)
        try:
            count = client_blocks.apply(self.table, lines, source)
        except errors.InvalidDocumentError as exc:
            logger.warning(logs.Event("bad-client-blocks", error=exc.summary))
            return 0
        logger.info(logs.Event("client-blocks-changed", lines=count))
        return count
