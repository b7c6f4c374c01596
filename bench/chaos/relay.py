"""TCP relay in front of a control instance that can cut or delay the link."""

import contextlib

import trio

_RECEIVE_BYTES = 65_536


class Relay:
    """Forwards bytes between entries and one control instance.

    While `cut` is true it drops all bytes; `delay_s` delays each read.

    Args:
        listen: Address to which the entries connect.
        target: Address of the control instance.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self.cut = False
        self.delay_s = 0.0

    async def run(self) -> None:
        """Forward connections until cancelled."""
        host, _, port = self._listen.rpartition(":")
        await trio.serve_tcp(self._forward, int(port), host=host)

    async def _forward(self, client_stream: trio.SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            server_stream = await trio.open_tcp_stream(host, int(port))
            async with (
                server_stream,
                client_stream,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(
                    self._copy, client_stream, server_stream, nursery
                )
                nursery.start_soon(
                    self._copy, server_stream, client_stream, nursery
                )

    async def _copy(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        nursery: trio.Nursery,
    ) -> None:
        with contextlib.suppress(
            OSError, trio.BrokenResourceError, trio.ClosedResourceError
        ):
            async for data in source:
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                # A cut drops the bytes and keeps the connections open, so that
                # neither end gets an error, as when a firewall or NAT device
                # has lost the connection's state.
                if not self.cut:
                    await destination.send_all(data)
        nursery.cancel_scope.cancel()
