"""Stand-ins for the platform's list and the model runners, which behave as PROTOCOL.md says."""

import asyncio
import contextlib
import json
import secrets
import threading
from collections.abc import Callable
from typing import Any

from .fleet import Record
from .http1 import Exchange, listen

HANDLE_PREFIX = "/kv-handle/"
READ_S = 0.02


class Runner:
    """A sound model runner: it reads prompts, or streams answers piece by piece."""

    def __init__(self, record: Record, service: str, address: str, phase: str) -> None:
        """Begin a life under a new id."""
        self.record = record
        self.service = service
        self.address = address
        self.phase = phase
        self.id = f"i-{secrets.token_hex(4)}"
        self.lifecycle = "available"
        self.capacity = 64
        self.kv_capacity = 403_008
        self.kv_held = 0
        self.piece_s = 0.05
        self.pieces = 24
        self.orders = 0
        self.active = 0
        self.handles: set[str] = set()
        self.runs: list[tuple[str, str]] = []
        self.on_request: Callable[[Exchange], Any] | None = None

    def entry(self) -> dict[str, Any]:
        """Return its entry in the platform's list."""
        return {
            "instance_id": self.id,
            "target_service": self.service,
            "address": self.address,
            "zone": "cau-giay",
            "revision": "v1",
            "capacity": self.capacity,
            "lifecycle": self.lifecycle,
            "cold_remaining_ms": 0,
            "phase": self.phase,
            "models": [{"name": "m", "revision": 1, "adapters": []}],
        }

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        headers = exchange.headers
        if headers.get("expected-instance", self.id) != self.id:
            return await self._turn_away(exchange, 421)
        if exchange.path == "/report":
            return await exchange.answer_json(200, self._report())
        if exchange.path == "/health":
            return await exchange.answer(200, b"", {"Instance-Id": self.id})
        if exchange.path == "/order":
            return await self._take_order(exchange)
        if exchange.path.startswith(HANDLE_PREFIX):
            self.handles.discard(exchange.path.removeprefix(HANDLE_PREFIX))
            return await exchange.answer(200, b"")
        if headers.get("serving-phase") == "prefill":
            return await self._read(exchange)
        if self.phase != "decode":
            return await self._turn_away(exchange, 421)
        await self._run(exchange)

    def _report(self) -> dict[str, Any]:
        return {
            "phase": self.phase,
            "models": [{"name": "m", "revision": 1, "adapters": []}],
            "utilization": False,
            "sequence": self.orders,
            "queued": 0,
            "active": self.active,
            "kv_used": self.kv_held,
            "kv_capacity": self.kv_capacity,
            "kv_handles": len(self.handles),
        }

    async def _turn_away(self, exchange: Exchange, status: int) -> None:
        name = exchange.headers.get("request-id", "")
        self.record.note(f"{self.service} {self.id} turns {name} away: {status}")
        fields = {"Request-Id": name, "Instance-Id": self.id, "Not-Executed": "1"}
        await exchange.answer(status, b"", fields)

    async def _take_order(self, exchange: Exchange) -> None:
        order = json.loads(exchange.body)
        self.record.note(f"{self.service} {self.id} takes an order: {order}")
        self.orders += 1
        self.phase = order["phase"]
        await exchange.answer_json(202, {})

    async def _read(self, exchange: Exchange) -> None:
        if self.phase != "prefill":
            return await self._turn_away(exchange, 421)
        await asyncio.sleep(READ_S)
        handle = secrets.token_hex(6)
        self.handles.add(handle)
        document = {"kv_handle": handle, "token_count": 1, "revision": 1}
        fields = {"Request-Id": exchange.headers.get("request-id", "")}
        await exchange.answer_json(200, document, fields)

    async def _run(self, exchange: Exchange) -> None:
        """Stream the pieces of an answer that come after `Last-Event-Id`."""
        name = exchange.headers.get("request-id", "")
        after = int(exchange.headers.get("last-event-id", 0))
        self.runs.append((name, exchange.path))
        self.record.note(f"{self.service} {self.id} runs {name} {exchange.path} after {after}")
        seal = {"Request-Id": name, "Response-Seal": f"{self.id}.{name}"}
        self.active += 1
        pause_s = self.piece_s
        try:
            await exchange.begin(200, {"Content-Type": "text/event-stream", **seal})
            for number in range(after + 1, self.pieces + 1):
                await asyncio.sleep(pause_s)
                text = f"id: {number}\ndata: {self.service} {name}.{number}\n\n"
                await exchange.chunk(text.encode())
            await exchange.chunk(b"")
        except ConnectionError:
            self.record.note(f"{self.service} {self.id} loses the caller of {name}")
            raise
        finally:
            self.active -= 1


class StandIns:
    """The platform's list and all runners, served by a thread of their own."""

    def __init__(self, record: Record, platform_address: str) -> None:
        """Start without runners."""
        self.record = record
        self.platform_address = platform_address
        self.runners: list[Runner] = []
        self.loop = asyncio.new_event_loop()
        self.servers: dict[str, asyncio.Server] = {}
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self._run(self._listen_platform())

    def _run(self, work: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(5)

    async def _listen_platform(self) -> None:
        self.servers[self.platform_address] = await listen(self.platform_address, self._serve_list)

    async def _serve_list(self, exchange: Exchange) -> None:
        entries = [runner.entry() for runner in self.runners]
        await exchange.answer_json(200, {"instances": entries, "next_page_token": None})

    def add(self, runner: Runner) -> Runner:
        """Start a runner and list it."""

        async def start() -> None:
            self.servers[runner.address] = await listen(runner.address, runner.serve)
            self.runners.append(runner)

        self._run(start())
        self.record.note(f"{runner.service} {runner.id} starts as {runner.phase}")
        return runner

    def end(self) -> None:
        """Stop serving."""

        async def stop() -> None:
            self.loop.set_exception_handler(lambda loop, context: None)
            for server in self.servers.values():
                server.close()
            for task in asyncio.all_tasks():
                if task is not asyncio.current_task():
                    task.cancel()

        with contextlib.suppress(Exception):
            self._run(stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(2)
