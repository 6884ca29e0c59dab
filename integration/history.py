"""Checks of the history of a concurrent run.

A history is the list of a load generator's attempts and the executions recorded by
the upstreams. All times are monotonic seconds of one machine.
"""

from collections import defaultdict

from egretlift.outcome import Outcome


def group_executions(executions):
    """Return executions with an identifier, by (organisation, identifier)."""
    groups = defaultdict(list)
    for host, items in executions.items():
        for item in items:
            if item["identifier"]:
                key = (item["organisation"], item["identifier"])
                groups[key].append({**item, "host": host})
    return groups


def find_repeats(executions):
    """Return the identifiers that ran more than once, with their executions."""
    groups = group_executions(executions)
    return {key: items for key, items in groups.items() if len(items) > 1}


def find_false_refusals(attempts, executions):
    """Return attempts that were told "not run" although their call had started.

    An execution that starts after the answer belongs to a later send.
    """
    groups = group_executions(executions)
    by_request = {
        item["request_id"]: item for items in executions.values() for item in items
    }
    false = []
    for attempt in attempts:
        if attempt["outcome"] != Outcome.REFUSED_NOT_RUN.value:
            continue
        if attempt["identifier"]:
            found = groups.get((attempt["organisation"], attempt["identifier"]), [])
        else:
            found = [by_request.get(attempt["request_id"])]
        if any(item and item["start"] < attempt["end"] for item in found):
            false.append(attempt)
    return false


def find_foreign_answers(attempts):
    """Return attempts whose answer was complete but belonged to another request."""
    return [attempt for attempt in attempts if attempt["matches"] is False]


def find_false_wholes(attempts, executions):
    """Return whole answers of calls that no upstream finished."""
    groups = group_executions(executions)
    return [
        attempt
        for attempt in attempts
        if attempt["whole"]
        and attempt["identifier"]
        and (attempt["organisation"], attempt["identifier"]) not in groups
    ]


def check_history(attempts, executions):
    """Return a dict of rule to violations; empty lists where a rule held."""
    return {
        "ran more than once": find_repeats(executions),
        "told not run, but ran": find_false_refusals(attempts, executions),
        "answer of another request": find_foreign_answers(attempts),
        "whole, but not run": find_false_wholes(attempts, executions),
    }


def largest_excess(times, rate, burst):
    """Return by how much any window exceeds burst + rate x window.

    Parameters
    ----------
    times : list of float
        Start times in seconds.
    rate : float
        Calls a second.
    burst : float
        Calls.

    Returns
    -------
    float
        Largest excess in calls; zero or less if every window is within bounds.

    Examples
    --------
    >>> largest_excess([0.0, 0.0, 0.0], 1.0, 2.0)
    1.0
    >>> largest_excess([0.0, 0.0, 1.0], 1.0, 2.0)
    0.0
    """
    # A bucket that starts full and may go into debt: its deepest debt is the
    # largest excess over all windows.
    level, last = burst, None
    deepest = float("inf")
    for time_s in sorted(times):
        if last is not None:
            level = min(burst, level + (time_s - last) * rate)
        last = time_s
        level -= 1
        deepest = min(deepest, level)
    return -deepest if times else -burst
