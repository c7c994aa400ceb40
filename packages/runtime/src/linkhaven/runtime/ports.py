"""The ports through which a node touches the world, and a call as a serving node sees it."""

from .text import write_json


class Ports:
    """What a node may touch.

    clock.now_us(); network.send() and network.open(); storage.load() and storage.write();
    random as random.Random; log(number, **facts).
    """

    __slots__ = ("clock", "network", "storage", "random", "log")

    def __init__(self, clock, network, storage, random, log):
        """The shell or the simulated world gives all five; `storage` is None without a folder."""
        self.clock = clock
        self.network = network
        self.storage = storage
        self.random = random
        self.log = log


class ResponseHandler:
    """What becomes of an outgoing call: its head, its data, then one of end and error."""

    __slots__ = ("on_head", "on_data", "on_end", "on_error")

    def __init__(self, on_head, on_data, on_end, on_error):
        """`on_error` is told whether any byte of the request may have been handed over."""
        self.on_head = on_head
        self.on_data = on_data
        self.on_end = on_end
        self.on_error = on_error


class Call:
    """One HTTP exchange as the serving node sees it; shells fill in the five writers."""

    __slots__ = (
        "method",
        "path",
        "headers",
        "body",
        "on_client_disconnect",
        "on_writable",
        "is_begun",
        "is_ended",
    )

    def __init__(self, method, path, headers, body):
        """`headers` by lower-case names."""
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.on_client_disconnect = None
        self.on_writable = None
        self.is_begun = False
        self.is_ended = False

    def answer(self, status, headers, body):
        """Write the whole answer."""
        raise NotImplementedError

    def begin(self, status, headers):
        """Write the head of an answer that comes in parts."""
        raise NotImplementedError

    def write(self, data):
        """Write a part; answers whether there is room for more, else `on_writable` tells that."""
        raise NotImplementedError

    def finish(self):
        """End an answer that is whole."""
        raise NotImplementedError

    def cut(self):
        """Break an answer off so that it can't look whole."""
        raise NotImplementedError

    def answer_json(self, status, document, headers=None):
        """Write a JSON document as the whole answer."""
        self.answer(
            status, {"content-type": "application/json", **(headers or {})}, write_json(document)
        )

    def answer_error(self, error, headers=None):
        """Write an error as the whole answer, with Retry-After in whole seconds if it has one."""
        headers = dict(headers or {})
        if error.retry_us is not None:
            headers["retry-after"] = str(max(1, -(-error.retry_us // 1_000_000)))
        self.answer_json(error.status, error.as_document(), headers)

    def client_disconnected(self):
        """The caller closed its connection before the answer ended."""
        if self.is_ended:
            return
        self.is_ended = True
        if self.on_client_disconnect:
            self.on_client_disconnect()
