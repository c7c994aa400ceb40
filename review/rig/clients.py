"""A stand-in client: sends one request and reads its stream to the end."""

import secrets
import socket
import threading
import time

from .fleet import Record

READ_BYTES = 65_536


class Ask:
    """One try of a client, on a connection of its own."""

    def __init__(
        self,
        record: Record,
        address: str,
        host: str,
        path: str,
        tokens: int = 400,
        deadline_ms: int = 8_000,
        more: dict[str, str] | None = None,
    ) -> None:
        """Prepare the request; `more` are further headers."""
        self.record = record
        self.address = address
        self.id = secrets.token_hex(8)
        self.deadline_ms = deadline_ms
        fields = {
            "Host": host,
            "Request-Id": self.id,
            "Model-Id": "m",
            "Token-Usage": f"{tokens},24",
            "Prompt-Prefix": f"{secrets.token_hex(4)}:{tokens}",
            "Deadline-Remaining": str(deadline_ms),
            "Content-Length": "5",
            **(more or {}),
        }
        lines = [f"POST {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
        self.request = ("\r\n".join(lines) + "\r\n\r\n").encode() + b"hello"
        self.path = path
        self.answer = b""
        self.is_closed = False
        self.thread: threading.Thread | None = None

    def send(self) -> "Ask":
        """Send the request and read the answer in the background."""
        self.thread = threading.Thread(target=self._exchange, daemon=True)
        self.thread.start()
        return self

    def _exchange(self) -> None:
        host, _, port = self.address.rpartition(":")
        until_s = time.monotonic() + self.deadline_ms / 1000 + 1
        try:
            with socket.create_connection((host, int(port)), 1) as connection:
                connection.sendall(self.request)
                self.record.note(f"client sends {self.id} {self.path} to {self.address}")
                while not self.is_whole() and time.monotonic() < until_s:
                    connection.settimeout(max(0.01, until_s - time.monotonic()))
                    data = connection.recv(READ_BYTES)
                    if not data:
                        self.is_closed = True
                        break
                    self.answer += data
        except OSError as error:
            self.record.note(f"client of {self.id}: {error!r}")
        whole = "whole" if self.is_whole() else "not whole"
        self.record.note(f"client of {self.id} has {self.status} {whole}")

    @property
    def status(self) -> int:
        """The status of the answer, 0 before its head."""
        first = self.answer.split(b"\r\n", 1)[0].split(b" ")
        return int(first[1]) if len(first) > 1 and first[1].isdigit() else 0

    def is_whole(self) -> bool:
        """Whether the answer has come to its end."""
        head, end, body = self.answer.partition(b"\r\n\r\n")
        if not end:
            return False
        if b"transfer-encoding: chunked" in head.lower():
            return body.endswith(b"0\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(body) >= int(line.split(b":")[1])
        return self.is_closed

    def wait(self, timeout_s: float = 12.0) -> "Ask":
        """Wait for the end of the exchange."""
        if self.thread is not None:
            self.thread.join(timeout_s)
        return self
