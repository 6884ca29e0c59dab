"""Retry budget of one daemon for each target service."""

from egretlift.retries.allowance import spend_retry

INITIAL_TOKENS = 1.0
# Services beyond this number share one budget, so that neither memory nor the
# initial tokens of new budgets are unbounded.
TARGETS_MAXIMUM = 2048
SHARED_TARGET = ""


class RetryBudget:
    """Token bucket that first attempts fill and retries empty."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self):
        self.tokens = INITIAL_TOKENS
        self.updated_at = 0.0


class RetryBudgets:
    """Budgets by target service."""

    __slots__ = ("budgets",)

    def __init__(self):
        self.budgets = {}


def find_budget(budgets, target):
    """Return the budget of a target service."""
    found = budgets.budgets.get(target)
    if found is None:
        if len(budgets.budgets) >= TARGETS_MAXIMUM:
            target = SHARED_TARGET
        found = budgets.budgets.setdefault(target, RetryBudget())
    return found


def record_request(budget, settings, now):
    """Add the deposit of a first attempt."""
    tokens = budget.tokens + settings.retry_ratio
    budget.tokens = min(settings.retry_burst, tokens)
    budget.updated_at = now


def spend_budget(budget, settings, now):
    """Take one token for a retry; return whether the retry may go.

    Under the policy ``fixed`` every retry may go, as its number is limited per
    hop; under ``none`` no retry may.

    Examples
    --------
    >>> from egretlift.settings import Settings
    >>> budget = RetryBudget()
    >>> settings = Settings()
    >>> spend_budget(budget, settings, 0.0), spend_budget(budget, settings, 0.0)
    (True, False)
    """
    if settings.retry_policy != "budget":
        return settings.retry_policy == "fixed"
    # Sums of a fractional deposit can fall short of a whole token by rounding.
    if budget.tokens < 1 - 1e-9:
        return False
    budget.tokens = max(0.0, budget.tokens - 1)
    budget.updated_at = now
    return True


def may_retry(allowance, budget, settings, now, tries):
    """Pay for one retry and return whether it may go.

    Parameters
    ----------
    allowance : Allowance
    budget : RetryBudget
    settings : Settings
    now : float
        Monotonic time in seconds.
    tries : int
        Tries of this hop so far, at least 1.

    Returns
    -------
    bool
        Under the policy ``budget`` allowance and budget both pay, or neither.
        Under ``fixed``, a baseline for comparison, only the number of tries
        counts.
    """
    if settings.retry_policy == "fixed":
        return tries < settings.fixed_tries
    if settings.retry_policy == "none" or allowance.left < 1:
        return False
    return spend_budget(budget, settings, now) and spend_retry(allowance)
