"""Adaptive concurrency limit of one upstream.

The limit is derived from the durations and failures of finished calls. While the
number of calls in flight is within the upstream's capacity, a duration is the
service time; beyond it, calls queue inside the upstream and durations grow in
proportion to the calls in flight. A *round* observes a number of consecutive calls
and measures their slowdown: their durations relative to the baselines.

A high slowdown alone does not distinguish an overloaded upstream from a slow one.
Comparing rounds at clearly different concurrency does: if the slowdown falls with
the concurrency, calls were queueing and the baseline is right; if it does not, the
upstream itself has become slower and the baseline is raised. Periodic *probes*,
which are rounds at a reduced limit, provide this comparison and lower a baseline
that was learned under overload. The baseline therefore cannot drift upward while
overload lasts.
"""

import math

from egretlift.admission.latency import (
    LEARNING_CALLS,
    TYPICAL_STALE_S,
    add_baseline_sample,
    find_kind,
    update_baselines,
    update_outgoing,
    update_typical,
)
from egretlift.admission.rounds import (
    SLOWDOWN_THRESHOLD,
    Round,
    add_sample,
    choose_round_size,
    discard_call,
    is_complete,
    is_outdated,
    measure_slowdown,
    record_finished_call,
    record_later_call,
)
from egretlift.outcome import Outcome

# Slowdown that a decrease aims at, and slowdown up to which growth accelerates.
SLOWDOWN_TARGET = 1.3
SLOWDOWN_NEGLIGIBLE = 1.15
# Slowdown below which the baseline is taken to be too high.
SLOWDOWN_BASELINE_TOO_HIGH = 0.9
# Fraction of the limit in force during a probe. Times SLOWDOWN_THRESHOLD it is below
# 1, so a baseline that is too high falls with every probe.
PROBE_FRACTION = 0.6
# A round at no more than this fraction of the reference round's concurrency can be
# compared to it.
COMPARABLE_CONCURRENCY = 0.75
# Smallest factor of a single decrease.
DECREASE_FACTOR_MINIMUM = 0.4
# Fraction of the limit that must be used on average for it to grow; short bursts say
# nothing about a higher limit. It is less than what the critical reserve leaves.
UTILISATION_FOR_GROWTH = 0.7
# Bounds of the relative increase per round.
STEP_MINIMUM = 0.1
STEP_MAXIMUM = 1.0
# Share of calls that must fail beyond the usual share to be attributed to overload.
FAILURE_MARGIN = 0.1
# Fraction of the concurrency at which failures began down to which the limit is lowered
# because of them.
FAILURE_CONCURRENCY_FRACTION = 0.25
# Bounds of the number of calls that a probe observes.
PROBE_CALLS_MINIMUM = 10
PROBE_CALLS_MAXIMUM = 25
# Time to the next probe, as a multiple of the duration of a probe. A probe costs at
# most 40% of capacity, hence 2% when it takes 1/20 of the time.
PROBE_SPACING = 20
# The same while the limit is at its minimum, where only a probe can show that the
# baseline is too low. An upstream that needs so low a limit stays busy in a probe.
PROBE_SPACING_AT_MINIMUM = 1
# Shortest time from a probe to the next regular one.
PROBE_PERIOD_S = 1.0
# Number of rounds after which the reference round is replaced.
REFERENCE_AGE_MAXIMUM = 8
# Divisor of the step of a baseline for a call that ends after its round was closed,
# when no call of its kind had finished by then.
UNSAMPLED_SMOOTHING = 8
DURATION_MINIMUM_S = 1e-6


class LimitState:
    """Concurrency limit of an upstream and the measurements behind it.

    Attributes
    ----------
    limit : float
        Current estimate of the limit.
    ceiling : float
        Limit in force, which is lower than ``limit`` during a probe.
    kinds : dict
        `KindLatency` by kind of call.
    round : Round
        The open round.
    reference : tuple of float or None
        Slowdown and concurrency of the round that later ones are compared to.
    reference_age : int
        Rounds since the reference was set.
    limit_before_decrease : float
        Limit to return to if a decrease turns out to be unwarranted; 0 if none is
        pending.
    step : float
        Relative increase of the next growth.
    failure_floor : float
        Share of failed calls that is not attributed to overload.
    failure_onset : tuple of float or None
        Concurrency and limit at which the current failures began.
    probe_due : float
        Monotonic time from which the next probe may start, in seconds.
    probe_duration_s : float
        Time in which all calls of the last probe started.
    service_s : float
        Mean duration over all kinds.
    """

    __slots__ = (
        "ceiling",
        "probe_due",
        "probe_duration_s",
        "failure_onset",
        "failure_floor",
        "kinds",
        "limit",
        "reference",
        "reference_age",
        "limit_before_decrease",
        "round",
        "service_s",
        "step",
    )

    def __init__(self, settings):
        self.limit = float(settings.limit_initial)
        self.ceiling = self.limit
        self.kinds = {}
        self.round = Round(0.0, choose_round_size(self.limit), False)
        self.reference = None
        self.reference_age = 0
        self.limit_before_decrease = 0.0
        self.step = STEP_MAXIMUM
        self.failure_floor = 0.0
        self.failure_onset = None
        self.probe_due = 0.0
        self.probe_duration_s = 0.0
        self.service_s = 0.0


def cannot_finish_in_time(state, now, queued):
    """Return whether the remaining time of a call is less than the typical duration.

    When no call of the kind has finished for TYPICAL_STALE_S, the typical duration
    may be outdated and one call is admitted to measure it anew; otherwise all calls
    could be refused for ever after a slow period.
    """
    remaining_s = queued.deadline - now
    if remaining_s <= 0:
        return True
    kind = state.kinds.get(queued.kind)
    if kind is None or remaining_s >= kind.typical_s:
        return False
    return now - kind.checked_at <= TYPICAL_STALE_S


def record_start(state, now, queued, in_flight):
    """Record the start of a call; ``in_flight`` includes it."""
    queued.started_at = now
    kind = find_kind(state, queued.kind)
    if queued.deadline - now < kind.typical_s:
        kind.checked_at = now
    if kind.baseline is None:
        if kind.learning_started < LEARNING_CALLS:
            kind.learning_started += 1
            queued.round = kind
        return
    kind.starts += 1
    current = state.round
    if current.observed >= current.quota:
        return
    queued.round = current
    queued.baseline = kind.baseline
    current.observed += 1
    current.concurrency += in_flight
    current.weight += 1 / kind.baseline
    current.pending.add(queued)
    if current.observed < current.quota:
        return
    current.filled_at = now
    if current.is_probe:
        state.ceiling = state.limit
        state.probe_duration_s = now - current.opened_at


def record_end(state, settings, now, queued, duration_s, outcome, outgoing_s=0.0):
    """Record the end of a call, and close the round if it is complete.

    Parameters
    ----------
    state : LimitState
    settings : Settings
    now : float
        Monotonic time in seconds.
    queued : QueuedCall
        The call, as passed to `record_start`.
    duration_s : float
        Time at the upstream in seconds.
    outcome : Outcome or None
        None if the call was abandoned, which says nothing about the upstream.
    outgoing_s : float, optional
        Part of the duration that the upstream spent on its own outgoing calls. The
        limit is derived from its moving average instead: as measured, one slow
        service would lower the limits of all services that call it.
    """
    observer = queued.round
    kind = find_kind(state, queued.kind)
    if outcome is None:
        if observer is state.round:
            discard_call(observer, queued)
        elif observer is kind:
            kind.learning_started -= 1
        return
    duration_s = max(duration_s, DURATION_MINIMUM_S)
    succeeded = outcome is Outcome.WHOLE
    # A fast failure says nothing about the service time; a slow one shows that it is
    # at least as long.
    if succeeded or duration_s > kind.typical_s:
        update_typical(state, kind, now, duration_s)
    if outgoing_s:
        own_s = max(0.0, duration_s - outgoing_s)
        duration_s = max(own_s + update_outgoing(kind, outgoing_s), DURATION_MINIMUM_S)
    if observer is state.round:
        record_finished_call(observer, queued, duration_s, succeeded)
    elif observer is kind:
        add_baseline_sample(kind, duration_s, succeeded)
    elif observer is None:
        record_later_call(state.round, kind, queued, duration_s, succeeded)
    elif succeeded and queued.kind in observer.unsampled_kinds:
        kind.baseline += (duration_s - kind.baseline) / UNSAMPLED_SMOOTHING
    if is_complete(state.round, now):
        close_round(state, settings, now)


def fell_less_than_concurrency(value, previous, concurrency, previous_concurrency):
    """Return whether a value fell clearly less than the concurrency did.

    The threshold is the geometric mean of no fall and a proportional fall, since a
    large reduction of concurrency also passes the point at which queueing ends.

    Examples
    --------
    >>> fell_less_than_concurrency(9.5, 10.0, 60, 100)
    True
    >>> fell_less_than_concurrency(6.2, 10.0, 60, 100)
    False
    """
    return value >= previous * math.sqrt(concurrency / previous_concurrency)


def close_round(state, settings, now):
    """Adjust the baselines and the limit to a complete round and open the next."""
    current = state.round
    unsampled_kinds = {w.kind for w in current.pending} - current.samples.keys()
    for queued in current.pending:
        add_sample(current, queued, max(now - queued.started_at, queued.baseline))
    slowdown, error = measure_slowdown(state, current)
    if is_outdated(current, slowdown):
        open_round(state, now, False)
        return
    concurrency = current.concurrency / current.observed
    comparable, upstream_slowed = compare_round(state, slowdown, concurrency)
    baseline_too_high = (
        slowdown < SLOWDOWN_BASELINE_TOO_HIGH and slowdown + 2 * error < 1
    )
    slowdown_at_limit = max(0.0, slowdown - error)
    if upstream_slowed:
        current.unsampled_kinds = unsampled_kinds
        slowdown_at_limit = state.reference[0] / max(
            slowdown, SLOWDOWN_BASELINE_TOO_HIGH
        )
    if upstream_slowed or baseline_too_high:
        update_baselines(state, current, slowdown, error)
        slowdown = 1.0
    if not baseline_too_high:
        failing = assess_failures(state, settings, current, concurrency)
        adjust_limit(
            state, settings, current, slowdown_at_limit, failing, upstream_slowed
        )
    update_reference(state, comparable or baseline_too_high, (slowdown, concurrency))
    schedule_probe(state, settings, now, slowdown, baseline_too_high)
    # The round after a decrease can be compared without a probe, which would only
    # delay it.
    settled = not state.limit_before_decrease or state.limit <= settings.limit_minimum
    open_round(state, now, current.limit_reached and settled)


def compare_round(state, slowdown, concurrency):
    """Compare a round to the reference round.

    Returns
    -------
    comparable : bool
        Whether the round had clearly less concurrency than the reference.
    upstream_slowed : bool
        Whether its slowdown did not fall accordingly, so that the upstream itself
        is slower; False if the rounds are not comparable.
    """
    if not state.reference:
        return False, False
    reference_slowdown, reference_concurrency = state.reference
    if concurrency > COMPARABLE_CONCURRENCY * reference_concurrency:
        return False, False
    return True, fell_less_than_concurrency(
        slowdown, reference_slowdown, concurrency, reference_concurrency
    )


def schedule_probe(state, settings, now, slowdown, baseline_too_high):
    """Set the time of the next probe after a round."""
    if state.round.is_probe:
        state.probe_due = now + max(
            PROBE_PERIOD_S, PROBE_SPACING * state.probe_duration_s
        )
    elif baseline_too_high:
        # The new baseline may still include queueing.
        state.probe_due = now
    elif state.limit <= settings.limit_minimum and slowdown > SLOWDOWN_THRESHOLD:
        soon = now + PROBE_SPACING_AT_MINIMUM * state.probe_duration_s
        state.probe_due = min(state.probe_due, soon)


def assess_failures(state, settings, current, concurrency):
    """Return whether the failures in a round require a lower limit.

    Failures that persist at a small fraction of the concurrency at which they began
    are not caused by overload; the limit then returns to its value at that time, and
    only failures beyond their share count.
    """
    failed = current.failures / max(1, current.finished)
    error = math.sqrt(failed * (1 - failed) / max(1, current.finished))
    if failed - 2 * error <= state.failure_floor + FAILURE_MARGIN:
        state.failure_onset = None
        state.failure_floor = min(state.failure_floor, failed + error)
        return False
    if state.failure_onset is None:
        state.failure_onset = (concurrency, state.limit)
    began, limit = state.failure_onset
    if (
        concurrency > FAILURE_CONCURRENCY_FRACTION * began
        and state.limit > settings.limit_minimum
    ):
        return True
    state.failure_floor = failed + error
    state.failure_onset = None
    state.limit = limit
    return False


def update_reference(state, comparable, measured):
    """Replace the reference round by the measured one where appropriate."""
    state.reference_age += 1
    if (
        comparable
        or state.reference is None
        or measured[1] >= state.reference[1]
        or state.reference_age > REFERENCE_AGE_MAXIMUM
    ):
        state.reference = measured
        state.reference_age = 0


def adjust_limit(state, settings, current, slowdown, failing, upstream_slowed):
    """Raise or lower the limit after a round.

    Parameters
    ----------
    state : LimitState
    settings : Settings
    current : Round
        The complete round.
    slowdown : float
        Slowdown at the limit, less its standard error. If the upstream itself has
        become slower, the ratio of the slowdowns of the reference and this round.
    failing : bool
        Whether failures require a lower limit.
    upstream_slowed : bool
        Whether the upstream itself has become slower.
    """
    limit = state.limit
    concurrency = current.concurrency / current.observed
    ceiling = limit * PROBE_FRACTION if current.is_probe else limit
    used = current.limit_reached or concurrency > limit / 2
    if upstream_slowed and state.limit_before_decrease and not failing:
        # The last decrease was unwarranted: the upstream is slow, not overloaded.
        limit = max(limit, state.limit_before_decrease)
        state.limit_before_decrease = 0.0
    elif used and (slowdown > SLOWDOWN_THRESHOLD or failing):
        # A limit that was not used is no evidence of the upstream's capacity.
        ceiling = min(ceiling, concurrency / UTILISATION_FOR_GROWTH)
        state.limit_before_decrease = state.limit_before_decrease or min(
            limit, concurrency / UTILISATION_FOR_GROWTH
        )
        factor = SLOWDOWN_TARGET / slowdown if slowdown else 1.0
        if failing:
            factor = min(factor, PROBE_FRACTION)
        limit = ceiling * min(max(factor, DECREASE_FACTOR_MINIMUM), 1.0)
        state.step = STEP_MINIMUM
    else:
        state.limit_before_decrease = 0.0
        fully_used = (
            current.limit_reached and concurrency >= UTILISATION_FOR_GROWTH * ceiling
        )
        if fully_used and current.failures <= current.finished / 2:
            limit += compute_increase(state, limit, slowdown)
    state.limit = min(max(limit, settings.limit_minimum), settings.limit_maximum)


def compute_increase(state, limit, slowdown):
    """Return the increase of a limit that is in full use without overload.

    The step doubles while there is no slowdown at all, so that a limit far below
    capacity reaches it in a few rounds; near capacity the increase is one call.
    """
    if slowdown > SLOWDOWN_NEGLIGIBLE:
        state.step = max(STEP_MINIMUM, state.step / 2)
        return 1.0
    increase = max(1.0, state.step * limit)
    state.step = min(STEP_MAXIMUM, 2 * state.step)
    return increase


def open_round(state, now, may_probe):
    """Open the next round, as a probe if one is due and permitted."""
    is_probe = may_probe and now >= state.probe_due
    if is_probe:
        quota = int(min(max(state.limit / 2, PROBE_CALLS_MINIMUM), PROBE_CALLS_MAXIMUM))
        state.ceiling = max(1.0, state.limit * PROBE_FRACTION)
    else:
        quota = choose_round_size(state.limit)
        state.ceiling = state.limit
    state.round = Round(now, quota, is_probe)
