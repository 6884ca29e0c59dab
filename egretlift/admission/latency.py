"""Latency statistics of an upstream by kind of call.

The baseline of a kind is its mean service time without queueing, its typical
duration the lower quartile of recent durations.
"""

import math

# First calls of a kind whose durations are averaged into its first baseline, and
# those of them that must have finished. They are the first to *start*, since the
# first to finish are the shortest.
LEARNING_CALLS = 16
LEARNING_CALLS_FINISHED = 14
# Standard errors beyond which a change of the baseline is significant, and the
# relative error of the baseline itself.
SIGNIFICANCE_ERRORS = 4
BASELINE_ERROR = 0.15
# Factor by which the number of starts of a kind decays in each round.
STARTS_DECAY = 0.8
KINDS_MAXIMUM = 64
OTHER_KIND = "other"
# Factors of the steps up and down, whose balance makes the typical duration the lower
# quartile: a call with less time left would not finish in three cases of four.
TYPICAL_RISE = 1.04
TYPICAL_FALL = 1.12
SERVICE_SMOOTHING = 0.05
# The mean time of outgoing calls adapts slowly: a dependency that is 10 times slower
# for some seconds must not make this upstream look slower. A sample counts as at most
# OUTGOING_RISE_MAXIMUM times the mean.
OUTGOING_SMOOTHING = 0.01
OUTGOING_RISE_MAXIMUM = 1.2
# Age at which a typical duration is outdated: one call may then run to measure it
# anew, even if it refuses all calls.
TYPICAL_STALE_S = 0.1


class KindLatency:
    """Latency statistics of one kind of call.

    Attributes
    ----------
    baseline : float or None
        Mean service time without queueing, in seconds; None until it is known.
    typical_s : float
        Lower quartile of recent durations.
    outgoing_mean_s : float
        Mean time of a call that its own outgoing calls take.
    outgoing_count : int
        Calls averaged into ``outgoing_mean_s`` before the baseline is known.
    learning_started, learning_finished : int
        Calls started and finished to learn the first baseline.
    total_s : float
        Sum of their durations.
    starts : float
        Number of calls started, decaying with every round.
    sampled_at : float
        Monotonic time of the last sample, in seconds.
    checked_at : float
        Monotonic time of the last sample, or of the last call started with less
        time left than the typical duration.
    """

    __slots__ = (
        "baseline",
        "checked_at",
        "learning_finished",
        "learning_started",
        "outgoing_mean_s",
        "outgoing_count",
        "sampled_at",
        "starts",
        "total_s",
        "typical_s",
    )

    def __init__(self):
        self.baseline = None
        self.typical_s = 0.0
        self.outgoing_mean_s = 0.0
        self.outgoing_count = 0
        self.learning_started = 0
        self.learning_finished = 0
        self.total_s = 0.0
        self.starts = 0.0
        self.sampled_at = -math.inf
        self.checked_at = -math.inf


def find_kind(state, kind):
    """Return the statistics of a kind; kinds beyond the maximum share one entry."""
    found = state.kinds.get(kind)
    if found is None:
        if len(state.kinds) >= KINDS_MAXIMUM:
            kind = OTHER_KIND
        found = state.kinds.setdefault(kind, KindLatency())
    return found


def update_outgoing(kind, outgoing_s):
    """Add the time of a call's own outgoing calls and return their mean in seconds.

    Until the baseline is known, the time is returned as it was measured.
    """
    if kind.baseline is None:
        kind.outgoing_count += 1
        kind.outgoing_mean_s += (
            outgoing_s - kind.outgoing_mean_s
        ) / kind.outgoing_count
        return outgoing_s
    sample = min(outgoing_s, OUTGOING_RISE_MAXIMUM * kind.outgoing_mean_s)
    kind.outgoing_mean_s += OUTGOING_SMOOTHING * (sample - kind.outgoing_mean_s)
    return kind.outgoing_mean_s


def update_typical(state, kind, now, duration_s):
    """Add a duration to the typical duration of its kind and the mean over all."""
    if now - kind.sampled_at > TYPICAL_STALE_S:
        kind.typical_s = duration_s
    elif duration_s > kind.typical_s:
        kind.typical_s *= TYPICAL_RISE
    else:
        kind.typical_s /= TYPICAL_FALL
    kind.sampled_at = kind.checked_at = now
    state.service_s += (duration_s - state.service_s) * SERVICE_SMOOTHING


def add_baseline_sample(kind, duration_s, succeeded):
    """Add the duration of one of the first calls to the first baseline.

    A call that failed is replaced by another one.
    """
    if not succeeded:
        kind.learning_started -= 1
        return
    kind.total_s += duration_s
    kind.learning_finished += 1
    if kind.learning_finished >= LEARNING_CALLS_FINISHED:
        kind.baseline = kind.total_s / kind.learning_finished


def average_baselines(state):
    """Return the mean baseline over recent starts, and let the starts decay.

    The mean covers several rounds, since a few calls of a long kind would make the
    mean of a single round jump.
    """
    starts = total_s = 0.0
    for kind in state.kinds.values():
        if kind.baseline is not None:
            starts += kind.starts
            total_s += kind.starts * kind.baseline
            kind.starts *= STARTS_DECAY
    return total_s / starts


def update_baselines(state, current, slowdown, error):
    """Move the baselines of a round's kinds towards the measured durations.

    A rise, or a fall that is significant, is adopted at once, a smaller fall in
    proportion to the precision of the round: a baseline that is too low drives the
    limit down, one that is too high costs some latency until the next probe.
    """
    slowdown = max(slowdown, 1e-3)
    error = max(error, 1e-3) / slowdown
    share = 1.0
    if -SIGNIFICANCE_ERRORS * error < math.log(slowdown) < 0:
        share = BASELINE_ERROR**2 / (BASELINE_ERROR**2 + error**2)
    for name, (count, total_s) in current.samples.items():
        kind = find_kind(state, name)
        mean_s = total_s / count
        kind.baseline += (mean_s - kind.baseline) * share * count / (count + 2)
