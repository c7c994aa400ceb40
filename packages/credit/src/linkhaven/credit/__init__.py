"""Quotas of groups and tenants: token buckets, fair queueing, and their division over routers."""

from .admission_queues import AdmissionQueues
from .quota_allocator import GRANT_NUMBERS_PER_FENCE, QuotaAllocator
from .quota_owner import QuotaOwner
from .retry_budget import RetryBudget
from .tenant_quota import TenantQuotas

__all__ = [
    "GRANT_NUMBERS_PER_FENCE",
    "AdmissionQueues",
    "QuotaAllocator",
    "QuotaOwner",
    "RetryBudget",
    "TenantQuotas",
]
