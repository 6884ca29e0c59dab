# ruff: noqa
class ThrottleState:
    __slots__ = ()


def record_sent(state, settings, now, target, priority):
    pass


def record_accepted(state, settings, now, target, priority):
    pass


def should_refuse(state, settings, now, random, target, priority):
    return False
