"""Rounds: measurements of calls that start one after the other.

A round measures the slowdown of its calls: their durations relative to the baselines
of their kinds.
"""

import math

from egretlift.admission.latency import average_baselines

# Slowdown above which the limit is lowered. The upstream then has at most this many
# calls in flight per slot, enough to keep every slot busy despite noise.
SLOWDOWN_THRESHOLD = 1.4
# Bounds of the number of calls that a round observes.
ROUND_CALLS_MINIMUM = 16
ROUND_CALLS_MAXIMUM = 128
# Fraction of a round's weight that must be finished before it is evaluated. Waiting
# for the slowest calls would delay every reaction; ignoring more of them would bias
# the mean.
ROUND_FINISHED_SHARE = 0.95
# A round is also closed when half of its calls are finished and this many times
# their mean duration has passed; a call that hangs would otherwise freeze the limit.
STRAGGLER_FACTOR = 4
# A round with at least this slowdown is discarded if this many calls that started
# after its own have already ended without slowdown: the upstream has recovered.
OUTDATED_SLOWDOWN = 3.0
OUTDATED_CALLS = 8


class Round:
    """Calls of one measurement and the sums over their durations.

    Each call is weighted by the inverse of its kind's baseline, so that the delay is
    estimated mostly from short calls, whose durations vary least.

    Attributes
    ----------
    concurrency : float
        Sum of the calls in flight at each start.
    is_probe : bool
        Whether the round runs at a reduced limit.
    excess, excess_squares : float
        Sums of ``duration / baseline - 1`` and of its squares.
    failures, finished : int
        Calls that failed, and all calls that finished.
    opened_at, filled_at : float
        Start of the round and of its last call, in monotonic seconds.
    finished_weight, weight : float
        Weight of the finished calls and of all calls.
    limit_reached : bool
        Whether a call had to wait because of the limit during the round.
    unsampled_kinds : set or tuple
        Kinds of which no call had finished when the round was closed, if the
        upstream had become slower by then; empty otherwise.
    later_calls : int
        Finished calls that started after those of the round.
    later_slowdown_sum : float
        Sum of the slowdowns of these calls.
    pending : set of QueuedCall
        Calls that have not finished.
    quota, observed : int
        Number of calls to observe, and of those observed so far.
    samples : dict
        Number of durations and their sum in seconds, by kind.
    total_s : float
        Sum of the durations of finished calls, in seconds.
    """

    __slots__ = (
        "concurrency",
        "is_probe",
        "excess",
        "excess_squares",
        "failures",
        "filled_at",
        "finished",
        "finished_weight",
        "limit_reached",
        "unsampled_kinds",
        "later_calls",
        "later_slowdown_sum",
        "opened_at",
        "pending",
        "quota",
        "samples",
        "observed",
        "total_s",
        "weight",
    )

    def __init__(self, now, quota, is_probe):
        self.opened_at = now
        self.filled_at = now
        self.quota = quota
        self.is_probe = is_probe
        self.unsampled_kinds = ()
        self.later_calls = 0
        self.later_slowdown_sum = 0.0
        self.limit_reached = False
        self.observed = 0
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


def choose_round_size(limit):
    """Return the number of calls that a round observes at a concurrency limit."""
    return int(min(max(limit, ROUND_CALLS_MINIMUM), ROUND_CALLS_MAXIMUM))


def record_later_call(current, kind, queued, duration_s, succeeded):
    """Count a finished call if it succeeded and started after those of the round."""
    full = current.observed >= current.quota
    if succeeded and full and kind.baseline and queued.started_at >= current.filled_at:
        current.later_calls += 1
        current.later_slowdown_sum += duration_s / kind.baseline


def is_outdated(current, slowdown):
    """Return whether calls that started after a slow round were not slow.

    The first of them to end are the shortest, so only a large difference counts.
    """
    if slowdown < OUTDATED_SLOWDOWN or current.later_calls < OUTDATED_CALLS:
        return False
    return current.later_slowdown_sum < SLOWDOWN_THRESHOLD * current.later_calls


def is_complete(current, now):
    """Return whether enough of a round's calls have finished to evaluate it."""
    if current.observed < current.quota:
        return False
    if current.finished_weight >= ROUND_FINISHED_SHARE * current.weight:
        return True
    limit_s = STRAGGLER_FACTOR * current.total_s / max(1, current.finished)
    late = now - current.filled_at > limit_s
    return late and 2 * current.finished >= current.observed


def discard_call(current, queued):
    """Remove an abandoned call from an open round."""
    current.pending.discard(queued)
    current.observed -= 1
    current.concurrency *= current.observed / (current.observed + 1)
    current.weight -= 1 / queued.baseline


def record_finished_call(current, queued, duration_s, succeeded):
    """Add a finished call to its open round.

    The duration of a failed call counts only if it exceeds the baseline.
    """
    current.pending.discard(queued)
    weight = 1 / queued.baseline
    current.finished += 1
    current.finished_weight += weight
    current.total_s += duration_s
    if not succeeded:
        current.failures += 1
    if succeeded or duration_s > queued.baseline:
        add_sample(current, queued, duration_s)


def add_sample(current, queued, duration_s):
    """Add the duration of a call, in seconds, to the sums of a round."""
    excess = duration_s / queued.baseline - 1
    current.excess += excess
    current.excess_squares += excess * excess
    sample = current.samples.setdefault(queued.kind, [0, 0.0])
    sample[0] += 1
    sample[1] += duration_s


def measure_slowdown(state, current):
    """Return the slowdown of a round and its standard error.

    The delay is the weighted mean excess over the baselines. A slowdown is the
    delay relative to the mean baseline of the calls started, plus 1. By Little's
    law it is the number of calls in flight per busy slot, whatever the mix of kinds.
    """
    scale = 1 / average_baselines(state) / current.weight
    spread = current.excess_squares - current.excess**2 / current.observed
    spread = max(0.0, spread)
    return max(1 + current.excess * scale, 0.0), math.sqrt(spread) * scale
