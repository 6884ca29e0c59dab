"""Decoding of the platform's settings file into the settings of a sidecar daemon."""

from pathlib import Path

from egretlift.documents import (
    is_address,
    is_header_text,
    is_number,
    is_port,
    is_text,
    parse_document,
    parse_integer,
)
from egretlift.errors import ObjectInvalid, SettingError
from egretlift.sidecar.settings import Bounds, SidecarSettings
from egretlift.transport.memory import MEMORY_DEFAULT_MB

# Bounds that the file may omit, under the file's names and in its units.
DEFAULT_BOUNDS = {
    "drain_s": 2.0,
    "grace_s": 6.0,
    "ack_s": 4.0,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 20.0,
    "budget_window_s": 10.0,
    "quota_window_s": 5.0,
    "quota_overage": 0.0,
    "quota_slack": 0.0,
    "config_apply_s": 2.0,
}
# Bounds that are divided by.
WINDOWS = ("budget_window_s", "quota_window_s")
WINDOW_MINIMUM_S = 0.001
DEFAULT_HEARTBEAT_S = 1.5
HEARTBEAT_MAXIMUM_S = 3600.0
LIMIT_MINIMUM = 1


def read_endpoint(value, name, errors):
    """Return (address, port) from ``address:port``; add to ``errors`` if invalid."""
    if is_text(value):
        address, _, port = value.rpartition(":")
        number = parse_integer(port)
        if is_port(number):
            return address, number
    remedy = "give address:port in the settings file"
    errors.append(SettingError(f"{name} is {value!r:.100}", remedy))
    return None


def read_field(document, name, is_valid, expected, errors):
    """Return a field of the file; add to ``errors`` if it is not valid.

    ``is_valid`` is called with the value, and ``expected`` says in the remedy what is.
    """
    value = document.get(name)
    if not is_valid(value):
        remedy = f"give {expected} in the settings file"
        errors.append(SettingError(f"{name} is {value!r:.100}", remedy))
    return value


def read_text(document, name, errors):
    """Return a printable string; add to ``errors`` if it is missing or empty."""
    return read_field(document, name, is_text, "a string that is not empty", errors)


def read_ports(document, errors):
    """Return the first and the last internal port; add to ``errors`` if invalid."""
    ports = document.get("internal_ports")
    is_pair = isinstance(ports, list) and len(ports) == 2
    if is_pair and all(map(is_port, ports)) and ports[1] > ports[0]:
        return ports
    remedy = "give a list of the first and the last port"
    errors.append(SettingError(f"internal_ports is {ports!r:.100}", remedy))
    return [0, 0]


def read_section(document, name, errors):
    """Return a section of the file, {} with an entry in ``errors`` if not a dict."""
    value = read_field(document, name, is_dict, "a JSON object", errors)
    return value if is_dict(value) else {}


def read_optional_section(document, name, errors):
    """Return a section of the file that may be missing, {} if it is."""
    return {} if document.get(name) is None else read_section(document, name, errors)


def is_dict(value):
    """Return whether a JSON value is an object."""
    return isinstance(value, dict)


def read_heartbeat_s(document, errors):
    """Return the interval of heartbeats in seconds; add to ``errors`` if invalid.

    An empty field stands for the default.
    """
    value = document.get("heartbeat_s")
    if not value:
        return DEFAULT_HEARTBEAT_S
    if not is_number(value, 0, HEARTBEAT_MAXIMUM_S):
        remedy = "give a number of seconds, at most an hour, in the settings file"
        errors.append(SettingError(f"heartbeat_s is {value!r:.100}", remedy))
        return DEFAULT_HEARTBEAT_S
    return float(value)


def read_limit(section, name, default, errors):
    """Return a limit of the process; add to ``errors`` if it is no positive number.

    A field that is missing or null stands for the default.
    """
    value = section.get(name)
    if value is None:
        return default
    if not is_number(value, LIMIT_MINIMUM):
        remedy = f"give a number of at least {LIMIT_MINIMUM} in the settings file"
        errors.append(SettingError(f"limits.{name} is {value!r:.100}", remedy))
        return default
    return value


def read_bounds(section, errors):
    """Return the bounds that the platform sets for the daemon; add to ``errors``."""
    values = {}
    for name, default in DEFAULT_BOUNDS.items():
        value = section.get(name, default)
        minimum = WINDOW_MINIMUM_S if name in WINDOWS else 0
        if not is_number(value, minimum):
            remedy = f"give a number of at least {minimum} in the settings file"
            errors.append(SettingError(f"bounds.{name} is {value!r:.100}", remedy))
            value = default
        values[name] = float(value)
    return Bounds(
        drain_s=values["drain_s"],
        grace_s=values["grace_s"],
        acknowledgement_s=values["ack_s"],
        repeat_ratio=values["retry_budget_ratio"],
        repeat_slack=values["retry_budget_slack"],
        repeat_window_s=values["budget_window_s"],
        rate_window_s=values["quota_window_s"],
        rate_overage=values["quota_overage"],
        rate_slack=values["quota_slack"],
        configuration_s=values["config_apply_s"],
    )


def decode_settings(document):
    """Return the settings in a settings file that was parsed as JSON.

    Parameters
    ----------
    document : dict
        Content of the platform's settings file; unknown fields are ignored.

    Returns
    -------
    SidecarSettings

    Raises
    ------
    ExceptionGroup
        One ``SettingError`` for each invalid field.
    """
    errors = []
    if not isinstance(document, dict):
        document = {}
    listen = read_section(document, "listen", errors)
    platform = read_section(document, "platform", errors)
    ports = read_ports(document, errors)
    limits = read_optional_section(document, "limits", errors)
    settings = SidecarSettings(
        host=read_field(
            document, "node_name", is_header_text, "a name in Latin-1", errors
        ),
        zone=read_text(document, "zone", errors),
        address=read_field(document, "ip", is_address, "an IP address", errors),
        service=read_text(document, "service", errors),
        # The platform calls the port for callers on this machine "outbound". It does
        # not define the use of "inbound", on which the daemon serves other daemons.
        caller=read_endpoint(listen.get("outbound"), "listen.outbound", errors),
        peer=read_endpoint(listen.get("inbound"), "listen.inbound", errors),
        readiness=read_endpoint(listen.get("ready"), "listen.ready", errors),
        heartbeats=read_endpoint(listen.get("control"), "listen.control", errors),
        upstream=read_endpoint(document.get("app_addr"), "app_addr", errors),
        store=read_endpoint(platform.get("address"), "platform.address", errors),
        is_first_start=document.get("bootstrap") is True,
        report_port=ports[0],
        metrics_port=ports[0] + 1,
        heartbeat_s=read_heartbeat_s(document, errors),
        memory_mb=read_limit(limits, "memory_mb", MEMORY_DEFAULT_MB, errors),
        descriptors=read_limit(limits, "max_fds", None, errors),
        bounds=read_bounds(read_section(document, "bounds", errors), errors),
    )
    if errors:
        raise ExceptionGroup("invalid settings", errors)
    return settings


def read_settings_file(path):
    """Return the settings in a JSON file.

    Raises
    ------
    ExceptionGroup
        The file cannot be read, or see `decode_settings`.
    """
    try:
        document = parse_document(Path(path).read_bytes())
    except (OSError, ObjectInvalid, ValueError) as error:
        remedy = "give a readable JSON file"
        setting_error = SettingError(f"settings file {path}: {error}", remedy)
        raise ExceptionGroup("invalid settings", [setting_error]) from error
    return decode_settings(document)
