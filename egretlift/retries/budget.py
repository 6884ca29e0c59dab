"""Retry budgets of one daemon, one for each target service."""

from egretlift.retries.allowance import spend_retry

INITIAL_TOKENS = 1.0
# Further services share one budget, which bounds the memory and the initial tokens
# that new budgets add.
MAX_TARGETS = 2048
SHARED_TARGET = ""


class RetryBudget:
    """Token bucket that first attempts fill and retries drain."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self):
        self.tokens = INITIAL_TOKENS
        self.updated_at = 0.0


class RetryBudgets:
    """Retry budgets by name of the target service."""

    __slots__ = ("budgets",)

    def __init__(self):
        self.budgets = {}


def ensure_budget(budgets, target):
    """Return the budget of a target service, creating it if necessary.

    Services beyond the first ``MAX_TARGETS`` share one budget.
    """
    found = budgets.budgets.get(target)
    if found is None:
        if len(budgets.budgets) >= MAX_TARGETS:
            target = SHARED_TARGET
        found = budgets.budgets.setdefault(target, RetryBudget())
    return found


def record_first_attempt(budget, settings, now):
    """Add the tokens of a first attempt, up to the burst of the settings.

    Parameters
    ----------
    budget : RetryBudget
    settings : Settings
    now : float
        Monotonic time in seconds.
    """
    tokens = budget.tokens + settings.retry_ratio
    budget.tokens = min(settings.retry_burst, tokens)
    budget.updated_at = now


def spend_budget(budget, settings, now):
    """Take one token for a retry; return whether the retry is allowed.

    The policy ``fixed`` allows every retry here, as `charge_retry` limits the tries per
    hop; the policy ``none`` allows no retry. Neither takes a token.

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
    # Sums of fractional deposits can fall short of a whole token by rounding errors.
    if budget.tokens < 1 - 1e-9:
        return False
    budget.tokens = max(0.0, budget.tokens - 1)
    budget.updated_at = now
    return True


def charge_retry(allowance, budget, settings, now, tries):
    """Return whether a retry is allowed, and charge it to allowance and budget if so.

    Parameters
    ----------
    allowance : RetryAllowance
    budget : RetryBudget
    settings : Settings
    now : float
        Monotonic time in seconds.
    tries : int
        Tries made so far on this hop, at least 1.

    Returns
    -------
    bool
        Under the policy ``budget`` both the allowance and the budget are charged, or
        neither. Under ``fixed``, a baseline for comparison, only the number of tries
        is limited and nothing is charged.
    """
    if settings.retry_policy == "fixed":
        return tries < settings.fixed_tries
    if settings.retry_policy == "none" or allowance.available < 1:
        return False
    return spend_budget(budget, settings, now) and spend_retry(allowance)
