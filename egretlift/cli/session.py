"""Options shared by all commands, and connections made from them."""

import anyio

from egretlift.errors import SettingError
from egretlift.platform.client import PlatformClient
from egretlift.settings import Settings, read_endpoints, read_positive, read_url


class Session:
    """Global options of one run of the command line."""

    __slots__ = ("operators", "output", "platform_timeout_s", "platform_url")

    def __init__(self, platform_url, platform_timeout_s, operators, output):
        self.platform_url = platform_url
        self.platform_timeout_s = platform_timeout_s
        self.operators = operators
        self.output = output


def check_option(flag, read, text):
    """Return the checked value of an option."""
    variable = "EGRETLIFT_" + flag.upper().replace("-", "_")
    if not text:
        raise SettingError(f"{flag} is missing", f"set --{flag} or {variable}")
    try:
        return read(text)
    except ValueError as error:
        raise SettingError(f"{flag} is {text!r}", str(error)) from None


def list_endpoints(session):
    """Return the (address, port) pairs of ``--operators``."""
    return check_option("operators", read_endpoints, ",".join(session.operators))


def call_platform(session, use):
    """Return the result of ``await use(client)`` with a platform client."""
    values = {
        "platform_url": check_option("platform-url", read_url, session.platform_url),
        "platform_timeout_s": check_option(
            "platform-timeout-s", read_positive, session.platform_timeout_s
        ),
    }

    async def run():
        async with PlatformClient(Settings(values)) as client:
            return await use(client)

    return anyio.run(run)
