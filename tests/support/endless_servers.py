"""Servers that send bytes without end, as fast as the reader takes them.

They run in threads of their own, so that they go on sending while the event
loop of the entry is busy.
"""

import re
import socket
import threading
import time

from tests.support import loopback

# A server gives up then: a loop that reads all that comes, and never runs
# another task, ends and the test can fail.
GIVE_UP_S = 6.0
_BLOCK_BYTES = 64 * 1024
# The part of an answer that a caller looks at.
_KEPT_BYTES = 1024
_HEAD = b"HTTP/1.1 200 OK\r\nhyssop-request-id: %s\r\n"
_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"

# What is sent first, and what is then repeated without end.
_ANSWERS = {
    "bytes that are no HTTP": (b"", b"\x00\xff\x80 no answer \r\n\r\n"),
    "a line that is no HTTP": (b"", b"x"),
    "a status line": (b"HTTP/1.1 200 O", b"K"),
    "headers": (_HEAD, b"x-more: value\r\n"),
    "a header": (_HEAD + b"x-more: ", b"y"),
    "informational answers 100": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "informational answers 103": (b"", b"HTTP/1.1 103 \r\nlink: a\r\n\r\n"),
    "a body without a length": (_HEAD + b"\r\n", b"body"),
    "a chunked body": (_HEAD + _CHUNKED, b"1000\r\n" + b"y" * 4096 + b"\r\n"),
    "a body of tiny chunks": (_HEAD + _CHUNKED, b"8\r\nyyyyyyyy\r\n"),
    "a chunk extension": (_HEAD + _CHUNKED + b"5;a=", b"b"),
    "trailers": (_HEAD + _CHUNKED + b"1\r\ny\r\n0\r\n", b"x-more: value\r\n"),
    "bytes after an answer": (
        _HEAD + b"content-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\n",
    ),
    "bytes after an empty answer": (
        _HEAD + b"content-length: 0\r\n\r\n",
        b"\x00",
    ),
}
_PAUSE = " after a pause"
_PAUSE_S = 0.3


class EndlessServer:
    """A server that sends without end after the head of a request.

    Args:
        what: What it sends, a key of `_ANSWERS`, perhaps with `_PAUSE`: then the
            end of the first bytes and the others are apart in time.

    Attributes:
        address: The address on which it listens.
        open_connections: Number of connections that it has not seen closed.
        sent_bytes: Bytes that all its connections accepted.
    """

    def __init__(self, what):
        self.address = loopback.free_address()
        self.open_connections = 0
        self.sent_bytes = 0
        self._first, self._repeated = _ANSWERS[what.removesuffix(_PAUSE)]
        self._pause_s = _PAUSE_S if what.endswith(_PAUSE) else 0.0
        host, port = self.address.split(":")
        self._listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Accept no further connections."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.open_connections += 1
            threading.Thread(
                target=self._send, args=(sock,), daemon=True
            ).start()

    def _send(self, sock):
        sock.settimeout(GIVE_UP_S)
        try:
            self._send_without_end(sock)
        except OSError:
            # The entry closed the connection, or no longer reads.
            self.open_connections -= 1
        finally:
            sock.close()

    def _send_without_end(self, sock):
        head = sock.recv(_BLOCK_BYTES)
        if not head:
            raise ConnectionResetError
        request_id = re.search(
            rb"hyssop-request-id: (\S+)", head, re.IGNORECASE
        )
        echo = request_id.group(1) if request_id else b"none"
        first = self._first
        if first.startswith(_HEAD):
            first = _HEAD % echo + first.removeprefix(_HEAD)
        sock.sendall(first)
        time.sleep(self._pause_s)
        count = -(-_BLOCK_BYTES // len(self._repeated))
        block = self._repeated * count
        give_up_at = time.monotonic() + GIVE_UP_S
        while time.monotonic() < give_up_at:
            self.sent_bytes += sock.send(block)


class BlockingCaller:
    """A caller in a thread of its own, which reads as fast as it can.

    Args:
        address: Address of the entry.
        head: The request to send.
        patience_s: Time after which it closes its connection.
    """

    def __init__(self, address, head, patience_s=GIVE_UP_S):
        self._address = address
        self._head = head
        self._patience_s = patience_s

    def run(self):
        """Return the status or 0, how the answer ended, and its time in s."""
        host, port = self._address.split(":")
        began = time.monotonic()
        data, end = b"", "open"
        with socket.create_connection((host, int(port))) as sock:
            sock.settimeout(self._patience_s)
            sock.sendall(self._head)
            try:
                while part := sock.recv(_BLOCK_BYTES):
                    if len(data) < _KEPT_BYTES:
                        data += part
                    if _is_complete(data):
                        end = "complete"
                        break
                    if time.monotonic() - began > self._patience_s:
                        end = "left"
                        break
                else:
                    end = "closed"
            except TimeoutError:
                end = "none"
            except OSError:
                end = "cut"
        status = int(data.split(b" ")[1]) if data else 0
        return status, end, time.monotonic() - began


def _is_complete(data):
    """Return whether data is an answer with its complete counted body."""
    head, separator, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
    return bool(separator and length and len(body) >= int(length.group(1)))
