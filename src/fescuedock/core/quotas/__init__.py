"""One limit of a customer over all nodes, without a write to a store for each call."""

from fescuedock.core.quotas.bucket import Bucket, BucketTerms
from fescuedock.core.quotas.holder import LocalAllowance, QuotaRoute, SilentOwners
from fescuedock.core.quotas.owner import QuotaOwner, QuotaPolicy

__all__ = [
    "Bucket",
    "BucketTerms",
    "LocalAllowance",
    "QuotaOwner",
    "QuotaPolicy",
    "QuotaRoute",
    "SilentOwners",
]
