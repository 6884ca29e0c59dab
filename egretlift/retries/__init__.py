"""Limits on retries.

A retry is limited by the allowance of the caller's request, which covers the whole
call chain, and by the retry budget of the target service. Calls that an upstream
repeats by itself are charged to both. `egretlift.retries.arrivals` holds the budget
of repeated calls that the daemon of the called service enforces.
"""

from egretlift.retries.allowance import (
    RetryAllowance,
    close_allowance,
    lend_retries,
    open_allowance,
    settle_loan,
    spend_retry,
)
from egretlift.retries.budget import (
    RetryBudget,
    RetryBudgets,
    charge_retry,
    ensure_budget,
    record_first_attempt,
    spend_budget,
)
from egretlift.retries.repeats import (
    RepeatRecords,
    charge_repeat,
    fingerprint_request,
    had_failure,
    is_repeat,
    record_call_outcome,
)

__all__ = [
    "RepeatRecords",
    "RetryAllowance",
    "RetryBudget",
    "RetryBudgets",
    "charge_repeat",
    "charge_retry",
    "close_allowance",
    "ensure_budget",
    "fingerprint_request",
    "had_failure",
    "is_repeat",
    "lend_retries",
    "open_allowance",
    "record_call_outcome",
    "record_first_attempt",
    "settle_loan",
    "spend_budget",
    "spend_retry",
]
