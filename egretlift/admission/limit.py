"""Adaptive concurrency limit of one upstream.

The limit is found from the durations and failures of finished calls. While the
number of calls in flight is within the upstream's capacity, a duration is the
service time; beyond it, calls queue inside the upstream and durations grow in
proportion to the calls in flight. A *round* observes the calls started during
it and yields their slowdown: observed durations relative to the baselines.

A high slowdown alone does not tell a full upstream from a slow one. Rounds at
clearly different concurrency do: if the slowdown falls with the concurrency,
calls were queueing and the baseline stands; if it does not, the upstream itself
has become slower and the baseline is raised. Periodic dips, rounds at a reduced
limit, provide this comparison and lower a baseline that was learned under
overload. The baseline therefore cannot creep upward while overload lasts.
"""

import math

from egretlift.admission.latency import (
    LEARNING,
    STALE_S,
    find_kind,
    learn_baseline,
    learn_typical,
    move_baselines,
    usual_outgoing,
)
from egretlift.admission.rounds import (
    SLOWDOWN_LIMIT,
    Round,
    add_sample,
    count_round,
    finish_call,
    forget_call,
    is_complete,
    is_outdated,
    measure_round,
    note_later,
)
from egretlift.outcome import Outcome

# Slowdown aimed at by a decrease, and slowdown up to which growth accelerates.
SLOWDOWN_TARGET = 1.3
SLOWDOWN_FREE = 1.15
# Slowdown below which the baseline is taken to be too high.
SLOWDOWN_FAST = 0.9
# Part of the limit used during a dip. Times SLOWDOWN_LIMIT it is below 1, so an
# inflated baseline shrinks with every dip.
DIP_FRACTION = 0.6
# A round at this part of the previous round's concurrency can be compared to it.
COMPARABLE = 0.75
DECREASE_MINIMUM = 0.4
# Part of the limit that must be used on average for it to grow; short bursts say
# nothing about a higher limit. It is less than what the critical reserve leaves.
FILLED = 0.7
STEP_MINIMUM = 0.1
STEP_MAXIMUM = 1.0
# Additional failures, as a fraction of calls, that count as overload.
FAILURE_MARGIN = 0.1
# Part of the concurrency at which failures began down to which it is reduced.
FAILURE_RANGE = 0.25
DIP_MINIMUM = 10
DIP_MAXIMUM = 25
# A dip costs at most 40% of capacity, hence 2% when it takes 1/20 of the time.
DIP_SPACING = 20
# The same while the limit is at its minimum, where only a dip can show that the
# baseline is too low. An upstream that needs so low a limit stays busy in a dip.
DIP_SPACING_MINIMUM = 1
DIP_PERIOD_S = 1.0
# A round older than this number of rounds is not compared to any more.
REFERENCE_ROUNDS = 8
LATE_SMOOTHING = 8
DURATION_MINIMUM_S = 1e-6


class LimitState:
    """Concurrency limit and what it is derived from.

    ``limit`` is the limit found so far, ``ceiling`` the one in force, which is
    lower during a dip. ``service_s`` is the mean duration over all kinds.
    """

    __slots__ = (
        "ceiling",
        "dip_due",
        "dip_took_s",
        "failing_from",
        "failure_floor",
        "kinds",
        "limit",
        "reference",
        "reference_age",
        "restore",
        "round",
        "service_s",
        "step",
    )

    def __init__(self, settings):
        self.limit = float(settings.limit_initial)
        self.ceiling = self.limit
        self.kinds = {}
        self.round = Round(0.0, count_round(self.limit), False)
        self.reference = None
        self.reference_age = 0
        self.restore = 0.0
        self.step = STEP_MAXIMUM
        self.failure_floor = 0.0
        self.failing_from = None
        self.dip_due = 0.0
        self.dip_took_s = 0.0
        self.service_s = 0.0


def is_hopeless(state, now, waiting):
    """Return whether the remaining time cannot cover the typical duration.

    When no call of the kind has finished for a while, the typical duration may
    be outdated and one call is let through to test it; otherwise a slow period
    could refuse all calls for ever.
    """
    remaining_s = waiting.deadline - now
    if remaining_s <= 0:
        return True
    kind = state.kinds.get(waiting.kind)
    if kind is None or remaining_s >= kind.typical:
        return False
    return now - kind.checked_at <= STALE_S


def record_start(state, now, waiting, in_flight):
    """Observe a call that starts; ``in_flight`` includes it."""
    waiting.started_at = now
    kind = find_kind(state, waiting.kind)
    if waiting.deadline - now < kind.typical:
        kind.checked_at = now
    if kind.baseline is None:
        if kind.learning < LEARNING:
            kind.learning += 1
            waiting.round = kind
        return
    kind.starts += 1
    current = state.round
    if current.tagged >= current.quota:
        return
    waiting.round = current
    waiting.baseline = kind.baseline
    current.tagged += 1
    current.concurrency += in_flight
    current.weight += 1 / kind.baseline
    current.pending.add(waiting)
    if current.tagged < current.quota:
        return
    current.filled_at = now
    if current.dip:
        state.ceiling = state.limit
        state.dip_took_s = now - current.opened_at


def record_end(state, settings, now, waiting, duration_s, outcome, outgoing_s=0.0):
    """Observe a call that ended.

    Parameters
    ----------
    state : LimitState
    settings : Settings
    now : float
        Monotonic time in seconds.
    waiting : Waiting
        The call, as passed to `record_start`.
    duration_s : float
        Time at the upstream in seconds.
    outcome : Outcome or None
        None if the call was abandoned, which says nothing about the upstream.
    outgoing_s : float, optional
        Part of the duration in which the upstream made calls itself. For the limit
        its usual value counts: counted as measured, one slow service would lower
        the limits of all services above it.
    """
    observer = waiting.round
    kind = find_kind(state, waiting.kind)
    if outcome is None:
        if observer is state.round:
            forget_call(observer, waiting)
        elif observer is kind:
            kind.learning -= 1
        return
    duration_s = max(duration_s, DURATION_MINIMUM_S)
    whole = outcome is Outcome.WHOLE
    # A fast failure is no service; a slow one shows at least its duration.
    if whole or duration_s > kind.typical:
        learn_typical(state, kind, now, duration_s)
    if outgoing_s:
        own_s = max(0.0, duration_s - outgoing_s)
        duration_s = max(own_s + usual_outgoing(kind, outgoing_s), DURATION_MINIMUM_S)
    if observer is state.round:
        finish_call(observer, waiting, duration_s, whole)
    elif observer is kind:
        learn_baseline(kind, duration_s, whole)
    elif observer is None:
        note_later(state.round, kind, waiting, duration_s, whole)
    elif whole and waiting.kind in observer.late_kinds:
        kind.baseline += (duration_s - kind.baseline) / LATE_SMOOTHING
    if is_complete(state.round, now):
        close_round(state, settings, now)


def falls_less(value, previous, concurrency, previous_concurrency):
    """Return whether a value fell clearly less than the concurrency.

    The boundary is the geometric mean of no fall and a proportional one, since a
    large reduction also crosses the point at which queueing ends.

    Examples
    --------
    >>> falls_less(9.5, 10.0, 60, 100), falls_less(6.2, 10.0, 60, 100)
    (True, False)
    """
    return value >= previous * math.sqrt(concurrency / previous_concurrency)


def close_round(state, settings, now):
    """Adjust baselines and limit to a finished round and open the next."""
    current = state.round
    late_kinds = {w.kind for w in current.pending} - current.samples.keys()
    for waiting in current.pending:
        add_sample(current, waiting, max(now - waiting.started_at, waiting.baseline))
    slowdown, error = measure_round(state, current)
    if is_outdated(current, slowdown):
        open_round(state, now, False)
        return
    concurrency = current.concurrency / current.tagged
    compared, steady = compare_round(state, slowdown, concurrency)
    lowered = slowdown < SLOWDOWN_FAST and slowdown + 2 * error < 1
    at_limit = max(0.0, slowdown - error)
    if steady:
        current.late_kinds = late_kinds
        at_limit = state.reference[0] / max(slowdown, SLOWDOWN_FAST)
    if steady or lowered:
        move_baselines(state, current, slowdown, error)
        slowdown = 1.0
    if not lowered:
        failing = judge_failures(state, settings, current, concurrency)
        adjust_limit(state, settings, current, at_limit, failing, steady)
    renew_reference(state, compared or lowered, (slowdown, concurrency))
    schedule_dip(state, settings, now, slowdown, lowered)
    # A decrease can be compared by itself; a dip on top would delay it.
    settled = not state.restore or state.limit <= settings.limit_minimum
    open_round(state, now, current.held and settled)


def compare_round(state, slowdown, concurrency):
    """Return whether a round can be compared, and if so whether it was no faster."""
    if not state.reference:
        return False, False
    earlier, wider = state.reference
    if concurrency > COMPARABLE * wider:
        return False, False
    return True, falls_less(slowdown, earlier, concurrency, wider)


def schedule_dip(state, settings, now, slowdown, lowered):
    """Set the time of the next dip after a round."""
    if state.round.dip:
        state.dip_due = now + max(DIP_PERIOD_S, DIP_SPACING * state.dip_took_s)
    elif lowered:
        # The new baseline may include queueing.
        state.dip_due = now
    elif state.limit <= settings.limit_minimum and slowdown > SLOWDOWN_LIMIT:
        soon = now + DIP_SPACING_MINIMUM * state.dip_took_s
        state.dip_due = min(state.dip_due, soon)


def judge_failures(state, settings, current, concurrency):
    """Return whether a round's failures call for a lower limit.

    Failures that persist at a small part of the concurrency at which they began
    do not come from overload; the limit then returns to where it was, and only
    additional failures count.
    """
    failed = current.failures / max(1, current.finished)
    error = math.sqrt(failed * (1 - failed) / max(1, current.finished))
    if failed - 2 * error <= state.failure_floor + FAILURE_MARGIN:
        state.failing_from = None
        state.failure_floor = min(state.failure_floor, failed + error)
        return False
    if state.failing_from is None:
        state.failing_from = (concurrency, state.limit)
    began, limit = state.failing_from
    if concurrency > FAILURE_RANGE * began and state.limit > settings.limit_minimum:
        return True
    state.failure_floor = failed + error
    state.failing_from = None
    state.limit = limit
    return False


def renew_reference(state, compared, measured):
    """Keep the round that later rounds at less concurrency are compared to."""
    state.reference_age += 1
    if (
        compared
        or state.reference is None
        or measured[1] >= state.reference[1]
        or state.reference_age > REFERENCE_ROUNDS
    ):
        state.reference = measured
        state.reference_age = 0


def adjust_limit(state, settings, current, slowdown, failing, steady):
    """Raise or lower the limit after a round.

    ``slowdown`` is the one at the limit, less its standard error. After a dip at
    which nothing was faster it is the ratio of the two rounds.
    """
    limit = state.limit
    concurrency = current.concurrency / current.tagged
    ceiling = limit * DIP_FRACTION if current.dip else limit
    used = current.held or concurrency > limit / 2
    if steady and state.restore and not failing:
        # The decrease that led here was unwarranted: the upstream is slow, not
        # overcommitted.
        limit = max(limit, state.restore)
        state.restore = 0.0
    elif used and (slowdown > SLOWDOWN_LIMIT or failing):
        # A limit that was not used is no evidence of what the upstream can take.
        ceiling = min(ceiling, concurrency / FILLED)
        state.restore = state.restore or min(limit, concurrency / FILLED)
        factor = SLOWDOWN_TARGET / slowdown if slowdown else 1.0
        if failing:
            factor = min(factor, DIP_FRACTION)
        limit = ceiling * min(max(factor, DECREASE_MINIMUM), 1.0)
        state.step = STEP_MINIMUM
    else:
        state.restore = 0.0
        filled = current.held and concurrency >= FILLED * ceiling
        if filled and current.failures <= current.finished / 2:
            limit += grow(state, limit, slowdown)
    state.limit = min(max(limit, settings.limit_minimum), settings.limit_maximum)


def grow(state, limit, slowdown):
    """Return the increase of a limit that is used and not exceeded.

    The step doubles while there is no slowdown at all, so that a limit far below
    capacity reaches it in a few rounds; near capacity it is one call.
    """
    if slowdown > SLOWDOWN_FREE:
        state.step = max(STEP_MINIMUM, state.step / 2)
        return 1.0
    increase = max(1.0, state.step * limit)
    state.step = min(STEP_MAXIMUM, 2 * state.step)
    return increase


def open_round(state, now, may_dip):
    """Open the next round, a dip if one is due and possible."""
    dip = may_dip and now >= state.dip_due
    if dip:
        quota = int(min(max(state.limit / 2, DIP_MINIMUM), DIP_MAXIMUM))
        state.ceiling = max(1.0, state.limit * DIP_FRACTION)
    else:
        quota = count_round(state.limit)
        state.ceiling = state.limit
    state.round = Round(now, quota, dip)
