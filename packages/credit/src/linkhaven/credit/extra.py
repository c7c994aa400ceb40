from linkhaven.clockwork import Bucket

PRESSURE_US = 3_000_000
PRESSURE_MOST = 4


class ExtraBudget:
    """This router's part of the fleet's extra shots. Each request earns its share, earnings are capped at the part of
    the margin that the bursar granted, and without a part there is nothing to save: over any span the fleet spends
    at most share x requests + margin, however many routers run. Requests and attempts of each pool of runners are
    counted apart: what one pool's requests earn is not spent on another."""

    __slots__ = (
        "node",
        "share",
        "bucket",
        "buckets",
        "spent",
        "refused",
        "grant",
        "until_us",
        "pressure",
        "asked_us",
        "refused_us",
    )

    def __init__(self, node):
        self.node = node
        self.share = 0.0
        self.bucket = Bucket(0.0, 0.0, node.now_us())
        self.buckets = {None: self.bucket}
        self.spent = {}
        self.refused = 0
        self.grant = 0
        self.until_us = 0
        self.pressure = []
        self.asked_us = None
        self.refused_us = None
        node.systems.append(self.tick)

    def take_plan(self, plan):
        self.share = plan["extra"]["share"]
        pools = plan.get("pools") or {}
        for pool in [pool for pool in self.buckets if pool is not None and pool not in pools]:
            del self.buckets[pool]

    def take_part(self, part, grant, until_us):
        if grant <= self.grant:
            return
        self.grant = grant
        self.until_us = until_us
        self._resize(part, self.node.now_us())

    def _resize(self, part, now_us):
        for bucket in self.buckets.values():
            bucket.resize(0.0, part, now_us)

    def _bucket_of(self, pool):
        bucket = self.buckets.get(pool)
        if bucket is None:
            bucket = self.buckets[pool] = Bucket(
                0.0, self.bucket.size, self.node.now_us(), level=0.0
            )
        return bucket

    def tick(self, now_us):
        if now_us >= self.until_us and self.bucket.size:
            self._resize(0.0, now_us)

    def tell_want(self):
        """One part where there are requests, and one more for each extra shot that was wanted lately."""
        now_us = self.node.now_us()
        self.pressure = [at_us for at_us in self.pressure if now_us - at_us < PRESSURE_US]
        is_used = self.asked_us is not None and now_us - self.asked_us < PRESSURE_US
        return {
            "wanted": is_used + min(PRESSURE_MOST, len(self.pressure)),
            "rate": self.bucket.size if now_us < self.until_us else 0,
            "grant": self.grant,
        }

    def is_pressed(self):
        """Whether an extra shot was wanted lately that this router's part did not allow."""
        return self.refused_us is not None and self.node.now_us() - self.refused_us < PRESSURE_US

    def earn(self, pool=None):
        self.asked_us = self.node.now_us()
        self.tick(self.asked_us)
        bucket = self._bucket_of(pool)
        bucket.level = min(bucket.size, bucket.level + self.share)

    def has(self, cost, pool=None):
        return self._bucket_of(pool).level >= cost

    def spend(self, why, keep=0.0, cost=1, pool=None):
        now_us = self.node.now_us()
        self.tick(now_us)
        if not keep:
            self.pressure.append(now_us)
        bucket = self._bucket_of(pool)
        if bucket.level < cost + keep:
            self.refused += 1
            self.refused_us = now_us
            return False
        bucket.level -= cost
        self.spent[why] = self.spent.get(why, 0) + cost
        return True

    def keep_back(self):
        return max(0.0, (self.bucket.size - 1) / 2)
