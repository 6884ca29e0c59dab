"""Settings of the daemon, read from flags and environment variables.

Each setting is a row of ``SETTING_ROWS``. Its flag is ``--name``, and its environment
variable is ``EGRETLIFT_NAME``, in upper case and with underscores instead of hyphens.
A flag takes precedence over the variable.

A parser is a function that returns the value of a setting from its text, or raises a
``ValueError`` whose message is the remedy.
"""

import argparse
import ipaddress

from egretlift.errors import SettingError


def parse_text(text):
    """Return the text if it is not empty."""
    if not text:
        raise ValueError("give a non-empty value")
    return text


def parse_name(text):
    """Return the text if it is a name of letters, digits, ``-``, ``_`` and ``.``."""
    if not text or not all(c.isalnum() or c in "-_." for c in text):
        raise ValueError("give a name of letters, digits, '-', '_' and '.'")
    return text


def parse_address(text):
    """Return an IPv4 or IPv6 address as text in its canonical form."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise ValueError("give an IPv4 or IPv6 address, not a host name") from None


def is_number(text):
    """Return whether a text is a whole number that ``int`` reads.

    ``isdigit`` alone also accepts digits that ``int`` does not, such as superscripts.
    """
    return text.isascii() and text.isdigit()


def parse_port(text):
    """Return a TCP port from 1 to 65535."""
    if not is_number(text) or not 1 <= int(text) <= 65535:
        raise ValueError("give a port from 1 to 65535")
    return int(text)


def parse_secret(text):
    """Return the text if it is a secret of at least 16 bytes in UTF-8."""
    if len(text.encode()) < 16:
        raise ValueError("give a secret of at least 16 bytes, the same on all hosts")
    return text


def parse_url(text):
    """Return an HTTP or HTTPS URL without trailing slashes."""
    if not text.startswith(("http://", "https://")):
        raise ValueError("give a URL that starts with http:// or https://")
    return text.rstrip("/")


def parse_endpoints(text):
    """Return a tuple of (address, port) from ``address:port,address:port``.

    IPv6 addresses are written in brackets. An empty text has no endpoints.

    Examples
    --------
    >>> parse_endpoints("10.0.0.1:7403,[::1]:7403")
    (('10.0.0.1', 7403), ('::1', 7403))
    """
    endpoints = []
    for part in filter(None, text.split(",")):
        address, separator, port = part.rpartition(":")
        if not separator:
            raise ValueError("give a comma-separated list of address:port")
        endpoints.append((parse_address(address.strip("[]")), parse_port(port)))
    return tuple(endpoints)


def parse_positive(text):
    """Return a finite number greater than zero as float."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise ValueError("give a number greater than 0")
    return value


def parse_fraction(text):
    """Return a number from 0 to 1 as float."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= 1:
        raise ValueError("give a number from 0 to 1")
    return value


def parse_count(text):
    """Return a whole number greater than zero."""
    if not is_number(text) or int(text) < 1:
        raise ValueError("give a whole number greater than 0")
    return int(text)


def make_choice_parser(*choices):
    """Return a parser that accepts only the given texts."""

    def parse(text):
        if text not in choices:
            raise ValueError(f"give one of {', '.join(choices)}")
        return text

    return parse


# Name, parser, default as text (None if required) and help of each setting.
SETTING_ROWS = (
    ("host", parse_name, None, "name of this host, unique in the mesh"),
    ("zone", parse_name, None, "availability zone of this host"),
    ("address", parse_address, "127.0.0.1", "IP address that other hosts reach"),
    ("caller-port", parse_port, "7400", "port for callers"),
    ("upstream-port", parse_port, "7401", "loopback port for the host's upstream"),
    ("peer-port", parse_port, "7402", "port for calls from other daemons"),
    ("control-port", parse_port, "7403", "port for control messages of daemons"),
    ("operators-port", parse_port, "7404", "port for operators and metrics"),
    ("platform-url", parse_url, None, "URL of the platform's object API"),
    ("mesh-secret", parse_secret, None, "secret shared by all daemons"),
    ("seeds", parse_endpoints, "", "control endpoints address:port of first peers"),
    # Membership and configuration.
    ("gossip-period-s", parse_positive, "1", "seconds between gossip exchanges"),
    ("gossip-timeout-s", parse_positive, "0.5", "time limit of one exchange"),
    ("gossip-fanout", parse_count, "3", "members told at once of a change"),
    ("suspect-period-s", parse_positive, "5", "seconds from suspect to dead"),
    ("member-retention-s", parse_positive, "600", "seconds a dead member is kept"),
    ("announcement-lease-s", parse_positive, "3", "lease of an announcement"),
    ("platform-timeout-s", parse_positive, "2", "time limit of a platform call"),
    ("watch-timeout-s", parse_positive, "20", "time limit of one watch"),
    # Rate allocation.
    ("zone-lease-s", parse_positive, "10", "lifetime of the zone lease"),
    ("zone-lease-renewal-s", parse_positive, "3", "seconds between its renewals"),
    ("zone-standbys", parse_count, "4", "standbys named in the zone lease"),
    ("zone-autonomy-s", parse_positive, "7200", "longest time without renewal"),
    ("share-lease-s", parse_positive, "2", "lifetime of a host's rate share"),
    ("share-renewal-s", parse_positive, "0.5", "seconds between share renewals"),
    ("share-request-gap-s", parse_positive, "0.05", "shortest gap of requests"),
    ("clock-drift", parse_fraction, "0.01", "largest difference of clock rates"),
    ("share-wait-s", parse_positive, "0.3", "longest wait for a rate token"),
    # Admission.
    (
        "admission-policy",
        make_choice_parser("adaptive", "fixed", "none"),
        "adaptive",
        "how the concurrency limit is found",
    ),
    ("limit-initial", parse_count, "20", "concurrency limit at the start"),
    ("limit-minimum", parse_count, "4", "smallest concurrency limit"),
    ("limit-maximum", parse_count, "400", "largest concurrency limit"),
    ("queue-length", parse_count, "200", "longest admission queue in calls"),
    ("critical-reserve", parse_fraction, "0.2", "part kept for critical calls"),
    ("critical-memory-s", parse_positive, "10", "time the reserve outlives use"),
    ("background-share", parse_fraction, "0.1", "smallest share of uploads"),
    ("throttle-window-s", parse_positive, "2", "memory of the entry throttle"),
    ("throttle-ratio", parse_positive, "1.1", "sent per accepted call allowed"),
    # Retries and routing.
    (
        "retry-policy",
        make_choice_parser("budget", "fixed", "none"),
        "budget",
        "how retries are paid for",
    ),
    ("retry-ratio", parse_fraction, "0.1", "retries per first attempt"),
    ("retry-burst", parse_positive, "10", "largest stock of the retry budget"),
    ("fixed-tries", parse_count, "3", "tries per hop of the fixed policy"),
    ("refused-tries", parse_count, "2", "further hosts after a refusal"),
    ("critical-refused-tries", parse_count, "4", "the same for critical calls"),
    ("ejection-s", parse_positive, "1", "time without calls to a failed host"),
    ("connect-timeout-s", parse_positive, "0.25", "time limit of a connection"),
    ("forward-connections", parse_count, "400", "connections per target"),
    # Callers.
    ("header-timeout-s", parse_positive, "10", "time limit of request headers"),
    ("body-gap-s", parse_positive, "10", "longest pause within a body"),
    ("drain-limit-s", parse_positive, "600", "time limit of a graceful stop"),
    # At most once.
    ("ledger-records", parse_count, "20000", "identifiers kept in memory"),
    ("ledger-answer-bytes", parse_count, "65536", "largest answer kept"),
    ("ledger-total-bytes", parse_count, "4000000", "memory of kept answers"),
    ("identifier-lifetime-s", parse_positive, "900", "life of an identifier"),
    ("claim-retention-s", parse_positive, "86400", "seconds a claim is kept at least"),
)


class Settings:
    """Validated settings of one daemon, as attributes with underscores in the names.

    Parameters
    ----------
    values : dict of str to object, optional
        Values by attribute name. Settings that are not given have their defaults;
        required ones may be left out in tests and are then None.

    Raises
    ------
    SettingError
        If a name is not that of a setting.

    Examples
    --------
    >>> Settings({"zone": "ie-east-a"}).gossip_period_s
    1.0
    """

    __slots__ = tuple(row[0].replace("-", "_") for row in SETTING_ROWS)

    def __init__(self, values=None):
        values = dict(values or {})
        for name, parse, default, _ in SETTING_ROWS:
            attribute = name.replace("-", "_")
            fallback = None if default is None else parse(default)
            setattr(self, attribute, values.pop(attribute, fallback))
        if values:
            raise SettingError(
                f"unknown settings {', '.join(sorted(values))}",
                "see egretliftd --help for the names",
            )


def name_variable(name):
    """Return the name of the environment variable of a setting.

    Examples
    --------
    >>> name_variable("caller-port")
    'EGRETLIFT_CALLER_PORT'
    """
    return "EGRETLIFT_" + name.upper().replace("-", "_")


def describe_settings():
    """Yield (flag, variable, default, help) of each setting, for documentation.

    The default is text, or None if the setting is required.
    """
    for name, _, default, text in SETTING_ROWS:
        yield f"--{name}", name_variable(name), default, text


def make_parser():
    """Return the command-line parser of ``egretliftd``."""
    parser = argparse.ArgumentParser(
        prog="egretliftd", description="Daemon of egretlift, one per upstream host."
    )
    for flag, variable, default, text in describe_settings():
        shown = "required" if default is None else f"default {default or 'none'}"
        parser.add_argument(flag, help=f"{text} [{variable}; {shown}]")
    return parser


def parse_settings(arguments, environment):
    """Return validated settings from flags and environment variables.

    Parameters
    ----------
    arguments : list of str
        Command-line arguments without the program name.
    environment : mapping of str to str
        Environment variables.

    Returns
    -------
    Settings

    Raises
    ------
    ExceptionGroup
        One ``SettingError`` for each missing or invalid value and for each pair of
        settings that contradict each other.
    """
    flags = vars(make_parser().parse_args(arguments))
    values, errors = {}, []
    for name, parse, default, _ in SETTING_ROWS:
        attribute = name.replace("-", "_")
        variable = name_variable(name)
        text = flags[attribute]
        if text is None:
            text = environment.get(variable, default)
        if text is None:
            errors.append(
                SettingError(f"{name} is missing", f"set --{name} or {variable}")
            )
            continue
        try:
            values[attribute] = parse(text)
        except ValueError as error:
            shown = "not shown" if name == "mesh-secret" else repr(text)
            errors.append(SettingError(f"{name} is {shown}", str(error)))
    errors.extend(check_relations(values))
    if errors:
        raise ExceptionGroup("settings are invalid", errors)
    return Settings(values)


# Pairs of settings, the first of which must be smaller than the second.
SMALLER_THAN = (
    ("gossip_timeout_s", "suspect_period_s"),
    ("zone_lease_renewal_s", "zone_lease_s"),
    ("zone_lease_s", "zone_autonomy_s"),
    ("share_renewal_s", "share_lease_s"),
    ("identifier_lifetime_s", "claim_retention_s"),
    ("limit_minimum", "limit_maximum"),
)


def check_relations(values):
    """Return one error for each pair of settings that contradict each other.

    Settings that are not in ``values`` are not checked.
    """
    errors = []
    for smaller, larger in SMALLER_THAN:
        if smaller in values and larger in values:
            if values[smaller] < values[larger]:
                continue
            small, large = smaller.replace("_", "-"), larger.replace("_", "-")
            errors.append(
                SettingError(f"{small} is not smaller than {large}", f"lower {small}")
            )
    ports = [values[name] for name in values if name.endswith("_port")]
    if len(set(ports)) < len(ports):
        errors.append(
            SettingError("two ports are equal", "give each port its own number")
        )
    return errors
