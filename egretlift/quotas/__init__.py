"""Strict limits on an organisation's rate and burst over all hosts and zones.

``share`` is the host's side of the allocation and ``allocator`` the side of the host
that holds the zone lease; ``zone_lease`` decides which host holds the lease, and
``zone_shares`` divides rate and burst between zones. The functions do no input or
output: they take the time as an argument and change only the state passed to them.

``home``, ``purse`` and ``demand`` belong to another scheme, in which one host per
zone, the owner of a rate, grants tokens to the hosts of its zone.
"""

from egretlift.quotas import zone_lease, zone_shares
from egretlift.quotas.allocator import (
    Allocator,
    allocate,
    expire_grants,
    find_zone_demand,
    fits_limits,
    resize_allocator,
    start_allocator,
)
from egretlift.quotas.bucket import Bucket, draw
from egretlift.quotas.share import (
    Allocation,
    AllocationRequest,
    Share,
    apply_allocation,
    compute_demand,
    count_available_tokens,
    count_demand,
    draw_from_share,
    is_request_due,
    make_request,
)
from egretlift.quotas.zone_lease import (
    LeaseState,
    ZoneLease,
    confirm_lease,
    holds_lease,
    may_take_over,
    record_confirmation,
)
from egretlift.quotas.zone_shares import ZoneShares, plan_transfer

__all__ = [
    "Allocation",
    "AllocationRequest",
    "Allocator",
    "Bucket",
    "LeaseState",
    "Share",
    "ZoneLease",
    "ZoneShares",
    "allocate",
    "apply_allocation",
    "compute_demand",
    "confirm_lease",
    "count_available_tokens",
    "count_demand",
    "draw",
    "draw_from_share",
    "expire_grants",
    "find_zone_demand",
    "fits_limits",
    "holds_lease",
    "is_request_due",
    "make_request",
    "may_take_over",
    "plan_transfer",
    "record_confirmation",
    "resize_allocator",
    "start_allocator",
    "zone_lease",
    "zone_shares",
]
