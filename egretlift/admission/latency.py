"""Durations of the kinds of calls that an upstream runs.

A baseline is the mean service time of a kind without queueing, a typical duration
the lower quartile of recent ones.
"""

import math

# Calls averaged into the first baseline. The first calls to *start* are taken,
# since the first to finish are the shortest.
LEARNING = 16
LEARNING_FINISHED = 14
# Standard errors beyond which a change of the baseline is certain, and the
# relative error attributed to the baseline itself.
DOUBT = 4
BASELINE_ERROR = 0.15
STARTS_DECAY = 0.8
KINDS_MAXIMUM = 64
OTHER_KIND = "other"
# Steps whose balance makes the typical duration the lower quartile: a call with
# less time left would not finish in three cases of four.
TYPICAL_RISE = 1.04
TYPICAL_FALL = 1.12
SERVICE_SMOOTHING = 0.05
# The usual time of outgoing calls follows slowly: some seconds of a service 10
# times slower must not look like a slower upstream here.
OUTGOING_SMOOTHING = 0.01
OUTGOING_RISE = 1.2
# Time after which one call may test a typical duration that refuses all calls.
STALE_S = 0.1


class KindLatency:
    """Durations of one kind of call.

    ``baseline`` is the mean service time without queueing and None until it is
    learned, ``typical`` the lower quartile of recent durations, both in seconds.
    ``outgoing`` is the usual part of it that outgoing calls take, learned from
    ``outgoing_count`` calls. ``sampled_at`` is the time of the last sample,
    ``checked_at`` of the last sample or test, ``starts`` the decaying number of
    calls started.
    """

    __slots__ = (
        "baseline",
        "checked_at",
        "learned",
        "learning",
        "outgoing",
        "outgoing_count",
        "sampled_at",
        "starts",
        "total",
        "typical",
    )

    def __init__(self):
        self.baseline = None
        self.typical = 0.0
        self.outgoing = 0.0
        self.outgoing_count = 0
        self.learning = 0
        self.learned = 0
        self.total = 0.0
        self.starts = 0.0
        self.sampled_at = -math.inf
        self.checked_at = -math.inf


def find_kind(state, kind):
    """Return the durations of a kind; kinds beyond the maximum share one."""
    found = state.kinds.get(kind)
    if found is None:
        if len(state.kinds) >= KINDS_MAXIMUM:
            kind = OTHER_KIND
        found = state.kinds.setdefault(kind, KindLatency())
    return found


def usual_outgoing(kind, outgoing_s):
    """Update and return the usual time of a kind's own outgoing calls."""
    if kind.baseline is None:
        kind.outgoing_count += 1
        kind.outgoing += (outgoing_s - kind.outgoing) / kind.outgoing_count
        return outgoing_s
    sample = min(outgoing_s, OUTGOING_RISE * kind.outgoing)
    kind.outgoing += OUTGOING_SMOOTHING * (sample - kind.outgoing)
    return kind.outgoing


def learn_typical(state, kind, now, duration_s):
    """Update the typical durations."""
    if now - kind.sampled_at > STALE_S:
        kind.typical = duration_s
    elif duration_s > kind.typical:
        kind.typical *= TYPICAL_RISE
    else:
        kind.typical /= TYPICAL_FALL
    kind.sampled_at = kind.checked_at = now
    state.service_s += (duration_s - state.service_s) * SERVICE_SMOOTHING


def learn_baseline(kind, duration_s, whole):
    """Add one of the first calls to the first baseline."""
    if not whole:
        kind.learning -= 1
        return
    kind.total += duration_s
    kind.learned += 1
    if kind.learned >= LEARNING_FINISHED:
        kind.baseline = kind.total / kind.learned


def mean_baseline(state):
    """Return the mean baseline over recent starts, and let their counts decay.

    It is smoothed over several rounds, since few calls of a long kind in a round
    would make it jump.
    """
    starts = total = 0.0
    for kind in state.kinds.values():
        if kind.baseline is not None:
            starts += kind.starts
            total += kind.starts * kind.baseline
            kind.starts *= STARTS_DECAY
    return total / starts


def move_baselines(state, current, slowdown, error):
    """Move the baselines of a round's kinds towards what the round observed.

    A rise and a fall beyond doubt are taken over at once, a smaller fall in
    proportion to the precision of the round: a baseline too low closes the limit,
    one too high costs some latency until the next dip.
    """
    slowdown = max(slowdown, 1e-3)
    error = max(error, 1e-3) / slowdown
    share = 1.0
    if -DOUBT * error < math.log(slowdown) < 0:
        share = BASELINE_ERROR**2 / (BASELINE_ERROR**2 + error**2)
    for name, (count, total) in current.samples.items():
        kind = find_kind(state, name)
        mean_s = total / count
        kind.baseline += (mean_s - kind.baseline) * share * count / (count + 2)
