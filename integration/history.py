"""Consistency checks on the history of a concurrent run.

A history consists of the attempts of a load generator and the executions recorded by
the upstreams, by host. All times are monotonic seconds of one machine.
"""

from collections import defaultdict

from egretlift.outcome import Outcome


def group_executions(executions):
    """Return the executions that have an identifier, by (organisation, identifier)."""
    groups = defaultdict(list)
    for host, items in executions.items():
        for item in items:
            if item["identifier"]:
                key = (item["organisation"], item["identifier"])
                groups[key].append({**item, "host": host})
    return groups


def find_duplicate_executions(executions):
    """Return the identifiers executed more than once, with their executions."""
    groups = group_executions(executions)
    return {key: items for key, items in groups.items() if len(items) > 1}


def find_false_refusals(attempts, executions):
    """Return attempts answered "refused, not run" although their call had started.

    An execution that starts after the answer belongs to a later attempt.
    """
    groups = group_executions(executions)
    by_request = {
        item["request_id"]: item for items in executions.values() for item in items
    }
    wrong = []
    for attempt in attempts:
        if attempt["outcome"] != Outcome.REFUSED_NOT_RUN.value:
            continue
        if attempt["identifier"]:
            found = groups.get((attempt["organisation"], attempt["identifier"]), [])
        else:
            found = [by_request.get(attempt["request_id"])]
        if any(item and item["start"] < attempt["end"] for item in found):
            wrong.append(attempt)
    return wrong


def find_mismatched_answers(attempts):
    """Return attempts with a complete answer that belonged to another request."""
    return [attempt for attempt in attempts if attempt["matches"] is False]


def find_unexecuted_answers(attempts, executions):
    """Return attempts with a complete answer whose identifier no upstream executed."""
    groups = group_executions(executions)
    return [
        attempt
        for attempt in attempts
        if attempt["whole"]
        and attempt["identifier"]
        and (attempt["organisation"], attempt["identifier"]) not in groups
    ]


def check_history(attempts, executions):
    """Return the violations by rule; empty where a rule holds."""
    return {
        "executed more than once": find_duplicate_executions(executions),
        "answered as not run, but executed": find_false_refusals(attempts, executions),
        "answer of another request": find_mismatched_answers(attempts),
        "complete answer, but not executed": find_unexecuted_answers(
            attempts, executions
        ),
    }


def largest_excess(times, rate, burst):
    """Return the largest excess of any time window over burst + rate x window.

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
    # Simulates a token bucket that starts full and may go below zero: how far it
    # goes below zero is the largest excess over all windows.
    level, last = burst, None
    lowest = float("inf")
    for time_s in sorted(times):
        if last is not None:
            level = min(burst, level + (time_s - last) * rate)
        last = time_s
        level -= 1
        lowest = min(lowest, level)
    return -lowest if times else -burst
