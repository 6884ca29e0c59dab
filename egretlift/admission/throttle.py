"""Entry throttle: refuse calls that their target would refuse anyway.

An entry daemon learns from answers which part of the calls to a target service
is refused for load, and refuses the excess itself, lowest priority first. The
excess of a priority is ``sent - ratio x accepted`` over the throttle window,
where *sent* counts answered calls and those refused here. Calls without an
answer yet are not counted: a slow target is not one that refuses.
"""

import math

from egretlift.outcome import Priority

TARGETS_MAXIMUM = 2048
# Part of the window that decides whether the target refuses anything now.
RECENT = 0.1
# Calls sent per accepted one while the target refuses nothing. Together with a
# memory of the recent part only, calls let through double several times a second;
# with the ordinary ratio and window the return would take half a minute.
RETURN_RATIO = 2.0
# Largest probabilities, so that some calls test the target.
INTERACTIVE_MAXIMUM = 0.95
CRITICAL_MAXIMUM = 0.9
# Part of the window after which a call goes out if none is outstanding.
PROBE = 0.25


class TargetCounters:
    """Decaying counts of calls to one target, each by priority.

    ``answers`` and ``refusals`` cover only the recent part of the window.
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
    """Counters by target service."""

    __slots__ = ("targets", "window_s")

    def __init__(self, settings):
        self.targets = {}
        self.window_s = settings.throttle_window_s


def find_counters(state, now, target):
    """Return the counters of a target, decayed to the present."""
    counters = state.targets.get(target)
    if counters is None:
        if len(state.targets) >= TARGETS_MAXIMUM:
            drop_targets(state)
        counters = state.targets[target] = TargetCounters(now)
    elif now > counters.updated_at:
        decay_counters(state, counters, now)
    return counters


def drop_targets(state):
    """Keep only the half of the targets that was used last."""
    by_age = sorted(state.targets.items(), key=lambda item: item[1].updated_at)
    state.targets = dict(by_age[len(by_age) // 2 :])


def decay_counters(state, counters, now):
    """Let the counts of a target fade."""
    elapsed_s = now - counters.updated_at
    recent = math.exp(-elapsed_s / (RECENT * state.window_s))
    window = recent
    if not accepts_all(counters):
        window = math.exp(-elapsed_s / (state.window_s / 2))
    counters.sent = [value * window for value in counters.sent]
    counters.accepted = [value * window for value in counters.accepted]
    counters.answers *= recent
    counters.refusals *= recent
    counters.updated_at = now


def accepts_all(counters):
    """Return whether the target answers and refuses next to nothing now."""
    return counters.answers > 0.5 and counters.refusals < 0.04 * counters.answers


def record_sent(state, now, target, priority):
    """Note a call that is sent to a target; each call sent ends in one answer.

    See Also
    --------
    record_abandoned : Its caller left.
    record_accepted : The call was not refused for load.
    record_refused : It was refused for load, or got no answer.
    """
    counters = find_counters(state, now, target)
    counters.outstanding[priority] += 1
    counters.sent_at[priority] = now


def record_accepted(state, now, target, priority):
    """Note the answer to a call that the target accepted."""
    counters = find_counters(state, now, target)
    counters.accepted[priority] += 1
    record_answer(counters, priority)


def record_refused(state, now, target, priority):
    """Note the answer to a call that the target refused for load."""
    counters = find_counters(state, now, target)
    counters.refusals += 1
    record_answer(counters, priority)


def record_abandoned(state, now, target, priority):
    """Note that a call's caller left, which says nothing about the target.

    Counted as a refusal, callers who break off uploads could have the uploads of
    others refused.
    """
    counters = find_counters(state, now, target)
    counters.outstanding[priority] = max(0, counters.outstanding[priority] - 1)


def record_answer(counters, priority):
    """Count any answer."""
    counters.outstanding[priority] = max(0, counters.outstanding[priority] - 1)
    counters.sent[priority] += 1
    counters.answers += 1


def refusal_probabilities(state, settings, now, target):
    """Return the probabilities of refusal by priority, most important first.

    Lower priorities absorb the excess of all. CRITICAL calls are refused only for
    an excess that remains when all others are refused.

    Examples
    --------
    >>> from egretlift.settings import Settings
    >>> settings = Settings()
    >>> state = ThrottleState(settings)
    >>> for _ in range(100):
    ...     record_accepted(state, 0.0, "checkout", Priority.CRITICAL)
    ...     record_refused(state, 0.0, "checkout", Priority.INTERACTIVE)
    >>> chances = refusal_probabilities(state, settings, 0.0, "checkout")
    >>> [round(chance, 2) for chance in chances]
    [0.0, 0.95, 0.9]
    """
    if target not in state.targets:
        return (0.0, 0.0, 0.0)
    counters = find_counters(state, now, target)
    ratio = settings.throttle_ratio
    if accepts_all(counters):
        ratio = max(ratio, RETURN_RATIO)
    pairs = zip(counters.sent, counters.accepted, strict=True)
    excess = sum(max(0.0, sent - ratio * accepted) for sent, accepted in pairs)
    critical, interactive, background = counters.sent
    beyond = excess - interactive - background
    chance = beyond / (critical + 1)
    if chance > 0:
        return (min(chance, CRITICAL_MAXIMUM), 1.0, 1.0)
    of_background = min(1 - settings.background_share, excess / (background + 1))
    excess -= of_background * background
    of_interactive = min(INTERACTIVE_MAXIMUM, max(0.0, excess) / (interactive + 1))
    return (0.0, of_interactive, of_background)


def should_refuse(state, settings, now, random, target, priority):
    """Decide whether a call is refused here instead of being sent.

    A call that is refused is counted by this function; for one that is not, the
    caller calls `record_sent`.

    Parameters
    ----------
    state : ThrottleState
    settings : Settings
    now : float
        Monotonic time in seconds.
    random : random.Random
    target : str
        Service that the call is for.
    priority : Priority

    Returns
    -------
    bool
    """
    chances = refusal_probabilities(state, settings, now, target)
    chance = chances[priority]
    if chance <= 0 or random.random() >= chance:
        return False
    counters = state.targets[target]
    idle_s = now - counters.sent_at[priority]
    may_probe = priority == Priority.CRITICAL or chances[Priority.CRITICAL] == 0
    if (
        may_probe
        and not counters.outstanding[priority]
        and idle_s > PROBE * state.window_s
    ):
        return False
    counters.sent[priority] += 1
    return True
