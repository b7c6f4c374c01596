"""A fake link in front of a control instance: passes, cuts, delays."""

import contextlib

import trio

_RECEIVE_BYTES = 65_536


class Relay:
    """Carry bytes between entries and one control instance.

    Args:
        listen: Address that entries know.
        target: Address of the control instance.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self.cut = False
        self.delay_s = 0.0

    async def run(self) -> None:
        """Carry connections until cancelled."""
        host, _, port = self._listen.rpartition(":")
        await trio.serve_tcp(self._carry, int(port), host=host)

    async def _carry(self, near: trio.SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            far = await trio.open_tcp_stream(host, int(port))
            async with far, near, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, near, far, nursery)
                nursery.start_soon(self._copy, far, near, nursery)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        nursery: trio.Nursery,
    ) -> None:
        with contextlib.suppress(
            OSError, trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async for data in source:
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                # A cut swallows what is sent and closes nothing: both ends
                # see silence, as when something in between forgot them.
                if not self.cut:
                    await sink.send_all(data)
        nursery.cancel_scope.cancel()
