"""Client-side throttle: refuse calls that their target would refuse anyway.

The daemon that sends calls to a target service learns from the answers which share
of them is refused because of overload, and refuses the excess itself, lowest
priority first (adaptive throttling). The excess of a priority is
``sent - ratio * accepted`` over the throttle window, where *sent* counts answered
calls and those refused here. Calls without an answer yet are not counted, since a
slow target is not one that refuses.
"""

import math

from egretlift.outcome import Priority

# Targets with counters; beyond it, those unused for longest are dropped.
TARGETS_MAXIMUM = 2048
# Fraction of the window that decides whether the target currently refuses anything.
RECENT_SHARE = 0.1
# Calls sent per accepted one while the target refuses nothing. As the counts then
# cover only the recent part of the window, the calls admitted double several times a
# second; with the ordinary ratio and window the recovery would take half a minute.
RECOVERY_RATIO = 2.0
# Largest refusal probabilities, so that some calls still probe the target.
INTERACTIVE_REFUSAL_MAXIMUM = 0.95
CRITICAL_REFUSAL_MAXIMUM = 0.9
# Fraction of the window after which a call is sent as a probe if none of its priority
# is outstanding.
PROBE_IDLE_SHARE = 0.25


class TargetCounters:
    """Decaying counts of calls to one target.

    Attributes
    ----------
    sent, accepted : list of float
        Calls that were answered or refused here, and accepted calls, by priority.
    outstanding : list of int
        Calls without an answer, by priority; these do not decay.
    sent_at : list of float
        Monotonic time of the last call sent, by priority, in seconds.
    answers, refusals : float
        All answers and refusals in the recent part of the window.
    updated_at : float
        Monotonic time up to which the counts have decayed, in seconds.
    """

    __slots__ = (
        "accepted",
        "answers",
        "outstanding",
        "refusals",
        "sent",
        "sent_at",
        "updated_at",
    )

    def __init__(self, now):
        self.sent = [0.0 for _ in Priority]
        self.accepted = [0.0 for _ in Priority]
        self.outstanding = [0 for _ in Priority]
        self.sent_at = [-math.inf for _ in Priority]
        self.answers = 0.0
        self.refusals = 0.0
        self.updated_at = now


class ThrottleState:
    """Counters by target, and the throttle window in seconds."""

    __slots__ = ("targets", "window_s")

    def __init__(self, settings):
        self.targets = {}
        self.window_s = settings.throttle_window_s


def find_counters(state, now, target):
    """Return the counters of a target, decayed until ``now``."""
    counters = state.targets.get(target)
    if counters is None:
        if len(state.targets) >= TARGETS_MAXIMUM:
            evict_targets(state)
        counters = state.targets[target] = TargetCounters(now)
    elif now > counters.updated_at:
        decay_counters(state, counters, now)
    return counters


def evict_targets(state):
    """Drop the counters of the least recently used half of the targets."""
    by_age = sorted(state.targets.items(), key=lambda item: item[1].updated_at)
    state.targets = dict(by_age[len(by_age) // 2 :])


def decay_counters(state, counters, now):
    """Let the counts of a target decay until ``now``.

    While the target accepts all calls, all counts decay as fast as the recent ones.
    """
    elapsed_s = now - counters.updated_at
    recent = math.exp(-elapsed_s / (RECENT_SHARE * state.window_s))
    window = recent
    if not accepts_all(counters):
        window = math.exp(-elapsed_s / (state.window_s / 2))
    counters.sent = [value * window for value in counters.sent]
    counters.accepted = [value * window for value in counters.accepted]
    counters.answers *= recent
    counters.refusals *= recent
    counters.updated_at = now


def accepts_all(counters):
    """Return whether the target has answered recently and refused less than 4%."""
    return counters.answers > 0.5 and counters.refusals < 0.04 * counters.answers


def record_sent(state, now, target, priority):
    """Record a call sent to a target; exactly one of the functions below must follow.

    See Also
    --------
    record_abandoned : The caller of the call has left.
    record_accepted : The call was not refused because of overload.
    record_refused : The call was refused because of overload, or got no answer.
    """
    counters = find_counters(state, now, target)
    counters.outstanding[priority] += 1
    counters.sent_at[priority] = now


def record_accepted(state, now, target, priority):
    """Record that the target accepted a call."""
    counters = find_counters(state, now, target)
    counters.accepted[priority] += 1
    count_answer(counters, priority)


def record_refused(state, now, target, priority):
    """Record that the target refused a call because of overload, or did not answer."""
    counters = find_counters(state, now, target)
    counters.refusals += 1
    count_answer(counters, priority)


def record_abandoned(state, now, target, priority):
    """Record that a call's caller left, which says nothing about the target.

    If this counted as a refusal, callers who abort uploads could cause the uploads
    of others to be refused.
    """
    counters = find_counters(state, now, target)
    counters.outstanding[priority] = max(0, counters.outstanding[priority] - 1)


def count_answer(counters, priority):
    """Count an answer of any kind."""
    counters.outstanding[priority] = max(0, counters.outstanding[priority] - 1)
    counters.sent[priority] += 1
    counters.answers += 1


def compute_refusal_probabilities(state, settings, now, target):
    """Return the refusal probability of each priority, most important first.

    The excess of all priorities is taken from the lowest ones first. CRITICAL calls
    are refused only if an excess remains when all others are refused.

    Examples
    --------
    >>> from egretlift.settings import Settings
    >>> settings = Settings()
    >>> state = ThrottleState(settings)
    >>> for _ in range(100):
    ...     record_accepted(state, 0.0, "checkout", Priority.CRITICAL)
    ...     record_refused(state, 0.0, "checkout", Priority.INTERACTIVE)
    >>> probabilities = compute_refusal_probabilities(state, settings, 0.0, "checkout")
    >>> [round(probability, 2) for probability in probabilities]
    [0.0, 0.95, 0.9]
    """
    if target not in state.targets:
        return (0.0, 0.0, 0.0)
    counters = find_counters(state, now, target)
    ratio = settings.throttle_ratio
    if accepts_all(counters):
        ratio = max(ratio, RECOVERY_RATIO)
    pairs = zip(counters.sent, counters.accepted, strict=True)
    excess = sum(max(0.0, sent - ratio * accepted) for sent, accepted in pairs)
    critical, interactive, background = counters.sent
    critical_excess = excess - interactive - background
    probability = critical_excess / (critical + 1)
    if probability > 0:
        return (min(probability, CRITICAL_REFUSAL_MAXIMUM), 1.0, 1.0)
    background_probability = min(
        1 - settings.background_share, excess / (background + 1)
    )
    excess -= background_probability * background
    interactive_probability = min(
        INTERACTIVE_REFUSAL_MAXIMUM, max(0.0, excess) / (interactive + 1)
    )
    return (0.0, interactive_probability, background_probability)


def should_refuse(state, settings, now, random, target, priority):
    """Decide whether a call is refused here instead of being sent.

    This function counts a refused call; if the call is not refused, the caller must
    call `record_sent`.

    Parameters
    ----------
    state : ThrottleState
    settings : Settings
    now : float
        Monotonic time in seconds.
    random : random.Random
    target : str
        Service that the call is for, or any other key to throttle by.
    priority : Priority

    Returns
    -------
    bool
        False also for a call that serves as a probe of the target.
    """
    probabilities = compute_refusal_probabilities(state, settings, now, target)
    probability = probabilities[priority]
    if probability <= 0 or random.random() >= probability:
        return False
    counters = state.targets[target]
    idle_s = now - counters.sent_at[priority]
    may_probe = priority == Priority.CRITICAL or probabilities[Priority.CRITICAL] == 0
    if (
        may_probe
        and not counters.outstanding[priority]
        and idle_s > PROBE_IDLE_SHARE * state.window_s
    ):
        return False
    counters.sent[priority] += 1
    return True
