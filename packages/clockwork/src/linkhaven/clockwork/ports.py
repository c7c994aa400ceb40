from .text import write_json


class Ports:
    """What a node may touch: clock.now_us(); wire.tell() and wire.open();
    disk.load() and disk.write(); dice as random.Random; log(number, **facts)."""

    __slots__ = ("clock", "wire", "disk", "dice", "log")

    def __init__(self, clock, wire, disk, dice, log):
        self.clock = clock
        self.wire = wire
        self.disk = disk
        self.dice = dice
        self.log = log


class Hearer:
    __slots__ = ("on_head", "on_data", "on_end", "on_trouble")

    def __init__(self, on_head, on_data, on_end, on_trouble):
        self.on_head = on_head
        self.on_data = on_data
        self.on_end = on_end
        self.on_trouble = on_trouble


class Call:
    """One HTTP exchange as the serving node sees it; shells fill in the five writers."""

    __slots__ = ("method", "path", "headers", "body", "on_gone", "on_room", "is_begun", "is_ended")

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.on_gone = None
        self.on_room = None
        self.is_begun = False
        self.is_ended = False

    def answer(self, status, headers, body):
        raise NotImplementedError

    def begin(self, status, headers):
        raise NotImplementedError

    def write(self, data):
        raise NotImplementedError

    def finish(self):
        raise NotImplementedError

    def cut(self):
        raise NotImplementedError

    def answer_json(self, status, document, headers=None):
        self.answer(
            status, {"content-type": "application/json", **(headers or {})}, write_json(document)
        )

    def answer_trouble(self, trouble, headers=None):
        headers = dict(headers or {})
        if trouble.retry_us is not None:
            headers["retry-after"] = str(max(1, -(-trouble.retry_us // 1_000_000)))
        self.answer_json(trouble.status, trouble.as_document(), headers)

    def has_gone(self):
        if self.is_ended:
            return
        self.is_ended = True
        if self.on_gone:
            self.on_gone()
