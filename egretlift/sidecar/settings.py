"""Settings of a sidecar daemon and the service levels that it must keep."""

from egretlift.transport.memory import MEMORY_DEFAULT_MB

REPORT_INTERVAL_S = 0.5


class Bounds:
    """Limits that the platform's operators guarantee to their users.

    Attributes
    ----------
    drain_s : float
        Time after an acknowledged drain in which requests may still arrive.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    acknowledgement_s : float
        Time within which a draining upstream must be acknowledged.
    repeat_ratio, repeat_slack, repeat_window_s : float
        Retry budget of a service: in a window, at most this ratio of its requests plus
        this number of requests may be repeated arrivals.
    rate_window_s, rate_overage, rate_slack : float
        Window over which an organisation's rate is measured, in seconds; fraction by
        which it may be exceeded; and number of requests allowed on top.
    configuration_s : float
        Time within which a new configuration must be in force.
    """

    __slots__ = (
        "acknowledgement_s",
        "configuration_s",
        "drain_s",
        "grace_s",
        "rate_overage",
        "rate_slack",
        "rate_window_s",
        "repeat_ratio",
        "repeat_slack",
        "repeat_window_s",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


class SidecarSettings:
    """Addresses, location and bounds of one sidecar daemon.

    Endpoints are (address, port) pairs.

    Attributes
    ----------
    host, zone, address, service : str
        Name of the host, its availability zone and address, and the service of
        its upstream.
    caller, peer, readiness, heartbeats : tuple of (str, int)
        Endpoints that the daemon listens on for callers on the host, other daemons, the
        readiness check and the upstream's heartbeats.
    upstream, store : tuple of (str, int)
        Endpoints of the upstream and of the platform's store.
    report_port, metrics_port : int
        UDP port for datagrams of other daemons, TCP port for metrics.
    is_first_start : bool
        Whether the whole system starts for the first time.
    heartbeat_s, report_interval_s : float
        Time between two heartbeats of the upstream and between two reports to
        another daemon, in seconds.
    memory_mb : float
        Memory that the process may take, in megabytes.
    descriptors : int or None
        Descriptors that the process may open; None for those of the system's limit.
    """

    __slots__ = (
        "address",
        "bounds",
        "caller",
        "descriptors",
        "header_timeout_s",
        "heartbeat_s",
        "heartbeats",
        "host",
        "is_first_start",
        "memory_mb",
        "metrics_port",
        "peer",
        "readiness",
        "report_interval_s",
        "report_port",
        "service",
        "store",
        "upstream",
        "zone",
    )

    def __init__(
        self, report_interval_s=REPORT_INTERVAL_S, header_timeout_s=10.0, **values
    ):
        self.is_first_start = False
        self.memory_mb = MEMORY_DEFAULT_MB
        self.descriptors = None
        self.report_interval_s = report_interval_s
        self.header_timeout_s = header_timeout_s
        for name in self.__slots__:
            if name in values:
                setattr(self, name, values[name])
