"""A TCP relay that can forget the connections it carries."""

import functools

import trio


class Relay:
    """Pass bytes to `target`; `forget` swallows them without a word.

    New connections work after `forget`, as with a middlebox that lost its
    table of connections.
    """

    def __init__(self, target):
        self._target = target
        self._epoch = 0
        self.accepted = 0
        self.address = ""

    def forget(self):
        """Swallow all that comes on the connections there are."""
        self._epoch += 1

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Accept until cancelled."""
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                trio.serve_tcp, self._carry, 0, host="127.0.0.1"
            )
            listeners = await nursery.start(serve)
            sock = listeners[0].socket
            self.address = f"127.0.0.1:{sock.getsockname()[1]}"
            task_status.started()

    async def _carry(self, near):
        self.accepted += 1
        host, _, port = self._target.rpartition(":")
        far = await trio.open_tcp_stream(host, int(port))
        async with far, trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, near, far, self._epoch)
            nursery.start_soon(self._pump, far, near, self._epoch)

    async def _pump(self, source, sink, epoch):
        try:
            async for data in source:
                if epoch == self._epoch:
                    await sink.send_all(data)
            if epoch == self._epoch:
                await sink.aclose()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await sink.aclose()
