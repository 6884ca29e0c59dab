"""Rounds: observations of the calls that start during a time.

A round yields the slowdown of its calls, their durations relative to the baselines.
"""

import math

from egretlift.admission.latency import mean_baseline

# Slowdown above which the limit falls. The upstream holds this many calls per
# slot at most, which keeps every slot busy despite noise.
SLOWDOWN_LIMIT = 1.4
ROUND_MINIMUM = 16
ROUND_MAXIMUM = 128
# Part of a round's weight that must be finished. Waiting for the slowest calls
# would delay every reaction; ignoring more of them would bias the mean.
ROUND_FINISHED = 0.95
# A round is also closed when half of its calls are finished and this many times
# their mean duration has passed; a call that hangs would freeze the limit.
ROUND_STRAGGLERS = 4
# A round with at least this slowdown is outdated if this many calls that started
# after its own have already ended without slowdown: the upstream has recovered.
OUTDATED_SLOWDOWN = 3.0
OUTDATED_CALLS = 8


class Round:
    """Calls started during one observation, and what is known of them.

    Each call weighs the inverse of its kind's baseline, so that the delay is
    estimated mostly from short calls, whose durations vary least.
    """

    __slots__ = (
        "concurrency",
        "dip",
        "excess",
        "excess_squares",
        "failures",
        "filled_at",
        "finished",
        "finished_weight",
        "held",
        "late_kinds",
        "later",
        "later_slowdown",
        "opened_at",
        "pending",
        "quota",
        "samples",
        "tagged",
        "total_s",
        "weight",
    )

    def __init__(self, now, quota, dip):
        self.opened_at = now
        self.filled_at = now
        self.quota = quota
        self.dip = dip
        self.late_kinds = ()
        self.later = 0
        self.later_slowdown = 0.0
        self.held = False
        self.tagged = 0
        self.concurrency = 0
        self.weight = 0.0
        self.finished = 0
        self.total_s = 0.0
        self.finished_weight = 0.0
        self.excess = 0.0
        self.excess_squares = 0.0
        self.failures = 0
        self.pending = set()
        self.samples = {}


def count_round(limit):
    """Return the number of calls that a round observes."""
    return int(min(max(limit, ROUND_MINIMUM), ROUND_MAXIMUM))


def note_later(current, kind, waiting, duration_s, whole):
    """Count a call that started after all calls of a round did."""
    full = current.tagged >= current.quota
    if whole and full and kind.baseline and waiting.started_at >= current.filled_at:
        current.later += 1
        current.later_slowdown += duration_s / kind.baseline


def is_outdated(current, slowdown):
    """Return whether a slow round was followed by calls that are not slow.

    Those that ended first are the shortest, so only a large difference counts.
    """
    if slowdown < OUTDATED_SLOWDOWN or current.later < OUTDATED_CALLS:
        return False
    return current.later_slowdown < SLOWDOWN_LIMIT * current.later


def is_complete(current, now):
    """Return whether enough of a round's calls are finished to judge it."""
    if current.tagged < current.quota:
        return False
    if current.finished_weight >= ROUND_FINISHED * current.weight:
        return True
    limit_s = ROUND_STRAGGLERS * current.total_s / max(1, current.finished)
    late = now - current.filled_at > limit_s
    return late and 2 * current.finished >= current.tagged


def forget_call(current, waiting):
    """Remove a call from an open round."""
    current.pending.discard(waiting)
    current.tagged -= 1
    current.concurrency *= current.tagged / (current.tagged + 1)
    current.weight -= 1 / waiting.baseline


def finish_call(current, waiting, duration_s, whole):
    """Add a finished call to its open round."""
    current.pending.discard(waiting)
    weight = 1 / waiting.baseline
    current.finished += 1
    current.finished_weight += weight
    current.total_s += duration_s
    if not whole:
        current.failures += 1
    if whole or duration_s > waiting.baseline:
        add_sample(current, waiting, duration_s)


def add_sample(current, waiting, duration_s):
    """Add a duration to a round."""
    excess = duration_s / waiting.baseline - 1
    current.excess += excess
    current.excess_squares += excess * excess
    sample = current.samples.setdefault(waiting.kind, [0, 0.0])
    sample[0] += 1
    sample[1] += duration_s


def measure_round(state, current):
    """Return (slowdown, its standard error) of a round.

    The delay is the weighted mean excess over the baselines. A slowdown is the
    delay relative to the mean baseline of the calls started, which by Little's
    law is the number of calls in flight per busy slot, whatever the mix.
    """
    scale = 1 / mean_baseline(state) / current.weight
    spread = current.excess_squares - current.excess**2 / current.tagged
    spread = max(0.0, spread)
    return max(1 + current.excess * scale, 0.0), math.sqrt(spread) * scale
