"""Backend servers of the test; run as `python -m bench.stops.servers SPEC`.

A request says with its headers how long it runs and how long its answer is.
"""

import json
import pathlib
import random
import sys
import time
from typing import Any

import trio

from bench.stops import layout
from bench.stops import wire

_QUEUE_PER_SLOT = 3
_REGISTER_TIMEOUT_S = 1.0


class Server:
    """A server of one service, which registers itself.

    Args:
        spec: Its id, service, failure domain, IP address and slots.
        controls: Addresses of the control instances.
        record: Where its runs are written.
    """

    def __init__(
        self, spec: dict[str, Any], controls: list[str], record: wire.Record
    ) -> None:
        self._spec = spec
        self._controls = controls
        self._record = record
        self._slots = trio.CapacityLimiter(spec["slots"])
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0

    async def run(self) -> None:
        """Serve and register until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=self._spec["ip"])
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            while True:
                await self._register(f"{self._spec['ip']}:{port}")
                await trio.sleep(layout.HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def _register(self, address: str) -> None:
        self._sequence += 1
        body = {
            "service": self._spec["service"],
            "addr": address,
            "zone": self._spec["zone"],
            "version": "v1",
            "slots": self._spec["slots"],
            "state": "ready",
            "cold_left_s": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        path = f"/api/Instances.Heartbeat/{self._spec['id']}"
        for control in random.sample(self._controls, len(self._controls)):
            answer = await wire.call(
                control, "POST", path, body, timeout_s=_REGISTER_TIMEOUT_S
            )
            if answer.status == 200:
                return

    async def _serve(self, stream: trio.SocketStream) -> None:
        reader = wire.Reader(stream)
        try:
            async with stream:
                peer = stream.socket.getpeername()[0]
                while True:
                    first, headers = await reader.head()
                    await reader.body(headers)
                    await self._answer(stream, reader, peer, first, headers)
        except (OSError, EOFError, ValueError, trio.BrokenResourceError):
            pass

    async def _answer(
        self,
        stream: trio.SocketStream,
        reader: wire.Reader,
        peer: str,
        first: str,
        headers: dict[str, str],
    ) -> None:
        fields: dict[str, Any] = {"Instance-Id": self._spec["id"]}
        request_id = headers.get("request-id", "")
        fields["Request-Id"] = request_id
        status, body = "200 OK", b""
        waiting = self._slots.statistics().tasks_waiting
        if first.split()[1] != "/health":
            if waiting >= self._spec["slots"] * _QUEUE_PER_SLOT:
                status, fields["Not-Executed"] = "503 Busy", "1"
            elif headers.get("target-instance", "") != self._spec["id"]:
                status, fields["Not-Executed"] = "421 Misdirected", "1"
            else:
                await self._run(stream, reader, peer, request_id, headers)
                return
        fields["Content-Length"] = len(body)
        await stream.send_all(
            wire.encode_head(f"HTTP/1.1 {status}", fields) + body
        )

    async def _run(
        self,
        stream: trio.SocketStream,
        reader: wire.Reader,
        peer: str,
        request_id: str,
        headers: dict[str, str],
    ) -> None:
        begun_at = time.monotonic()
        run = {
            "id": request_id,
            "server": self._spec["id"],
            "peer": peer,
            "begun_at": begun_at,
            "ended_at": 0.0,
            "written_at": 0.0,
            "end": "dropped",
        }
        deadline_s = float(headers.get("deadline-ms", "10000")) / 1000
        work_s = float(headers.get("work-ms", "20")) / 1000
        run["end"] = "late"
        with trio.move_on_after(deadline_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    _watch_for_end, reader, run, nursery.cancel_scope
                )
                async with self._slots:
                    await trio.sleep(work_s)
                run["end"] = "finished"
                nursery.cancel_scope.cancel()
        run["ended_at"] = time.monotonic()
        status = "200 OK" if run["end"] == "finished" else "504 Late"
        body = b"x" * int(headers.get("answer-bytes", "400"))
        statistics = self._slots.statistics()
        load = (statistics.borrowed_tokens, statistics.tasks_waiting)
        fields = {
            "Instance-Id": self._spec["id"],
            "Request-Id": request_id,
            "Response-Stamp": f"s.{request_id}",
            "Server-Load": f"{load[0]},{load[1]},{self._spec['slots']}",
            "Content-Length": len(body),
        }
        try:
            if run["end"] == "dropped":
                raise EOFError
            await stream.send_all(
                wire.encode_head(f"HTTP/1.1 {status}", fields) + body
            )
            run["written_at"] = time.monotonic()
        finally:
            self._record.write(run)


async def _watch_for_end(
    reader: wire.Reader, run: dict[str, Any], scope: trio.CancelScope
) -> None:
    """Drop a run when its connection ends."""
    try:
        while True:
            await reader.more()
    except (OSError, EOFError, trio.BrokenResourceError):
        run["end"] = "dropped"
        scope.cancel()


async def _main(spec: dict[str, Any]) -> None:
    record = wire.Record(spec["record"])
    async with trio.open_nursery() as nursery:
        for server in spec["servers"]:
            nursery.start_soon(Server(server, spec["controls"], record).run)


if __name__ == "__main__":
    trio.run(_main, json.loads(pathlib.Path(sys.argv[1]).read_text()))
