"""A TCP relay that can silently discard the bytes of its connections."""

import functools

import trio


class Relay:
    """Relays connections to `target`.

    After `blackhole_open_connections`, bytes of the open connections are
    discarded without a reset while new connections work, as with a middlebox
    that lost its connection table. After `cut`, all bytes are discarded.
    """

    def __init__(self, target):
        self._target = target
        self._epoch = 0
        self.accepted = 0
        self.is_cut = False
        self.address = ""

    def cut(self):
        """Discard all bytes, also those of new connections."""
        self.blackhole_open_connections()
        self.is_cut = True

    def blackhole_open_connections(self):
        """Discard all further bytes of the open connections."""
        self._epoch += 1

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Accept connections until cancelled."""
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                trio.serve_tcp, self._relay_connection, 0, host="127.0.0.1"
            )
            listeners = await nursery.start(serve)
            sock = listeners[0].socket
            self.address = f"127.0.0.1:{sock.getsockname()[1]}"
            task_status.started()

    async def _relay_connection(self, client_stream):
        self.accepted += 1
        if self.is_cut:
            await trio.sleep_forever()
        host, _, port = self._target.rpartition(":")
        target_stream = await trio.open_tcp_stream(host, int(port))
        async with target_stream, trio.open_nursery() as nursery:
            nursery.start_soon(
                self._copy, client_stream, target_stream, self._epoch
            )
            nursery.start_soon(
                self._copy, target_stream, client_stream, self._epoch
            )

    async def _copy(self, source, sink, epoch):
        try:
            async for data in source:
                if epoch == self._epoch:
                    await sink.send_all(data)
            if epoch == self._epoch:
                await sink.aclose()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await sink.aclose()
