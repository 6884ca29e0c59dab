"""Aggregate results of a run of the load generator.

An attempt is whole if it received a success status and the complete, undamaged body
of its own request; a request is whole if one of its attempts is.
"""

import collections
import math

QUANTILES = (0.5, 0.9, 0.99, 0.999)


def compute_quantiles(values):
    """Return nearest-rank quantiles, the maximum and the count.

    Without values the result is an empty dict.

    Examples
    --------
    >>> compute_quantiles([3.0, 1.0, 2.0])["p50"]
    2.0
    """
    values = sorted(values)
    if not values:
        return {}
    results = {
        f"p{quantile * 100:g}": values[math.ceil(quantile * len(values)) - 1]
        for quantile in QUANTILES
    }
    return {**results, "max": values[-1], "count": len(values)}


def mark_in_rate(plan, attempts):
    """Return the request ids of the attempts within their organisation's rate.

    Each organisation with a rate has a token bucket that is full at its first
    attempt. In order of their start, its attempts, resends included, are within the
    rate if they find a token, which they take. Without a rate, all attempts are.
    """
    limits = {row["name"]: row for row in plan["organisations"]}
    buckets, in_rate_ids = {}, set()
    for attempt in sorted(attempts, key=lambda attempt: attempt["start"]):
        name, now = attempt["organisation"], attempt["start"]
        rate = limits[name]["rate"]
        if rate is None:
            in_rate_ids.add(attempt["request_id"])
            continue
        burst = limits[name]["burst"] or rate
        tokens, refilled = buckets.get(name, (burst, now))
        tokens = min(burst, tokens + (now - refilled) * rate)
        if tokens >= 1.0:
            tokens -= 1.0
            in_rate_ids.add(attempt["request_id"])
        buckets[name] = tokens, now
    return in_rate_ids


def compute_share(part, whole):
    """Return ``part / whole``, or None if ``whole`` is 0."""
    return part / whole if whole else None


def compute_organisation_shares(plan, requests, attempts, whole, in_rate_ids):
    """Return the request counts and the served and refused shares by organisation.

    A request is served if any of its attempts is whole, and within the rate if its
    first attempt is. The refused share counts attempts within the rate. A share is
    None if there is nothing to count.
    """
    results = {}
    for row in plan["organisations"]:
        name = row["name"]
        own_requests = [r["request"] for r in requests if r["organisation"] == name]
        in_rate = [request for request in own_requests if f"{request}.0" in in_rate_ids]
        in_rate_attempts = [
            attempt
            for attempt in attempts
            if attempt["organisation"] == name and attempt["request_id"] in in_rate_ids
        ]
        refused = sum(attempt["reason"] is not None for attempt in in_rate_attempts)
        results[name] = {
            "requests": len(own_requests),
            "whole": sum(request in whole for request in own_requests),
            "served_share": compute_share(
                sum(r in whole for r in own_requests), len(own_requests)
            ),
            "in_rate_served_share": compute_share(
                sum(r in whole for r in in_rate), len(in_rate)
            ),
            "in_rate_refused_share": compute_share(refused, len(in_rate_attempts)),
        }
    return results


def count_by_second(requests, whole, started):
    """Return one row of counts for each second since the start.

    A row contains the requests that arrived in that second, how many of them became
    whole at any time, the requests whose whole answer ended in that second, and the
    weight of the latter.
    """
    rows = collections.defaultdict(lambda: [0, 0, 0, 0.0])
    for request in requests:
        row = rows[int(request["scheduled"] - started)]
        row[0] += 1
        attempt = whole.get(request["request"])
        if attempt is not None:
            row[1] += 1
            ended = rows[int(attempt["end"] - started)]
            ended[2] += 1
            ended[3] += request["weight"]
    return [list(rows[second]) for second in range(max(rows, default=-1) + 1)]


def group_latencies(whole, name):
    """Return the latency quantiles in seconds of whole requests, grouped by a field."""
    groups = collections.defaultdict(list)
    for attempt in whole.values():
        groups[attempt[name]].append(attempt["end"] - attempt["scheduled"])
    return {group: compute_quantiles(values) for group, values in groups.items()}


def is_contradictory(attempt):
    """Return whether the outcome header disagrees with the rest of the answer.

    Answers with an error, such as truncated ones, are not checked.
    """
    if attempt["outcome"] is None or attempt["error"] is not None:
        return False
    if attempt["outcome"] == "whole":
        return attempt["status"] >= 500 or attempt["matches"] is False
    return attempt["status"] < 400


def compute_totals(plan, requests, attempts, started):
    """Return the aggregate results of a run.

    Parameters
    ----------
    plan : dict
        Plan of the run with all default values filled in.
    requests, attempts : list of dict
        Records of the load generator.
    started : float
        Monotonic time of the start in seconds.

    Returns
    -------
    dict
        ``goodput`` and ``weighted_goodput`` are the number and the total weight of
        whole requests per second of the planned duration. Latency is measured in
        seconds from the scheduled arrival of a request to the end of its whole
        answer, and thus includes resends. ``mismatched`` counts answers with a
        success status that are damaged or belong to another request; it must be 0.
        ``contradictions`` counts answers whose outcome header disagrees with what
        was received.
    """
    duration = sum(phase["duration_s"] for phase in plan["phases"])
    whole = {}
    for attempt in attempts:
        if attempt["whole"]:
            whole.setdefault(attempt["request"], attempt)
    in_rate_ids = mark_in_rate(plan, attempts)
    organisations = compute_organisation_shares(
        plan, requests, attempts, whole, in_rate_ids
    )
    shares = [row["in_rate_served_share"] for row in organisations.values()]
    return {
        "duration_s": duration,
        "requests": len(requests),
        "attempts": len(attempts),
        "whole": len(whole),
        "goodput": len(whole) / duration,
        "weighted_goodput": sum(row["weight"] for row in whole.values()) / duration,
        "offered_weight": sum(row["weight"] for row in requests) / duration,
        "latency_s": compute_quantiles(
            row["end"] - row["scheduled"] for row in whole.values()
        ),
        "latency_by_route_s": group_latencies(whole, "route"),
        "latency_by_priority_s": group_latencies(whole, "priority"),
        "refusals": count_values(attempts, "reason"),
        "errors": count_values(attempts, "error"),
        "statuses": count_values(attempts, "status"),
        "outcomes": count_values(attempts, "outcome"),
        "whole_by_priority": count_values(whole.values(), "priority"),
        "requests_by_priority": count_values(requests, "priority"),
        "mismatched": sum(attempt["matches"] is False for attempt in attempts),
        "contradictions": sum(map(is_contradictory, attempts)),
        "organisations": organisations,
        "worst_served_share": min((s for s in shares if s is not None), default=None),
        "seconds": count_by_second(requests, whole, started),
    }


def count_values(rows, name):
    """Return how often each value of a field occurs, as text; None is not counted."""
    values = (row[name] for row in rows)
    return dict(collections.Counter(str(v) for v in values if v is not None))
