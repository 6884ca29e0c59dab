"""Global options of all commands, and the platform client configured by them."""

import anyio

from egretlift.errors import SettingError
from egretlift.platform.client import PlatformClient
from egretlift.settings import Settings, parse_endpoints, parse_positive, parse_url


class Session:
    """Global options of one run of the command line.

    The options are kept as given. ``check_option`` validates them when a command
    needs them, so a command may run without the options that it does not use.
    """

    __slots__ = ("operators", "output", "platform_timeout_s", "platform_url")

    def __init__(self, platform_url, platform_timeout_s, operators, output):
        self.platform_url = platform_url
        self.platform_timeout_s = platform_timeout_s
        self.operators = operators
        self.output = output


def check_option(flag, read, text):
    """Return the parsed value of an option.

    Parameters
    ----------
    flag : str
        Name of the option without the leading dashes, for error messages.
    read : callable
        Parser that raises ``ValueError`` with the remedy as its text.
    text : str
        Value as given by the operator.

    Raises
    ------
    SettingError
        The value is empty or invalid.
    """
    variable = "EGRETLIFT_" + flag.upper().replace("-", "_")
    if not text:
        raise SettingError(f"{flag} is missing", f"set --{flag} or {variable}")
    try:
        return read(text)
    except ValueError as error:
        raise SettingError(f"{flag} is {text!r}", str(error)) from None


def list_endpoints(session):
    """Return the (address, port) pairs given by ``--operators``."""
    return check_option("operators", parse_endpoints, ",".join(session.operators))


def call_platform(session, operation):
    """Return the result of ``await operation(client)`` on a new platform client."""
    values = {
        "platform_url": check_option("platform-url", parse_url, session.platform_url),
        "platform_timeout_s": check_option(
            "platform-timeout-s", parse_positive, session.platform_timeout_s
        ),
    }

    async def run():
        async with PlatformClient(Settings(values)) as client:
            return await operation(client)

    return anyio.run(run)
