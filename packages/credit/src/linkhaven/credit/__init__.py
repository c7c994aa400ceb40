"""Quotas of groups: token buckets, fair queueing, their allocation over routers, and retries."""

from .admission_queues import AdmissionQueues
from .quota_allocator import GRANT_NUMBERS_PER_FENCE, QuotaAllocator
from .retry_budget import RetryBudget

__all__ = ["GRANT_NUMBERS_PER_FENCE", "AdmissionQueues", "QuotaAllocator", "RetryBudget"]
