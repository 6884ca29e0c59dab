"""Services that the requests of a route call, and whether these can take more calls.

This answers the pattern of a limited service deep in the call graph: its upstreams
state rate limits below the demand, so that some calls to it are refused. A request that
is refused before it runs wastes nothing, while one whose nested call is refused has
used every service above. A daemon learns which services each of its routes calls, and
does not start a request while one of them could not start its call in time.
"""

# Weight of a finished request in the share of requests that call a service.
SHARE_SMOOTHING = 0.1
# Fraction of the time that a call may wait from which on its request is not started:
# requests that have started and will make their calls are not in the delay yet.
WAIT_FRACTION = 0.5


class Dependency:
    """A service that requests of a route call.

    Attributes
    ----------
    share : float
        Share of recent requests that called it.
    wait_s : float
        Seconds that such a call may wait for its start.
    """

    __slots__ = ("share", "wait_s")

    def __init__(self):
        self.share = 0.0
        self.wait_s = 0.0


def record_calls(dependencies, called):
    """Record which services a successful request of a route has called.

    Parameters
    ----------
    dependencies : dict of str to Dependency
        Dependencies of the route by service.
    called : dict of str to float
        Seconds that a call of the request could wait for its start, by service.

    Examples
    --------
    >>> dependencies = {}
    >>> record_calls(dependencies, {"galleries": 0.2})
    >>> dependencies["galleries"].share
    0.1
    """
    for service, wait_s in called.items():
        if service not in dependencies:
            dependencies[service] = Dependency()
        dependencies[service].wait_s = wait_s
    for service, dependency in dependencies.items():
        is_called = service in called
        dependency.share += SHARE_SMOOTHING * (is_called - dependency.share)


def find_limited(dependencies, estimate_start_delay_s, random):
    """Return a service for which a request should not be started now, or None.

    Requests that may not need the service are admitted at random, by the share of
    requests that do not.

    Parameters
    ----------
    dependencies : dict of str to Dependency
    estimate_start_delay_s : callable
        Takes a service and returns the seconds until rate limits let one more call to
        it start.
    random : random.Random
    """
    for service, dependency in dependencies.items():
        latest_s = WAIT_FRACTION * dependency.wait_s
        is_late = estimate_start_delay_s(service) > latest_s
        if is_late and random.random() < dependency.share:
            return service
    return None
