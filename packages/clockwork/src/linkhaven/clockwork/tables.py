class Table(dict):
    __slots__ = ()

    def rows(self):
        return list(self.values())

    def drop(self, key):
        return self.pop(key, None)


class Bucket:
    __slots__ = ("rate", "size", "level", "filled_us")

    def __init__(self, rate, size, now_us, level=None):
        self.rate = rate
        self.size = size
        self.level = size if level is None else level
        self.filled_us = now_us

    def fill(self, now_us):
        passed_us = now_us - self.filled_us
        if passed_us > 0:
            self.level = min(self.size, self.level + self.rate * passed_us / 1_000_000)
            self.filled_us = now_us
        return self.level

    def resize(self, rate, size, now_us):
        self.fill(now_us)
        self.rate = rate
        self.size = size
        self.level = min(self.level, size)

    def wait_us(self, cost, now_us):
        level = self.fill(now_us)
        if level >= cost:
            return 0
        if self.rate <= 0:
            return 10_000_000
        return int((cost - level) / self.rate * 1_000_000) + 1
