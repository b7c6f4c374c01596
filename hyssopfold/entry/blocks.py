"""The file of client blocks: built once, loaded at start, changed by a tail."""

import hashlib
import logging
import pathlib

import msgspec
import trio

from hyssopfold import errors
from hyssopfold import logs
from hyssopfold.core.steering import blocks

logger = logging.getLogger(__name__)

CHANGES_SUFFIX = ".changes"
PERIOD_S = 5.0
_DIGEST_BYTES = 32


def build(source: str, target: str) -> int:
    """Build the table of a text file into a file; return its bytes.

    Raises:
        InvalidDocumentError: naming the first line that is wrong.
    """
    with open(source, encoding="utf-8") as lines:
        table = blocks.parse(lines, source)
    data = msgspec.msgpack.encode(table.packed())
    digest = hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
    pathlib.Path(target).write_bytes(digest + data)
    return len(data) + _DIGEST_BYTES


def load(path: str) -> blocks.Table:
    """Return the table in a file that `build` wrote.

    Raises:
        InvalidDocumentError: if the file is missing, cut short or no table.
    """
    try:
        data = memoryview(pathlib.Path(path).read_bytes())
        digest, body = data[:_DIGEST_BYTES], data[_DIGEST_BYTES:]
        found = hashlib.blake2b(body, digest_size=_DIGEST_BYTES).digest()
        if found != digest:
            raise ValueError("a file whose checksum fits")
        packed = msgspec.msgpack.decode(body, type=blocks.Packed)
        return blocks.unpack(packed)
    except (OSError, ValueError, msgspec.DecodeError) as exc:
        allowed = "a file written by `hyssopctl blocks build`"
        fault = errors.Fault(path, 1, "client_blocks", str(exc), allowed)
        raise errors.InvalidDocumentError([fault]) from exc


class Blocks:
    """Keep a table of client blocks and apply the changes appended to it.

    Args:
        path: File that `build` wrote; empty when there is none.
    """

    def __init__(self, path: str) -> None:
        self._changes = pathlib.Path(path + CHANGES_SUFFIX)
        self._offset = 0
        self.table = load(path) if path else blocks.Table()

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
            count = blocks.apply(self.table, text, source)
        except errors.InvalidDocumentError as exc:
            logger.warning(logs.Event("bad-client-blocks", error=exc.summary))
            return 0
        logger.info(logs.Event("client-blocks-changed", lines=count))
        return count
