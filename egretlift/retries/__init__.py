# ruff: noqa
class Allowance:
    __slots__ = ("left", "lent")

    def __init__(self, left):
        self.left = left
        self.lent = 0


def open_allowance(total):
    return Allowance(total)


def spend_retry(a):
    if a.left < 1:
        return False
    a.left -= 1
    return True


def lend(a):
    n = a.left
    a.left = 0
    return n


def settle(a, lent, returned):
    a.left += min(lent, returned or 0)


class RetryBudget:
    __slots__ = ()


def record_request(b, s, now, service):
    pass


def spend_budget(b, s, now, service):
    return True


class RepeatRecords:
    __slots__ = ()


def charge_repeat(r, f, a):
    return True


def finish_repeat(r, f, whole):
    pass
