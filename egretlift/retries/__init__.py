"""Limits on retries.

A retry is limited by the allowance of the caller's request, which covers the whole
call chain, and by the retry budget of the target service. Calls that an upstream
repeats by itself are charged to both. `egretlift.retries.arrivals` holds the budget
of repeated calls that the daemon of the called service enforces.
"""

from egretlift.retries.allowance import (
    Allowance,
    close_allowance,
    lend,
    open_allowance,
    settle,
    spend_retry,
)
from egretlift.retries.budget import (
    RetryBudget,
    RetryBudgets,
    find_budget,
    may_retry,
    record_request,
    spend_budget,
)
from egretlift.retries.repeats import (
    RepeatRecords,
    charge_repeat,
    fingerprint_request,
    had_failure,
    is_repeat,
    record_end,
)

__all__ = [
    "Allowance",
    "RepeatRecords",
    "RetryBudget",
    "RetryBudgets",
    "charge_repeat",
    "close_allowance",
    "find_budget",
    "fingerprint_request",
    "had_failure",
    "is_repeat",
    "lend",
    "may_retry",
    "open_allowance",
    "record_end",
    "record_request",
    "settle",
    "spend_budget",
    "spend_retry",
]
