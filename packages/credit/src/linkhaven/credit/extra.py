from linkhaven.clockwork import Bucket


class ExtraBudget:
    """This router's part of the fleet's extra shots. Each request earns its share, earnings are capped
    at the margin's part, and a start begins with none: over any span at most share x requests + part."""

    __slots__ = ("node", "share", "bucket", "spent", "refused")

    def __init__(self, node):
        self.node = node
        self.share = 0.0
        self.bucket = Bucket(0.0, 0.0, node.now_us())
        self.spent = {}
        self.refused = 0

    def take_plan(self, plan):
        self.share = plan["extra"]["share"]
        self.bucket.resize(0.0, plan["extra"]["margin"] / plan["fleet"]["routers"], self.node.now_us())

    def earn(self):
        self.bucket.level = min(self.bucket.size, self.bucket.level + self.share)

    def spend(self, why, keep=0.0):
        if self.bucket.level < 1 + keep:
            self.refused += 1
            return False
        self.bucket.level -= 1
        self.spent[why] = self.spent.get(why, 0) + 1
        return True

    def keep_back(self):
        return max(0.0, (self.bucket.size - 1) / 2)
